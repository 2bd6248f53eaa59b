package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/entry"
	"github.com/savoryshift/savoryshift/logging"
	"github.com/savoryshift/savoryshift/platform"
)

// logCloseTimeout bounds the writing of the last log lines.
const logCloseTimeout = 200 * time.Millisecond

// entryOptions are the flags of the command entry.
type entryOptions struct {
	Metrics string `long:"metrics" description:"IP:PORT at which counters and histograms are served as text"`
}

// startEntry runs the router of an entry VM on the users' platform and returns
// the exit code.
func startEntry(o entryOptions) int {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		fmt.Fprintf(os.Stderr, "%s: not set, want the path of the settings file\n", platform.SettingsVariable)
		return exitBadSettings
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	sink := logging.NewSink(os.Stdout)
	defer sink.Close(logCloseTimeout)
	log := logging.New(sink, zap.String("vm", s.VM))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := entry.New(entry.Options{
		Settings: s, SettingsPath: path, MetricsAddress: o.Metrics, Log: log, DroppedLogLines: sink.Dropped,
	}).Run(ctx); err != nil {
		log.Error("stopped after a failure", zap.Error(err))
		return exitFailure
	}
	return 0
}
