package main

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/savoryshift/savoryshift/tree"
)

var diffCommand = command{name: "diff", short: "Compare two revisions of the tree",
	new: func(e *env) flags.Commander { return &diffOptions{env: e} }}

type diffOptions struct {
	env  *env
	Args struct {
		From int64 `positional-arg-name:"FROM" required:"true"`
		To   int64 `positional-arg-name:"TO" description:"default: the newest revision"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (o *diffOptions) Execute([]string) error {
	c, err := o.env.client()
	if err != nil {
		return err
	}
	got, err := c.Diff(o.env.ctx, o.Args.From, o.Args.To)
	if err != nil {
		return err
	}
	return o.env.print(got, func(w io.Writer) { printDifferences(w, got.Differences) })
}

func printDifferences(w io.Writer, list []tree.Difference) {
	for _, d := range list {
		if len(d.Old) > 0 {
			fmt.Fprintf(w, "- %s: %s\n", d.Path, d.Old)
		}
		if len(d.New) > 0 {
			fmt.Fprintf(w, "+ %s: %s\n", d.Path, d.New)
		}
	}
}
