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

// DefaultPage is the number of changes on a page.
const DefaultPage = 50

// number returns a query parameter; missing counts as 0.
func number(r *http.Request, name string) (int64, error) {
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

// wanted returns the document of the parameter revision; missing or 0 means
// the head, and then the daemon's own tree when the log is unreachable.
func (s *Server) wanted(r *http.Request) (document, bool, error) {
	revision, err := number(r, "revision")
	if err != nil {
		return document{}, false, err
	}
	if revision > 0 {
		d, err := s.trees.at(r.Context(), revision)
		return d, false, err
	}
	d, err := s.trees.head(r.Context())
	snapshot := s.o.Snapshot()
	if !errors.Is(err, store.ErrUnavailable) || snapshot == nil {
		return d, false, err
	}
	data, err := json.Marshal(snapshot.Tree())
	return document{snapshot.Revision(), snapshot.Hash(), data}, true, oops.Wrap(err)
}

func (s *Server) getTree(r *http.Request) (any, error) {
	d, stale, err := s.wanted(r)
	return TreeAnswer{d.revision, d.hash, stale, d.data}, err
}

func (s *Server) getEffective(r *http.Request) (any, error) {
	d, stale, err := s.wanted(r)
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
	from, err := number(r, "from")
	if err != nil {
		return nil, err
	}
	old, err := s.trees.at(r.Context(), from)
	if err != nil {
		return nil, err
	}
	to, err := number(r, "to")
	if err != nil {
		return nil, err
	}
	d, err := s.trees.head(r.Context())
	if to > 0 && err == nil {
		d, err = s.trees.at(r.Context(), to)
	}
	if err != nil {
		return nil, err
	}
	differences, err := tree.Diff(old.data, d.data)
	return DiffAnswer{from, d.revision, differences}, err
}

// getChanges answers with the changes above after or, without after, the
// newest ones.
func (s *Server) getChanges(r *http.Request) (any, error) {
	after, err := number(r, "after")
	if err != nil {
		return nil, err
	}
	limit, err := number(r, "limit")
	if err != nil {
		return nil, err
	}
	if limit == 0 {
		limit = DefaultPage
	}
	limit = min(limit, pageSize)
	head, err := s.o.Log.Head(r.Context())
	if err != nil {
		return nil, err
	}
	if !r.URL.Query().Has("after") {
		after = max(0, head.Revision-limit)
	}
	changes, err := s.o.Log.Changes(r.Context(), after, int(limit))
	return Page{head, changesOf(changes)}, err
}

func (s *Server) getChangeStatus(r *http.Request) (any, error) {
	revision, err := strconv.ParseInt(r.PathValue("revision"), 10, 64)
	if err != nil || revision < 1 {
		return nil, errkind.New(errkind.BadRequest, "revision %q is not a number above 0", r.PathValue("revision"))
	}
	changes, err := s.o.Log.Changes(r.Context(), revision-1, 1)
	if err != nil {
		return nil, err
	}
	if len(changes) == 0 {
		return nil, errkind.New(errkind.NotFound, "revision %d doesn't exist", revision)
	}
	state, zones, vms := s.state(revision)
	return ChangeStatus{revision, changes[0].ID, state, zones, vms}, nil
}

func (s *Server) state(revision int64) (state ChangeState, zones, vms []string) {
	zones, vms = s.o.Acceptance.Missing(revision)
	if len(zones)+len(vms) > 0 {
		return Committed, zones, vms
	}
	return Accepted, nil, nil
}
