package operator

import (
	"context"
	"sync"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	// pageSize is the number of changes that are read from the log at once.
	pageSize = 256
	// maxCachedDocuments bounds the cached documents. A few suffice, because edits
	// are based on recent revisions.
	maxCachedDocuments = 8
)

// document is the JSON of the tree at a revision.
type document struct {
	revision int64
	hash     string
	data     []byte
}

// treeCache computes the document at a revision by replaying the change log, and
// caches the documents with the highest revisions. It is safe for concurrent use.
type treeCache struct {
	log ChangeLog

	mu        sync.Mutex
	documents []document // ascending by revision
}

func newTreeCache(log ChangeLog) *treeCache { return &treeCache{log: log} }

// head returns the document of the newest revision.
func (t *treeCache) head(ctx context.Context) (document, error) {
	head, err := t.log.Head(ctx)
	if err != nil {
		return document{}, err
	}
	return t.atRevision(ctx, head.Revision)
}

// atRevision returns the document at a revision. The error has kind not_found when
// the log ends before that revision.
func (t *treeCache) atRevision(ctx context.Context, revision int64) (document, error) {
	d := t.latestUpTo(revision)
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
	t.add(d)
	return d, nil
}

// latestUpTo returns the cached document with the highest revision up to a limit,
// or the empty document of revision 0.
func (t *treeCache) latestUpTo(limit int64) document {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := document{data: []byte("{}")}
	for _, d := range t.documents {
		if d.revision <= limit {
			found = d
		}
	}
	return found
}

// add caches a document, and evicts the one with the lowest revision when there
// are too many.
func (t *treeCache) add(d document) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := 0
	for at < len(t.documents) && t.documents[at].revision < d.revision {
		at++
	}
	if at < len(t.documents) && t.documents[at].revision == d.revision {
		return
	}
	t.documents = append(t.documents, document{})
	copy(t.documents[at+1:], t.documents[at:])
	t.documents[at] = d
	if len(t.documents) > maxCachedDocuments {
		t.documents = t.documents[1:]
	}
}
