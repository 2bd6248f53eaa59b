package operator

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/settings"
)

// withRole returns a handler that calls h when the caller's token has the role.
// The argument author of h is the name of the token.
func (s *Server) withRole(role settings.Role, h func(w http.ResponseWriter, r *http.Request, author string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, err := s.authenticate(r)
		if err == nil && role == settings.Editor && token.Role != settings.Editor {
			err = errkind.New(errkind.Forbidden, "token %q has the role %s, this call needs %s", token.Name, token.Role, role)
		}
		if err == nil {
			err = h(w, r, token.Name)
		}
		if err != nil {
			writeError(w, err)
		}
	}
}

// authenticate looks up the operator token by its digest. The duration of the
// lookup reveals nothing about the token, because a caller can't choose the
// digest.
func (s *Server) authenticate(r *http.Request) (settings.OperatorToken, error) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	token, known := s.tokens[sha256.Sum256([]byte(secret))]
	if !ok || !known {
		return settings.OperatorToken{}, errkind.New(errkind.Unauthenticated, "the operator token is missing or unknown")
	}
	return token, nil
}
