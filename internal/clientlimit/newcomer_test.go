package clientlimit

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a client that keeps its place because it sends one request after the other, so
// that its connection is never idle when another one asks for room.
func TestKeptConnectionsMakeRoom(t *testing.T) {
	hold := make(chan struct{})
	s := serve(t, Options{Memory: 1 << 20, Descriptors: 2}, hold)
	kept := s.send(get)
	s.await("it runs", func(u Usage) bool { return u.Descriptors == 2 })
	assert.Equal(t, s.status(s.send("")), 0)
	close(hold)
	reader := bufio.NewReader(kept)
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	// The request that ran when room was missing keeps its connection, the next one does not.
	assert.Assert(t, !resp.Close)
	_, err = io.WriteString(kept, get)
	assert.NilError(t, err)
	resp, err = http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Assert(t, resp.Close)
	s.await("its place is free", func(u Usage) bool { return u.Connections == 0 })
	time.Sleep(tightTime)
	again := s.send(get)
	resp, err = http.ReadResponse(bufio.NewReader(again), nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Assert(t, !resp.Close)
}

// Guards against a connection that is accepted although its request has no room.
func TestConnectionNeedsRoomForItsRequest(t *testing.T) {
	hold := make(chan struct{})
	s := serve(t, Options{Memory: 1 << 20, Descriptors: 3}, hold)
	s.send(get)
	s.await("it runs", func(u Usage) bool { return u.Descriptors == 2 })
	assert.Equal(t, s.status(s.send("")), 0)
	close(hold)
}
