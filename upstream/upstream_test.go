package upstream_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/standin/service"
	"github.com/savoryshift/savoryshift/upstream"
)

const (
	wholeBody  = `{"model":"small","max_tokens":5,"messages":[{"role":"user","content":"kit for two"}]}`
	streamBody = `{"model":"small","max_tokens":5,"stream":true,"messages":[{"role":"user","content":"kit for two"}]}`
)

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

// bounded returns a context that ends a call that hangs.
func bounded(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func newClient(t *testing.T, o upstream.Options) *upstream.Client {
	t.Helper()
	c := upstream.New(o)
	t.Cleanup(c.Close)
	return c
}

func call(url, body string) upstream.Call {
	return upstream.Call{URL: url, RequestID: "r1", AttemptID: "a1", Model: "small", Version: "s1", Body: []byte(body)}
}

// Guards the basic operations: complete, streamed, resumed and refused calls to
// an engine, and a booking.
func TestCallsReachEngineAndService(t *testing.T) {
	ctx, c := bounded(t), newClient(t, upstream.Options{})
	e := engine.New(engine.Options{Versions: map[string]engine.Profile{"s1": {Quality: 1}}})
	url := serve(t, e)

	whole, err := c.Complete(ctx, call(url, wholeBody))
	assert.NilError(t, err)
	assert.Equal(t, whole.Model+"/"+whole.Version, "small/s1")
	assert.Equal(t, whole.CompletionTokens, 5)

	var parts []string
	emit := func(p upstream.Part) error { parts = append(parts, string(p.Data)); return nil }
	streamed, err := c.Stream(ctx, call(url, streamBody), 0, emit)
	assert.NilError(t, err)
	assert.Equal(t, streamed.Parts, 6)
	all := parts
	parts = nil
	resumedAt := time.Now().Unix()
	_, err = c.Stream(ctx, call(url, streamBody), 4, emit)
	assert.NilError(t, err)
	// Each call has a time of its own, in seconds.
	created := regexp.MustCompile(`"created":(\d+)`)
	for i, part := range parts {
		at, err := strconv.ParseInt(created.FindStringSubmatch(part)[1], 10, 64)
		assert.NilError(t, err)
		assert.Assert(t, at >= resumedAt && at <= time.Now().Unix(), "%d", at)
		parts[i], all[4+i] = created.ReplaceAllString(part, ""), created.ReplaceAllString(all[4+i], "")
	}
	assert.DeepEqual(t, parts, all[4:])

	e.SetFaults(engine.Faults{Leaving: true})
	_, err = c.Complete(ctx, call(url, wholeBody))
	refused, ok := errors.AsType[*upstream.RefusedError](err)
	assert.Assert(t, ok && refused.Leaving, "%v", err)
	assert.Equal(t, errkind.RanOf(err), errkind.RanNo)

	s := service.New()
	res, err := c.Forward(ctx, upstream.ServiceCall{URL: serve(t, s), Method: http.MethodPost, Path: "/bookings", Body: []byte(`{}`)})
	assert.NilError(t, err)
	assert.Equal(t, res.Status, http.StatusCreated)
	assert.Equal(t, len(s.Executions()), 1)
}

// Guards against "not run" for a call that was sent: after a failed check and
// after a refused connection nothing is sent.
func TestNotRunIsTrue(t *testing.T) {
	ctx, c := bounded(t), newClient(t, upstream.Options{})
	e := engine.New(engine.Options{})
	blocked := call(serve(t, e), wholeBody)
	lapsed := errkind.New(errkind.Isolated, "lease has lapsed")
	blocked.BeforeWrite = func() error { return lapsed }
	for range 2 {
		_, err := c.Complete(ctx, blocked)
		assert.Equal(t, errkind.Of(err), errkind.Isolated)
		assert.Equal(t, errkind.RanOf(err), errkind.RanNo)
	}
	assert.Equal(t, len(e.Runs()), 0)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	_, err = c.Complete(ctx, call("http://"+l.Addr().String(), wholeBody))
	assert.Equal(t, errkind.Of(err), errkind.UpstreamFailed)
	assert.Equal(t, errkind.RanOf(err), errkind.RanNo)
}
