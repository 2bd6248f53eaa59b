package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/oklog/run"
)

// shutdownTimeout bounds the wait for calls in flight when a stand-in stops.
const shutdownTimeout = 30 * time.Second

// serveUntilSignal serves h on address until SIGTERM or SIGINT and then lets
// the calls in flight finish.
func serveUntilSignal(address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stdout, "listening on http://%s\n", listener.Addr())
	wait, interrupt := run.SignalHandler(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	if err := serve(listener, h, wait, interrupt); !errors.Is(err, run.ErrSignal) {
		return err
	}
	return nil
}

// serve serves h until the actor (wait, interrupt) ends, lets the calls in
// flight finish and returns the error of the actor, or that of the shutdown.
func serve(listener net.Listener, h http.Handler, wait func() error, interrupt func(error)) error {
	server := &http.Server{Handler: h}
	var group run.Group
	group.Add(wait, interrupt)
	var shutdown error
	group.Add(func() error {
		return server.Serve(listener)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		shutdown = server.Shutdown(ctx)
	})
	// Run calls every interrupt before it returns.
	err := group.Run()
	if shutdown != nil {
		return shutdown
	}
	return err
}
