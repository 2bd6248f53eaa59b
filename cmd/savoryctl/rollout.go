package main

import (
	"github.com/jessevdk/go-flags"

	"github.com/savoryshift/savoryshift/operator"
)

var rolloutCommand = command{name: "rollout", short: "Start, pause, continue or abort a roll-out", subcommands: []command{
	{name: "start", short: "Move new sessions to another version, step by step",
		new: func(e *env) flags.Commander { return &rolloutStart{env: e} }},
	rolloutActionCommand("pause", "Keep a roll-out at its share"),
	rolloutActionCommand("continue", "Continue a paused roll-out"),
	rolloutActionCommand("abort", "Send new sessions to the base version again"),
}}

type rolloutArgs struct {
	ID string `positional-arg-name:"ROLLOUT" required:"true" description:"id of the roll-out"`
}

type rolloutStart struct {
	env *env
	editFlags
	From        string      `long:"from" required:"true" description:"base version"`
	To          string      `long:"to" required:"true" description:"version to roll out"`
	Percent     float64     `long:"percent" default:"5" description:"share of new sessions at the start"`
	StepPercent float64     `long:"step-percent" default:"10" description:"percent added with each step"`
	StepSeconds float64     `long:"step-seconds" default:"60" description:"seconds between steps"`
	Args        rolloutArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (o *rolloutStart) Execute([]string) error {
	c, err := o.env.client()
	if err != nil {
		return err
	}
	result, err := c.Rollout(o.env.ctx, o.Args.ID, "start", operator.Action{
		ID: o.changeID(), Reason: o.Reason, From: o.From, To: o.To,
		Percent: o.Percent, StepPercent: o.StepPercent, StepSeconds: o.StepSeconds,
	})
	return o.env.reportEdit(c, o.editFlags, result, err)
}

// rolloutActionCommand returns the command for an action on an existing rollout.
func rolloutActionCommand(action, short string) command {
	return command{name: action, short: short, new: func(e *env) flags.Commander { return &rolloutActionOptions{env: e, action: action} }}
}

type rolloutActionOptions struct {
	env    *env
	action string
	editFlags
	Args rolloutArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (o *rolloutActionOptions) Execute([]string) error {
	c, err := o.env.client()
	if err != nil {
		return err
	}
	result, err := c.Rollout(o.env.ctx, o.Args.ID, o.action, operator.Action{ID: o.changeID(), Reason: o.Reason})
	return o.env.reportEdit(c, o.editFlags, result, err)
}
