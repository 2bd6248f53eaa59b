package main

import "github.com/jessevdk/go-flags"

// benchCommand compares the routing policy with baseline routers.
type benchCommand struct{ benchOptions }

// Execute implements flags.Commander.
func (c *benchCommand) Execute([]string) error { return c.run() }

// addBenchCommand declares `savoryctl bench`.
func addBenchCommand(parser *flags.Parser) error {
	_, err := parser.AddCommand("bench", "Compare the policy with baselines on a workload",
		"Simulates arrivals, engines and faults of a workload file on virtual time, drives the decision code of the daemon "+
			"and the baselines with the same arrivals, and prints a table.", &benchCommand{})
	return err
}
