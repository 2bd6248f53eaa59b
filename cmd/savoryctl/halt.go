package main

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/savoryshift/savoryshift/operator"
)

var haltCommand = command{name: "halt", short: "Halt the target of a roll-out at once, also while the platform is down",
	new: func(e *env) flags.Commander { return &haltOptions{env: e} }}

type haltOptions struct {
	env     *env
	Reason  string `long:"reason" short:"r" required:"true" description:"reason, for the log"`
	Rollout string `long:"rollout" description:"id of the roll-out (default: the active one to the version)"`
	Args    struct {
		Version string `positional-arg-name:"VERSION" required:"true"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (o *haltOptions) Execute([]string) error {
	c, err := o.env.client()
	if err != nil {
		return err
	}
	mark, err := c.Halt(o.env.ctx, operator.HaltRequest{Version: o.Args.Version, Rollout: o.Rollout, Reason: o.Reason})
	if err != nil {
		return err
	}
	return o.env.print(mark, func(w io.Writer) {
		fmt.Fprintf(w, "version %s is halted in roll-out %s\n", mark.Version, mark.Rollout)
	})
}
