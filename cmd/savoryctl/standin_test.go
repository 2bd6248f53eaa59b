package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/run"
	"gotest.tools/v3/assert"
)

// pipeListener is a listener over net.Pipe, for virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l pipeListener) Close() error   { close(l.closed); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A stop must let a call in flight finish.
func TestServeFinishesCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := pipeListener{make(chan net.Conn, 1), make(chan struct{})}
		slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(w, "complete")
		})
		ctx, stop := context.WithCancel(t.Context())
		wait, interrupt := run.ContextHandler(ctx)
		done := make(chan error, 1)
		go func() { done <- serve(l, slow, wait, interrupt) }()
		time.AfterFunc(500*time.Millisecond, stop)
		transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			l.conns <- server
			return client, nil
		}}
		resp, err := (&http.Client{Transport: transport}).Get("http://standin/")
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "complete")
		transport.CloseIdleConnections()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
}

func TestEngineOptionsFromWorkload(t *testing.T) {
	c := engineCommand{Workload: "../../examples/workloads/trust.json", SpeedFactor: 2}
	o, err := c.options()
	assert.NilError(t, err)
	assert.Equal(t, o.Versions["s1"].TokensPerSecond, 160.0)
	assert.Equal(t, o.Versions["s1"].FirstToken, 90*time.Millisecond)
	c.SpeedFactor = 0
	_, err = c.options()
	assert.ErrorContains(t, err, "--speed-factor")
}
