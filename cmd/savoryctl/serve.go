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

// shutdownTimeout bounds the graceful shutdown of a stand-in.
const shutdownTimeout = 30 * time.Second

// serveUntilSignal serves h on address until SIGTERM or SIGINT and then shuts the
// server down gracefully.
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

// serve serves h until the actor (wait, interrupt) ends, and then waits up to
// shutdownTimeout for the calls in flight. It returns the error of the shutdown,
// if any, and otherwise that of the actor.
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
	// Run calls every interrupt function before it returns, so shutdown is set.
	err := group.Run()
	if shutdown != nil {
		return shutdown
	}
	return err
}
