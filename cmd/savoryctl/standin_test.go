package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/run"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/upstream/upstreamtest"
)

// stopInFlight stops a server half a second into a call that takes one second, and
// returns what the client received.
func stopInFlight(t *testing.T, serve func(l net.Listener, h http.Handler, stop context.Context)) (body string, err error) {
	synctest.Test(t, func(t *testing.T) {
		network := upstreamtest.New()
		slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(time.Second):
				_, _ = io.WriteString(w, "complete")
			case <-r.Context().Done():
			}
		})
		stop, cancel := context.WithCancel(t.Context())
		listener := network.Listen("standin:80")
		var served sync.WaitGroup
		served.Go(func() { serve(listener, slow, stop) })
		time.AfterFunc(500*time.Millisecond, cancel)
		transport := &http.Transport{DialContext: network.Dial}
		defer served.Wait()
		defer transport.CloseIdleConnections()
		resp, getErr := (&http.Client{Transport: transport}).Get("http://standin/")
		if err = getErr; err != nil {
			return
		}
		data, readErr := io.ReadAll(resp.Body)
		body, err = string(data), readErr
	})
	return body, err
}

// Guards against a stop that breaks the connections of calls in flight.
func TestServeFinishesCallsInFlight(t *testing.T) {
	body, err := stopInFlight(t, func(l net.Listener, h http.Handler, stop context.Context) {
		wait, interrupt := run.ContextHandler(stop)
		assert.Check(t, errors.Is(serve(l, h, wait, interrupt), context.Canceled))
	})
	assert.NilError(t, err)
	assert.Equal(t, body, "complete")
}

// Negative control of TestServeFinishesCallsInFlight: the server is closed without
// a graceful shutdown, and the check must find that the call was cut off.
func TestServeWithoutGracefulShutdown(t *testing.T) {
	_, err := stopInFlight(t, func(l net.Listener, h http.Handler, stop context.Context) {
		server := &http.Server{Handler: h}
		context.AfterFunc(stop, func() { _ = server.Close() })
		_ = server.Serve(l)
	})
	assert.Assert(t, err != nil, "the call finished although the server was closed without a graceful shutdown")
}

// Guards against a profile that ignores the workload or the speed factor, and
// against a speed factor of 0.
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
