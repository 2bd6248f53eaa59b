package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

// DefaultPageSize is the number of changes on a page when the request states no
// limit.
const DefaultPageSize = 50

// queryNumber returns a query parameter as a number of 0 or more. A missing
// parameter counts as 0.
func queryNumber(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, errkind.New(errkind.BadRequest, "parameter %s: %q is not a number of 0 or more", name, text)
	}
	return n, nil
}

// requestedDocument returns the document at the revision that the request states.
// A missing or zero revision means the head. While the change log is unreachable,
// requestedDocument returns the daemon's configuration in force instead, and true.
func (s *Server) requestedDocument(r *http.Request) (document, bool, error) {
	revision, err := queryNumber(r, "revision")
	if err != nil {
		return document{}, false, err
	}
	if revision > 0 {
		d, err := s.treeCache.atRevision(r.Context(), revision)
		return d, false, err
	}
	d, err := s.treeCache.head(r.Context())
	snapshot := s.options.Snapshot()
	if !errors.Is(err, store.ErrUnavailable) || snapshot == nil {
		return d, false, err
	}
	data, err := json.Marshal(snapshot.Tree())
	return document{snapshot.Revision(), snapshot.Hash(), data}, true, oops.Wrap(err)
}

func (s *Server) getTree(r *http.Request) (any, error) {
	d, stale, err := s.requestedDocument(r)
	return TreeAnswer{d.revision, d.hash, stale, d.data}, err
}

func (s *Server) getEffective(r *http.Request) (any, error) {
	d, stale, err := s.requestedDocument(r)
	if err != nil {
		return nil, err
	}
	snapshot, err := tree.Build(d.data, d.revision, d.hash)
	if err != nil {
		return nil, err
	}
	q := r.URL.Query()
	effective, err := snapshot.Effective(q.Get("organisation"), q.Get("service"), q.Get("session"))
	return EffectiveAnswer{d.revision, stale, effective}, err
}

func (s *Server) getDiff(r *http.Request) (any, error) {
	from, err := queryNumber(r, "from")
	if err != nil {
		return nil, err
	}
	old, err := s.treeCache.atRevision(r.Context(), from)
	if err != nil {
		return nil, err
	}
	to, err := queryNumber(r, "to")
	if err != nil {
		return nil, err
	}
	d, err := s.treeCache.head(r.Context())
	if to > 0 && err == nil {
		d, err = s.treeCache.atRevision(r.Context(), to)
	}
	if err != nil {
		return nil, err
	}
	differences, err := tree.Diff(old.data, d.data)
	return DiffAnswer{from, d.revision, differences}, err
}

// getChanges returns the changes above the parameter after or, without that
// parameter, the newest ones.
func (s *Server) getChanges(r *http.Request) (any, error) {
	after, err := queryNumber(r, "after")
	if err != nil {
		return nil, err
	}
	limit, err := queryNumber(r, "limit")
	if err != nil {
		return nil, err
	}
	if limit == 0 {
		limit = DefaultPageSize
	}
	limit = min(limit, pageSize)
	head, err := s.options.Log.Head(r.Context())
	if err != nil {
		return nil, err
	}
	if !r.URL.Query().Has("after") {
		after = max(0, head.Revision-limit)
	}
	changes, err := s.options.Log.Changes(r.Context(), after, int(limit))
	return Page{head, changesOf(changes)}, err
}

func (s *Server) getChangeStatus(r *http.Request) (any, error) {
	revision, err := strconv.ParseInt(r.PathValue("revision"), 10, 64)
	if err != nil || revision < 1 {
		return nil, errkind.New(errkind.BadRequest, "revision %q is not a number above 0", r.PathValue("revision"))
	}
	changes, err := s.options.Log.Changes(r.Context(), revision-1, 1)
	if err != nil {
		return nil, err
	}
	if len(changes) == 0 {
		return nil, errkind.New(errkind.NotFound, "revision %d doesn't exist", revision)
	}
	state, zones, vms := s.changeState(revision)
	return ChangeStatus{revision, changes[0].ID, state, zones, vms}, nil
}

func (s *Server) changeState(revision int64) (state ChangeState, zones, vms []string) {
	zones, vms = s.options.Acceptance.Missing(revision)
	if len(zones)+len(vms) > 0 {
		return Committed, zones, vms
	}
	return Accepted, nil, nil
}
