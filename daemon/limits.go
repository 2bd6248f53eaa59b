package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/oklog/run"

	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/share"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

// limiter implements proxy.Limiter on coord/share. This daemon has a share of the
// limits of each node of the settings tree that sets any.
type limiter struct{ shares *share.Manager }

// Admit implements proxy.Limiter. All limits that apply to a request must admit
// it. The innermost is checked first, so that a request that it refuses uses up
// nothing of the limits that more requests share.
func (l limiter) Admit(e *tree.Effective, expectedTokens int) (func(int), error) {
	for i := len(e.Limits) - 1; i >= 0; i-- {
		if err := l.shares.Admit(e.Limits[i].Node, int64(expectedTokens)); err != nil {
			return nil, limitError(err, e.Limits[i].Node)
		}
	}
	return func(tokens int) {
		for _, node := range e.Limits {
			l.shares.Correct(node.Node, int64(tokens-expectedTokens))
		}
	}, nil
}

func limitError(err error, node string) error {
	limited, ok := errors.AsType[*share.LimitedError](err)
	if !ok {
		return errkind.Wrap(errkind.Internal, err)
	}
	return errkind.New(errkind.LimitExceeded, "the limit of %s is reached; this daemon can admit a request in %s", node, limited.RetryAfter.Round(time.Millisecond))
}

// setLimits replaces the limits of the settings old by those of next. Only the
// control loop calls it, with each new snapshot.
func (l limiter) setLimits(old, next *tree.Snapshot) {
	limits := limitsOf(next)
	for node := range limitsOf(old) {
		if _, kept := limits[node]; !kept {
			l.shares.SetLimit(node, share.Limit{})
		}
	}
	for node, limit := range limits {
		l.shares.SetLimit(node, limit)
	}
}

// limitsOf returns the limits of all nodes of the tree.
func limitsOf(s *tree.Snapshot) map[string]share.Limit {
	limits := make(map[string]share.Limit)
	if s == nil {
		return limits
	}
	add := func(organisation, service, session string) {
		e, err := s.Effective(organisation, service, session)
		if err != nil {
			return
		}
		for _, n := range e.Limits {
			limits[n.Node] = share.Limit{RequestsPerSecond: n.RequestsPerSecond, TokensPerSecond: n.TokensPerSecond}
		}
	}
	for organisation, o := range s.Tree().Organisations {
		for service, node := range o.Services {
			add(organisation, service, "")
			for session := range node.Sessions {
				add(organisation, service, session)
			}
		}
	}
	return limits
}

const (
	// reclaimPeriod is how often the reclaimer checks for VMs that are gone.
	reclaimPeriod = 30 * time.Second
	// goneAfter is how long a registered VM must be missing from the platform's
	// list before its shares are reclaimed. A new VM appears there with a
	// delay.
	goneAfter = 5 * time.Minute
)

// reclaimer reclaims the shares of VMs that are gone from the platform's list.
// Only the holder of the control lease does so.
type reclaimer struct {
	table  store.Table
	shares *share.Manager
	// held reports whether this daemon holds the control lease.
	held func() bool
	// listed reports whether the platform's list has a VM; ok is false before
	// the list was read.
	listed func(id string) (listed, ok bool)

	missingSince map[string]time.Time // by VM
}

// Run reclaims the shares of VMs that are gone until ctx ends.
func (r *reclaimer) Run(ctx context.Context) error {
	ticker := time.NewTicker(reclaimPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if r.held() {
			r.reclaimMissing(ctx, time.Now())
		}
	}
}

// reclaimMissing reclaims the shares of VMs that have been missing from the list
// for goneAfter.
func (r *reclaimer) reclaimMissing(ctx context.Context, now time.Time) {
	registered, err := registeredVMs(ctx, r.table)
	if err != nil {
		return // the next tick tries again
	}
	missingSince := make(map[string]time.Time)
	for id, row := range registered {
		listed, ok := r.listed(id)
		if listed || !ok {
			continue
		}
		since, known := r.missingSince[id]
		if !known {
			since = now
		}
		missingSince[id] = since
		if now.Sub(since) >= goneAfter {
			r.reclaim(ctx, id, row)
		}
	}
	r.missingSince = missingSince
}

// reclaim returns the shares of a VM and removes its registration afterwards,
// so that it is repeated when it failed halfway.
func (r *reclaimer) reclaim(ctx context.Context, id string, row store.Row) {
	if _, err := r.shares.Reclaim(ctx, id); err != nil {
		return
	}
	// A conflict means that the VM has registered again.
	_ = r.table.Commit(ctx, []store.Op{{Key: row.Key, Expect: row.Version, Delete: true}})
}

// expectedHolders returns the number of live daemons, which share the limits.
func (c *configuration) expectedHolders() int { return max(1, len(c.members.Live())) }

// addLimits adds the loops that exchange shares of the limits and reclaim the
// shares of VMs that are gone.
func (d *Daemon) addLimits(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return d.shares.Run(ctx) }, func(error) {
		cancel()
		closeCtx, done := context.WithTimeout(context.Background(), exchangeTimeout)
		defer done()
		// Shares that are not released are reclaimed after the VM has left the
		// platform's list.
		_ = d.shares.Close(closeCtx)
	})
	d.addLoop(g, d.reclaimer.Run)
}

// isListed reports whether the platform's list has an entry VM.
func (c *control) isListed(id string) (listed, ok bool) {
	entryVMs := c.entryVMs.Load()
	if entryVMs == nil {
		return false, false
	}
	return (*entryVMs)[id], true
}

// storeEntryVMs replaces the set of entry VMs by that of the newest list.
func (c *control) storeEntryVMs(ids []string) {
	entryVMs := make(map[string]bool, len(ids))
	for _, id := range ids {
		entryVMs[id] = true
	}
	c.entryVMs.Store(&entryVMs)
}

// shareHolder returns the id and the incarnation that identify a VM in the rows
// of the shares.
func shareHolder(vm member.VM) (id, incarnation string) {
	return vm.ID, ledgerID(vm)[len(vm.ID)+1:]
}
