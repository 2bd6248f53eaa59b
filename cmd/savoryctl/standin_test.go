package main

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/run"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/upstream/upstreamtest"
)

// A stop must let a call in flight finish.
func TestServeFinishesCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := upstreamtest.New()
		l := network.Listen("standin:80")
		slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(w, "complete")
		})
		ctx, stop := context.WithCancel(t.Context())
		wait, interrupt := run.ContextHandler(ctx)
		done := make(chan error, 1)
		go func() { done <- serve(l, slow, wait, interrupt) }()
		time.AfterFunc(500*time.Millisecond, stop)
		transport := &http.Transport{DialContext: network.Dial}
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
