package proxy

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

// FuzzChatRequest searches for bodies that crash the parser, are rejected with
// another kind than bad_request, or lose members in the body that is sent to an
// engine.
func FuzzChatRequest(f *testing.F) {
	for _, seed := range []string{
		`{"model":"brief","messages":[{"role":"user","content":"hello"}],"temperature":0.5}`,
		`{"model":"m","messages":[{"content":[{"type":"text","text":"x"}]}],"stream":true,"stream_options":{"include_usage":true}}`,
		`{"model":"m","messages":[{"content":null}],"max_completion_tokens":5}`,
		`{"model":"m","messages":[]}`, `[]`, `{"model":1}`, `null`, "{\"model\":\"\xff\"}", ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := parseChat(body)
		if err != nil {
			if errkind.Of(err) != errkind.BadRequest || errkind.RanOf(err) != errkind.RanNo {
				t.Fatalf("kind %s, ran %s", errkind.Of(err), errkind.RanOf(err))
			}
			return
		}
		sent, err := c.bodyFor("large", true)
		if err != nil {
			t.Fatal(err)
		}
		var members map[string]json.RawMessage
		if err := json.Unmarshal(sent, &members); err != nil {
			t.Fatal(err)
		}
		for name := range c.fields {
			if _, kept := members[name]; !kept {
				t.Fatalf("member %q is lost", name)
			}
		}
		if c.promptTokens < 1 || c.prefixShare < 0 || c.prefixShare > 1 {
			t.Fatalf("prompt of %d tokens, prefix share %g", c.promptTokens, c.prefixShare)
		}
	})
}

// FuzzHeaders searches for header values that crash the parsers or are accepted
// outside their bounds.
func FuzzHeaders(f *testing.F) {
	f.Add("Bearer k", "100", "key")
	f.Add("bearer  ", "-1", "a b")
	f.Add("Basic x", "9999999999999999999999", "\x00")
	f.Fuzz(func(t *testing.T, authorization, deadline, key string) {
		r := &http.Request{Header: http.Header{"Authorization": {authorization}, HeaderDeadline: {deadline}, HeaderIdempotencyKey: {key}}}
		if got, err := bearerKey(r); err == nil && got == "" {
			t.Fatal("empty key accepted")
		}
		now := time.Unix(0, 0)
		if at, err := parseDeadline(r, now, time.Second); err == nil && (!at.After(now) || at.Sub(now) > maxDeadline) {
			t.Fatalf("deadline %s accepted", at.Sub(now))
		}
		if got, err := idempotencyKey(r); err == nil && (len(got) == 0 || len(got) > maxIdempotencyKeyBytes) {
			t.Fatalf("key of %d bytes accepted", len(got))
		}
	})
}
