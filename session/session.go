package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"regexp"
	"strings"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

const (
	// MaxTokenBytes is the maximum length of an encoded token.
	MaxTokenBytes = 1024
	// MinSecretBytes is the minimum length of the secret of a key.
	MinSecretBytes = 32
	// DefaultMaxAge is the default time after issue at which a token expires.
	DefaultMaxAge = 24 * time.Hour
	// maxSkew is the maximum time by which the issuer's clock may be ahead.
	maxSkew       = time.Minute
	formatVersion = "v1"
)

// Errors of New, Issue and Verify. Verify wraps them with an error kind.
var (
	ErrMalformed    = errors.New("session token is malformed")
	ErrSignature    = errors.New("session token is not authentic")
	ErrExpired      = errors.New("session token has expired")
	ErrNotYet       = errors.New("session token was issued in the future")
	ErrOrganisation = errors.New("session token belongs to another organisation")
	ErrTooLong      = errors.New("session token would be too long")
	ErrKeyRing      = errors.New("session key ring needs unique key ids of 1 to 16 letters or digits and secrets of at least 32 bytes")
)

var keyID = regexp.MustCompile(`^[A-Za-z0-9]{1,16}$`)

// Token is the content of a session token.
type Token struct {
	Organisation string
	Service      string
	// Session is the ID of the session.
	Session string
	// Name is the name of a session node of the settings tree, empty for none.
	Name string
	// Versions are the model versions that the session is pinned to, one per model.
	Versions []string
	// IssuedAt has a resolution of one second.
	IssuedAt time.Time
}

// payload is the JSON form of Token.
type payload struct {
	Organisation string `json:"o"`
	Service      string `json:"s"`
	Session      string `json:"i"`
	Name         string `json:"n,omitempty"`
	Versions     string `json:"v"` // separated by commas
	IssuedAt     int64  `json:"t"` // Unix seconds
}

// Key is one HMAC key of a Ring.
type Key struct {
	ID     string
	Secret []byte
}

// Options configures a Ring.
type Options struct {
	// Keys are the keys of the ring; the first one signs.
	Keys []Key
	// MaxAge is the time after issue at which a token expires. Default:
	// DefaultMaxAge.
	MaxAge time.Duration
	// Now returns the current time. Default: time.Now.
	Now func() time.Time
}

// Ring issues and verifies tokens. It is immutable and safe for concurrent use.
type Ring struct {
	signingKeyID string
	secrets      map[string][]byte
	maxAge       time.Duration
	now          func() time.Time
}

// New returns a Ring, or ErrKeyRing if the keys are not valid.
func New(o Options) (*Ring, error) {
	if o.MaxAge == 0 {
		o.MaxAge = DefaultMaxAge
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	r := &Ring{secrets: make(map[string][]byte, len(o.Keys)), maxAge: o.MaxAge, now: o.Now}
	for _, k := range o.Keys {
		if _, duplicate := r.secrets[k.ID]; duplicate || !keyID.MatchString(k.ID) || len(k.Secret) < MinSecretBytes {
			return nil, ErrKeyRing
		}
		r.secrets[k.ID] = k.Secret
	}
	if len(o.Keys) == 0 {
		return nil, ErrKeyRing
	}
	r.signingKeyID = o.Keys[0].ID
	return r, nil
}

// Issue returns t encoded and signed. A zero IssuedAt is replaced by the current
// time.
func (r *Ring) Issue(t Token) (string, error) {
	if t.IssuedAt.IsZero() {
		t.IssuedAt = r.now()
	}
	data, err := json.Marshal(payload{
		Organisation: t.Organisation,
		Service:      t.Service,
		Session:      t.Session,
		Name:         t.Name,
		Versions:     strings.Join(t.Versions, ","),
		IssuedAt:     t.IssuedAt.Unix(),
	})
	if err != nil {
		return "", err
	}
	signed := formatVersion + "." + r.signingKeyID + "." + base64.RawURLEncoding.EncodeToString(data)
	text := signed + "." + base64.RawURLEncoding.EncodeToString(sign(r.secrets[r.signingKeyID], signed))
	if len(text) > MaxTokenBytes {
		return "", ErrTooLong
	}
	return text, nil
}

func sign(secret []byte, text string) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(text))
	return mac.Sum(nil)
}

// Verify returns the content of a token. It returns an error unless the token was
// signed by a key of the ring, was issued to organisation and has not expired.
func (r *Ring) Verify(text, organisation string) (Token, error) {
	t, err := r.authenticate(text)
	if err != nil {
		return Token{}, errkind.Wrap(errkind.BadRequest, err)
	}
	if t.Organisation != organisation {
		return Token{}, errkind.Wrap(errkind.Forbidden, ErrOrganisation)
	}
	age := r.now().Sub(t.IssuedAt)
	switch {
	case age > r.maxAge:
		return Token{}, errkind.Wrap(errkind.BadRequest, ErrExpired)
	case age < -maxSkew:
		return Token{}, errkind.Wrap(errkind.BadRequest, ErrNotYet)
	}
	return t, nil
}

// authenticate verifies the MAC of a token before it decodes the payload.
func (r *Ring) authenticate(text string) (Token, error) {
	if len(text) > MaxTokenBytes {
		return Token{}, ErrMalformed
	}
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] != formatVersion {
		return Token{}, ErrMalformed
	}
	secret, ok := r.secrets[parts[1]]
	if !ok {
		return Token{}, ErrSignature
	}
	// Strict rejects non-zero padding bits, so that each token has exactly one
	// encoding.
	mac, err := base64.RawURLEncoding.Strict().DecodeString(parts[3])
	if err != nil {
		return Token{}, ErrMalformed
	}
	signed := text[:len(text)-len(parts[3])-1]
	if !hmac.Equal(mac, sign(secret, signed)) {
		return Token{}, ErrSignature
	}
	return decodePayload(parts[2])
}

func decodePayload(text string) (Token, error) {
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Token{}, ErrMalformed
	}
	var p payload
	if err := json.Unmarshal(data, &p); err != nil {
		return Token{}, ErrMalformed
	}
	return Token{
		Organisation: p.Organisation,
		Service:      p.Service,
		Session:      p.Session,
		Name:         p.Name,
		Versions:     strings.Split(p.Versions, ","),
		IssuedAt:     time.Unix(p.IssuedAt, 0),
	}, nil
}
