package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

// Headers of the caller API.
const (
	HeaderDeadline       = "Savoryshift-Deadline-Ms"
	HeaderSession        = "Savoryshift-Session"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Savoryshift-Request-Id"
	HeaderModel          = "Savoryshift-Model"
	HeaderVersion        = "Savoryshift-Version"
	HeaderRepeated       = "Savoryshift-Repeated"
)

const (
	// newSessionPrefix as the whole value of the session header asks for a new
	// session token; "new:<name>" asks for one of a named session node of the
	// settings tree.
	newSessionPrefix = "new"
	// maxIdempotencyKeyBytes bounds the length of an idempotency key.
	maxIdempotencyKeyBytes = 255
	// maxDeadline bounds the deadline that a caller may request.
	maxDeadline = tree.MaxDeadline
)

// bearerKey returns the API key of the Authorization header.
func bearerKey(r *http.Request) (string, error) {
	scheme, key, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", errkind.New(errkind.Unauthenticated, "the Authorization header must be \"Bearer <key>\"")
	}
	return key, nil
}

// parseDeadline returns the deadline of the request, counted from now. Without
// the header it is defaultTimeout from now.
func parseDeadline(r *http.Request, now time.Time, defaultTimeout time.Duration) (time.Time, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return now.Add(defaultTimeout), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, errkind.New(errkind.BadRequest, "%s must be a whole number of milliseconds, got %q", HeaderDeadline, text)
	}
	if ms <= 0 {
		return time.Time{}, errkind.New(errkind.DeadlinePassed, "%s is %d: the deadline has passed", HeaderDeadline, ms)
	}
	if ms > maxDeadline.Milliseconds() {
		return time.Time{}, errkind.New(errkind.BadRequest, "%s is %d, allowed: 1 to %d", HeaderDeadline, ms, maxDeadline.Milliseconds())
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// idempotencyKey returns the idempotency key of the request, or "" when it has
// none.
func idempotencyKey(r *http.Request) (string, error) {
	values := r.Header.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyKeyBytes || strings.ContainsFunc(key, notVisible) {
		return "", errkind.New(errkind.BadRequest, "%s must be given once, with 1 to %d visible ASCII characters", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	return key, nil
}

func notVisible(c rune) bool { return c < '!' || c > '~' }
