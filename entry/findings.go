package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/quarantine"
)

// minFindingsInterval is the least time between two writes of findings, because each further
// end of an upstream changes them.
const minFindingsInterval = time.Second

// findingsChanged takes over what the store keeps of prompts that end upstreams. The memory of
// the VMs does not outlive a restart of all of them.
func (e *Entry) findingsChanged(c mirror.Change) {
	list, problems := platform.DecodeFindings(c.Rows)
	e.setIgnored(tableFindings, problems, zap.WarnLevel, "finding of the quarantine ignored")
	e.restoreFindings(list, c.At)
}

// restoreFindings takes over stored findings. Their ends have the time of the store's clock, so
// that they wait until that is known: a table may come from a peer before.
func (e *Entry) restoreFindings(list []quarantine.Stored, now time.Time) {
	clock, ok := e.findings.StoreClock(now)
	if !ok {
		return
	}
	e.quarantine.Restore(quarantine.Findings(list), now, clock)
	e.findingsLoaded.Store(true)
}

// writeFindings restores findings that are not restored yet, and starts the write of those that
// have changed. The VM of rank 0 writes them;
// it knows the evidence of the others from their digests.
func (e *Entry) writeFindings(ctx context.Context, now time.Time) {
	copied, loaded := e.findings.Copy()
	clock, ok := e.findings.StoreClock(now)
	if !ok || !loaded || e.stopping.Load() || now.Before(e.nextFindings) {
		return
	}
	restored, writer := e.findingsLoaded.Load(), e.fleet.Rank(now) == 0
	if restored && !writer {
		return
	}
	if !restored {
		known, _ := platform.DecodeFindings(copied.Rows)
		e.restoreFindings(known, now)
	}
	if !writer {
		return
	}
	// The rows of the store, not those held since it was restored, are to be replaced.
	stored, _ := platform.DecodeFindings(copied.Stored)
	changes := quarantine.Changes(stored, e.quarantine.Findings(now, clock))
	if len(changes) == 0 {
		return
	}
	e.nextFindings = now.Add(minFindingsInterval)
	go e.commitFindings(ctx, changes)
}

// commitFindings writes findings to the store. After a failure they still differ from the
// stored ones and are written again.
func (e *Entry) commitFindings(ctx context.Context, changes []quarantine.Change) {
	if err := e.store.CommitFindings(ctx, changes); err != nil {
		e.log.Warn("findings of the quarantine not written", zap.Int("changes", len(changes)), zap.Error(err))
		return
	}
	e.log.Info("findings of the quarantine written", zap.Int("changes", len(changes)))
}
