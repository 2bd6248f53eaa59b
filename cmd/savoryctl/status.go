package main

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/savoryshift/savoryshift/operator"
)

var statusCommand = command{name: "status", short: "Describe a daemon, or the state of a change",
	new: func(e *env) flags.Commander { return &statusOptions{env: e} }}

type statusOptions struct {
	env  *env
	Args struct {
		Revision int64 `positional-arg-name:"REVISION" description:"print the state of this change"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (o *statusOptions) Execute([]string) error {
	c, err := o.env.client()
	if err != nil {
		return err
	}
	if o.Args.Revision > 0 {
		got, err := c.ChangeStatus(o.env.ctx, o.Args.Revision)
		if err != nil {
			return err
		}
		return o.env.print(got, func(w io.Writer) {
			fmt.Fprintf(w, "revision %d: %s%s\n", got.Revision, got.State, missingSuffix(got.MissingZones, got.MissingVMs))
		})
	}
	got, err := c.Status(o.env.ctx)
	if err != nil {
		return err
	}
	return o.env.print(got, func(w io.Writer) { printStatus(w, got) })
}

// printStatus writes the status of a daemon in readable form.
func printStatus(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "VM %s in %s, region %s\n", s.VM, s.AvailabilityZone, s.Region)
	fmt.Fprintf(w, "revision %d, evidence %d ms old, isolated: %v, draining: %v\n", s.Revision, s.EvidenceAgeMs, s.Isolated, s.Draining)
	fmt.Fprintf(w, "requests in flight %d, ledger entries %d (%d bytes)\n", s.RequestsInFlight, s.LedgerEntries, s.LedgerBytes)
	for _, h := range s.Halts {
		fmt.Fprintf(w, "halted   %s in roll-out %s\n", h.Version, h.Rollout)
	}
	for _, m := range s.Members {
		fmt.Fprintf(w, "member   %-20s %-16s revision %d, heard of %d ms ago, delegate: %v\n", m.VM, m.AvailabilityZone, m.Revision, m.AgeMs, m.Delegate)
	}
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "upstream %-20s %-16s %-8s in flight %d, versions %v\n", u.ID, u.AvailabilityZone, u.State, u.InFlight, u.Versions)
	}
}
