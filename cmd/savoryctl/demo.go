package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/demo"
)

// errDemo is returned after a demonstration whose checks failed.
var errDemo = errors.New("the demonstration failed")

// demoCommand implements `savoryctl demo`.
type demoCommand struct {
	Requests int  `long:"requests" default:"400" description:"number of requests to send"`
	JSON     bool `long:"json" description:"print the verdict as one JSON object and nothing else"`
	Logs     bool `long:"logs" description:"print the logs of the daemons"`

	out io.Writer
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	o := demo.Options{Requests: c.Requests, Progress: c.out}
	if c.JSON {
		o.Progress = io.Discard
	}
	if c.Logs {
		logger, err := zap.NewDevelopment()
		if err != nil {
			return err
		}
		o.Logger = logger
	}
	v, err := demo.Run(context.Background(), o)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(c.out).Encode(v); err != nil {
			return err
		}
	} else {
		for _, f := range v.Failures {
			fmt.Fprintln(c.out, f)
		}
		fmt.Fprintln(c.out, v.Line())
	}
	if problem := v.Problem(); problem != "" {
		return fmt.Errorf("%w: %s", errDemo, problem)
	}
	return nil
}

// addDemoCommand declares `savoryctl demo`.
func addDemoCommand(parser *flags.Parser) error {
	_, err := parser.AddCommand("demo", "Run the whole system in one process and check it",
		"Starts stand-ins and six daemons on loopback, sends requests through them and checks the results. "+
			"Ends within 30 s; the exit code is 0 if all checks passed.", &demoCommand{out: os.Stdout})
	return err
}
