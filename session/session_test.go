package session_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/session"
)

var (
	issued = time.Unix(1_796_000_000, 0)
	pin    = session.Token{Organisation: "club-0", Service: "brief-model", Session: "0197", Name: "guide", Versions: []string{"s1", "m1"}, IssuedAt: issued}
)

func key(id string, fill byte) session.Key {
	return session.Key{ID: id, Secret: bytes.Repeat([]byte{fill}, session.MinSecretBytes)}
}

func ring(t testing.TB, at time.Time, keys ...session.Key) *session.Ring {
	t.Helper()
	r, err := session.New(session.Options{Keys: keys, MaxAge: time.Hour, Now: func() time.Time { return at }})
	assert.NilError(t, err)
	return r
}

// Tokens must stay valid while their key is in the ring after a rotation, and must
// be rejected once the key is removed or the token has expired.
func TestKeysRotateAndTokensExpire(t *testing.T) {
	text, err := ring(t, issued, key("k1", 1)).Issue(pin)
	assert.NilError(t, err)
	got, err := ring(t, issued.Add(time.Hour), key("k2", 2), key("k1", 1)).Verify(text, "club-0")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, pin)
	for _, c := range []struct {
		ring *session.Ring
		org  string
		want error
		kind errkind.Kind
	}{
		{ring(t, issued, key("k2", 2)), "club-0", session.ErrSignature, errkind.BadRequest},
		{ring(t, issued, key("k1", 2)), "club-0", session.ErrSignature, errkind.BadRequest},
		{ring(t, issued, key("k1", 1)), "club-1", session.ErrOrganisation, errkind.Forbidden},
		{ring(t, issued.Add(time.Hour+time.Second), key("k1", 1)), "club-0", session.ErrExpired, errkind.BadRequest},
		{ring(t, issued.Add(-2*time.Minute), key("k1", 1)), "club-0", session.ErrNotYet, errkind.BadRequest},
	} {
		_, err := c.ring.Verify(text, c.org)
		assert.ErrorIs(t, err, c.want)
		assert.Equal(t, errkind.Of(err), c.kind)
	}
	_, err = session.New(session.Options{Keys: []session.Key{{ID: "k1", Secret: []byte("short")}}})
	assert.ErrorIs(t, err, session.ErrKeyRing)
	_, err = ring(t, issued, key("k1", 1)).Issue(session.Token{Session: strings.Repeat("x", session.MaxTokenBytes)})
	assert.ErrorIs(t, err, session.ErrTooLong)
}

// Guards against forged tokens: a token with any byte changed must be rejected.
func TestEveryChangedByteIsRejected(t *testing.T) {
	r := ring(t, issued, key("k1", 1))
	text, err := r.Issue(pin)
	assert.NilError(t, err)
	accepted := func(verify func(string) error) (n int) {
		for i := range text {
			for _, c := range []byte("Aa0._-=\x00") {
				changed := text[:i] + string(c) + text[i+1:]
				if changed != text && verify(changed) == nil {
					n++
				}
			}
		}
		return n
	}
	verify := func(s string) error { _, err := r.Verify(s, "club-0"); return err }
	assert.Equal(t, accepted(verify), 0)
	// Cross-check of the test itself: a verifier that checks only the number of
	// dots accepts forged tokens.
	countDots := func(s string) error {
		if strings.Count(s, ".") != 3 {
			return session.ErrMalformed
		}
		return nil
	}
	assert.Assert(t, accepted(countDots) > 0)
}

// FuzzVerify looks for panics and for accepted texts that Issue does not return
// for the same content.
func FuzzVerify(f *testing.F) {
	r := ring(f, issued, key("k1", 1))
	text, err := r.Issue(pin)
	assert.NilError(f, err)
	for _, seed := range []string{text, "", "v1...", "v1.k1..", strings.Repeat(".", 2000), text + "."} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got, err := r.Verify(s, "club-0")
		if err != nil {
			return
		}
		again, err := r.Issue(got)
		assert.NilError(t, err)
		assert.Equal(t, again, s)
	})
}
