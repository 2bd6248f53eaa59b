package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "bench" {
		os.Exit(runBench(os.Args[2:]))
	}
	parser := flags.NewNamedParser("savoryctl", flags.Default)
	for _, add := range []func(*flags.Parser) error{addStandinCommand, addLoadCommand} {
		if err := add(parser); err != nil {
			panic(err) // a command is declared twice
		}
	}
	if _, err := parser.Parse(); err != nil {
		if help, ok := errors.AsType[*flags.Error](err); ok && help.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}
