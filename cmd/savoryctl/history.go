package main

import (
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/savoryshift/savoryshift/operator"
)

var historyCommand = command{name: "history", short: "List the newest changes",
	new: func(e *env) flags.Commander { return &historyOptions{env: e} }}

type historyOptions struct {
	env   *env
	After int64 `long:"after" default:"-1" description:"list the changes above this revision instead"`
	Limit int   `long:"limit" default:"20" description:"how many changes to list, at most 256"`
}

// Execute implements flags.Commander.
func (o *historyOptions) Execute([]string) error {
	c, err := o.env.client()
	if err != nil {
		return err
	}
	page, err := c.Changes(o.env.ctx, o.After, o.Limit)
	if err != nil {
		return err
	}
	return o.env.print(page, func(w io.Writer) {
		for _, change := range page.Changes {
			fmt.Fprintf(w, "%6d  %s  %-16s %s\n", change.Revision, change.Time.Format(time.RFC3339), change.Author, change.Reason)
		}
	})
}

var auditCommand = command{name: "audit", short: "Print all changes with patches, and check the hash chain",
	new: func(e *env) flags.Commander { return &auditOptions{env: e} }}

type auditOptions struct {
	env    *env
	After  int64  `long:"after" description:"start above this revision"`
	Author string `long:"author" description:"only changes of this author"`
}

// auditPage is the number of changes that `savoryctl audit` fetches per call.
const auditPage = 256

// Execute implements flags.Commander.
func (o *auditOptions) Execute([]string) error {
	c, err := o.env.client()
	if err != nil {
		return err
	}
	after, prev := o.After, ""
	for {
		page, err := c.Changes(o.env.ctx, after, auditPage)
		if err != nil {
			return err
		}
		for _, change := range page.Changes {
			if change.Revision != after+1 || (prev != "" && change.Prev != prev) {
				return fmt.Errorf("the change log has a gap or a broken hash chain between revisions %d and %d", after, change.Revision)
			}
			after, prev = change.Revision, change.Hash
			if err := o.printChange(change); err != nil {
				return err
			}
		}
		if len(page.Changes) == 0 {
			return nil
		}
	}
}

func (o *auditOptions) printChange(change operator.Change) error {
	if o.Author != "" && o.Author != change.Author {
		return nil
	}
	return o.env.print(change, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d\n  id     %s\n  time   %s\n  author %s\n  reason %s\n  base   %d\n  hash   %s\n  patch  %s\n",
			change.Revision, change.ID, change.Time.Format(time.RFC3339), change.Author, change.Reason, change.Base, change.Hash, change.Patch)
	})
}
