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

// errProblems is returned by a command that has already printed the problems of a
// file.
var errProblems = errors.New("the file has problems")

// env holds the context, the output streams and the operator API flags that all
// commands share.
type env struct {
	ctx context.Context
	out io.Writer
	err io.Writer
	api apiFlags
}

// command declares one command of the command line. Its field new returns a
// pointer to a struct with go-flags tags that implements flags.Commander.
type command struct {
	name  string
	short string
	new   func(e *env) flags.Commander
	// subcommands holds the nested commands; new is nil for a command that has
	// some.
	subcommands []command
}

// standaloneCommands are functions that register the commands that do not call
// the operator API.
var standaloneCommands = []func(*flags.Parser) error{addStandinCommand, addLoadCommand, addDemoCommand, addBenchCommand}

// commands returns the commands that share env: those that call the operator API,
// and check, key and explain. Add new ones here.
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

// execute parses the arguments, runs the command and returns the exit code.
func execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	e := &env{ctx: ctx, out: out, err: errOut}
	parser := flags.NewNamedParser("savoryctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Operator API", "", &e.api); err != nil {
		return e.reportError(err)
	}
	if err := register(parser.Command, e, commands()); err != nil {
		return e.reportError(err)
	}
	for _, add := range standaloneCommands {
		if err := add(parser); err != nil {
			return e.reportError(err)
		}
	}
	_, err := parser.ParseArgs(args)
	return e.reportError(err)
}

// register adds the commands of list and their subcommands to parent.
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
		if err := register(added, e, c.subcommands); err != nil {
			return err
		}
	}
	return nil
}

// reportError prints err, if it is not nil, and returns the exit code for it.
func (e *env) reportError(err error) int {
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
