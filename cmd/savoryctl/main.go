package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/savoryshift/savoryshift/operator"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitProblems = 2
	exitConflict = 3
)

// errProblems ends a command whose report is already printed.
var errProblems = errors.New("the file has problems")

// env is what commands share. Flags of the API are common to all commands.
type env struct {
	ctx context.Context
	out io.Writer
	err io.Writer
	api apiFlags
}

// command is one entry of the list of commands. New returns a pointer to a
// struct with go-flags tags that implements flags.Commander.
type command struct {
	name  string
	short string
	new   func(e *env) flags.Commander
	// sub holds the commands below this one; such an entry has no new.
	sub []command
}

// adders register commands on the parser themselves.
var adders = []func(*flags.Parser) error{addStandinCommand, addLoadCommand, addDemoCommand, addBenchCommand}

// commands is the list of operator commands; add new ones here.
func commands() []command {
	return []command{
		getCommand, setCommand, diffCommand, historyCommand, rolloutCommand, withdrawCommand, haltCommand,
		drainCommand, statusCommand, auditCommand, checkCommand, keyCommand, explainCommand,
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// execute runs one command line and returns the exit code.
func execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	e := &env{ctx: ctx, out: out, err: errOut}
	parser := flags.NewNamedParser("savoryctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Operator API", "", &e.api); err != nil {
		return e.fail(err)
	}
	if err := register(parser.Command, e, commands()); err != nil {
		return e.fail(err)
	}
	for _, add := range adders {
		if err := add(parser); err != nil {
			return e.fail(err)
		}
	}
	_, err := parser.ParseArgs(args)
	return e.fail(err)
}

func register(parent *flags.Command, e *env, list []command) error {
	for _, c := range list {
		var data any = &struct{}{}
		if c.new != nil {
			data = c.new(e)
		}
		added, err := parent.AddCommand(c.name, c.short, "", data)
		if err != nil {
			return err
		}
		if err := register(added, e, c.sub); err != nil {
			return err
		}
	}
	return nil
}

// fail prints err and returns its exit code.
func (e *env) fail(err error) int {
	if err == nil {
		return exitOK
	}
	if flagError, ok := errors.AsType[*flags.Error](err); ok {
		if flagError.Type == flags.ErrHelp {
			fmt.Fprintln(e.out, err)
			return exitOK
		}
		fmt.Fprintln(e.err, err)
		return exitProblems
	}
	if errors.Is(err, errProblems) {
		return exitProblems
	}
	fmt.Fprintln(e.err, "savoryctl:", err)
	if api, ok := errors.AsType[*operator.APIError](err); ok && api.Conflict != nil {
		return exitConflict
	}
	return exitFailure
}
