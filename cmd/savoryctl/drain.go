package main

import (
	"github.com/jessevdk/go-flags"

	"github.com/savoryshift/savoryshift/operator"
)

var drainCommand = command{name: "drain", short: "Stop new work for an upstream",
	new: func(e *env) flags.Commander { return &drainOptions{env: e} }}

type drainOptions struct {
	env *env
	editFlags
	Undo bool `long:"undo" description:"let the upstream have new work again"`
	Args struct {
		Upstream string `positional-arg-name:"UPSTREAM" required:"true"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (o *drainOptions) Execute([]string) error {
	c, err := o.env.client()
	if err != nil {
		return err
	}
	result, err := c.Drain(o.env.ctx, o.Args.Upstream, operator.Action{ID: o.changeID(), Reason: o.Reason, Undo: o.Undo})
	return o.env.reportEdit(c, o.editFlags, result, err)
}
