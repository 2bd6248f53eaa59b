package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/daemon"
	"github.com/savoryshift/savoryshift/settings"
)

// Exit codes; 0 is success.
const (
	exitFailure     = 1
	exitBadSettings = 2
)

// memoryLimitShare is the fraction of the memory of the settings that is the soft memory limit
// of the Go runtime.
const memoryLimitShare = 0.6

type options struct {
	Settings string `long:"settings" description:"path of the JSON settings file"`

	Entry entryOptions `command:"entry" description:"run on the users' platform, with the settings file that its environment variable names"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the daemon until a signal ends it and returns the exit code.
func run(args []string) int {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	parser.SubcommandsOptional = true
	if _, err := parser.ParseArgs(args); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return 0
		}
		return exitBadSettings
	}
	if parser.Active != nil {
		return runEntry(o.Entry)
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "--settings: not set, want the path of the JSON settings file")
		return exitBadSettings
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	logger, err := zap.NewProduction()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	defer func() { _ = logger.Sync() }()
	if memory := s.Bounds.MachineMemoryBytes; memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(daemon.Options{Settings: s, Logger: logger})
	if err != nil {
		logger.Error("start failed", zap.Error(err))
		return exitFailure
	}
	if err := d.Run(ctx); err != nil {
		logger.Error("stopped after a failure", zap.Error(err))
		return exitFailure
	}
	logger.Info("stopped")
	return 0
}
