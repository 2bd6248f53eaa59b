package operator

import (
	"context"
	"sync"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	// pageSize is how many changes are read from the log at once.
	pageSize = 256
	// keptTrees is how many documents stay in memory; edits are based on
	// recent revisions.
	keptTrees = 8
)

// document is the JSON of the tree at a revision.
type document struct {
	revision int64
	hash     string
	data     []byte
}

// trees replays the change log into documents and keeps the latest ones. It is
// safe for concurrent use.
type trees struct {
	log ChangeLog

	mu   sync.Mutex
	kept []document // ascending by revision
}

func newTrees(log ChangeLog) *trees { return &trees{log: log} }

// head returns the document of the newest revision.
func (t *trees) head(ctx context.Context) (document, error) {
	head, err := t.log.Head(ctx)
	if err != nil {
		return document{}, err
	}
	return t.at(ctx, head.Revision)
}

// at returns the document of a revision; the error has kind not_found when the
// log is shorter.
func (t *trees) at(ctx context.Context, revision int64) (document, error) {
	d := t.nearest(revision)
	for d.revision < revision {
		changes, err := t.log.Changes(ctx, d.revision, int(min(pageSize, revision-d.revision)))
		if err != nil {
			return document{}, err
		}
		if len(changes) == 0 {
			return document{}, errkind.New(errkind.NotFound, "revision %d doesn't exist; the log ends at %d", revision, d.revision)
		}
		for _, c := range changes {
			data, err := tree.ApplyPatch(d.data, c.Patch)
			if err != nil {
				return document{}, oops.Wrapf(err, "patch of revision %d", c.Revision)
			}
			d = document{c.Revision, c.Hash, data}
		}
	}
	t.keep(d)
	return d, nil
}

// nearest returns the kept document with the highest revision up to a limit.
func (t *trees) nearest(limit int64) document {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := document{data: []byte("{}")}
	for _, d := range t.kept {
		if d.revision <= limit {
			found = d
		}
	}
	return found
}

// keep drops the oldest document when there are too many.
func (t *trees) keep(d document) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := 0
	for at < len(t.kept) && t.kept[at].revision < d.revision {
		at++
	}
	if at < len(t.kept) && t.kept[at].revision == d.revision {
		return
	}
	t.kept = append(t.kept, document{})
	copy(t.kept[at+1:], t.kept[at:])
	t.kept[at] = d
	if len(t.kept) > keptTrees {
		t.kept = t.kept[1:]
	}
}
