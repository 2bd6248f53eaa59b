package main

import (
	"github.com/jessevdk/go-flags"

	"github.com/savoryshift/savoryshift/operator"
)

var withdrawCommand = command{name: "withdraw", short: "Stop new work for a version",
	new: func(e *env) flags.Commander { return &withdrawOptions{env: e} }}

type withdrawOptions struct {
	env *env
	editFlags
	Successor        string `long:"successor" description:"version that takes over the sessions"`
	WithoutSuccessor bool   `long:"without-successor" description:"leave the sessions without a version"`
	Args             struct {
		Version string `positional-arg-name:"VERSION" required:"true"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (o *withdrawOptions) Execute([]string) error {
	c, err := o.env.client()
	if err != nil {
		return err
	}
	result, err := c.Withdraw(o.env.ctx, o.Args.Version, operator.Action{
		ID: o.changeID(), Reason: o.Reason, Successor: o.Successor, WithoutSuccessor: o.WithoutSuccessor,
	})
	return o.env.reportEdit(c, o.editFlags, result, err)
}
