package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	maxReasonBytes = 1000
	maxIDBytes     = 64
	// maxPatchBytes is the maximum size of a patch in the change log.
	maxPatchBytes = 1 << 20
	// actionAttempts bounds the attempts to append an action that conflicts with
	// other changes.
	actionAttempts = 10
)

func (s *Server) postChange(r *http.Request, author string) (any, error) {
	var e Edit
	if err := s.readBody(r, &e); err != nil {
		return nil, err
	}
	if e.Base < 0 {
		return nil, errkind.New(errkind.BadRequest, "base %d is below 0", e.Base)
	}
	base, err := s.treeCache.atRevision(r.Context(), e.Base)
	if err != nil {
		return nil, err
	}
	head, err := s.options.Log.Head(r.Context())
	if err != nil {
		return nil, err
	}
	if earlier, err := s.findRecentChange(r.Context(), head.Revision, e.ID); err != nil {
		return nil, err
	} else if earlier != nil && (earlier.Author != author || !bytes.Equal(earlier.Patch, e.Patch)) {
		return nil, errkind.New(errkind.BadRequest, "id %q is taken by revision %d with another author or patch", e.ID, earlier.Revision)
	} else if earlier != nil {
		return s.editResult(*earlier, false), nil
	}
	return s.propose(r.Context(), author, e, base)
}

// propose validates the result of an edit on the document of its base and appends
// the edit to the change log.
func (s *Server) propose(ctx context.Context, author string, e Edit, base document) (EditResult, error) {
	if e.ID == "" {
		e.ID = s.options.NewID()
	}
	if len(e.ID) > maxIDBytes {
		return EditResult{}, errkind.New(errkind.BadRequest, "the id is longer than %d bytes", maxIDBytes)
	}
	if e.Reason == "" || len(e.Reason) > maxReasonBytes {
		return EditResult{}, errkind.New(errkind.BadRequest, "a reason of 1 to %d bytes is required", maxReasonBytes)
	}
	if len(e.Patch) > maxPatchBytes {
		return EditResult{}, errkind.New(errkind.PayloadTooLarge, "the patch is longer than %d bytes", maxPatchBytes)
	}
	s.patching.Lock()
	data, err := applyPatch(base.data, e.Patch)
	s.patching.Unlock()
	if err != nil {
		return EditResult{}, err
	}
	if bytes.Equal(data, base.data) {
		return s.editResult(changelog.Change{Revision: base.revision}, true), nil
	}
	change, err := s.options.Log.Append(ctx, changelog.Change{
		ID: e.ID, Author: author, Reason: e.Reason, Base: base.revision, Time: s.options.Now().UTC(), Patch: e.Patch,
	})
	if err != nil {
		return EditResult{}, err
	}
	s.options.Counters.Add(countEdits, 1)
	s.options.Logger.Info("change committed", zap.Int64("revision", change.Revision), zap.String("id", change.ID),
		zap.String("author", author), zap.String("reason", e.Reason))
	return s.editResult(change, false), nil
}

// applyPatch returns the document that results from a patch. An invalid document
// is an error.
func applyPatch(data, patch []byte) ([]byte, error) {
	if trimmed := bytes.TrimSpace(patch); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, errkind.New(errkind.BadRequest, "the patch is not a JSON object")
	}
	result, err := tree.ApplyPatch(data, patch)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err)
	}
	if _, err := tree.ParseValid(result); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err)
	}
	return result, nil
}

func (s *Server) editResult(c changelog.Change, noEffect bool) EditResult {
	state, zones, vms := s.changeState(c.Revision)
	result := EditResult{Revision: c.Revision, State: state, NoEffect: noEffect, MissingZones: zones, MissingVMs: vms}
	if !noEffect {
		change := changeOf(c)
		result.Change = &change
	}
	return result
}

// planner computes the merge patch of an action on the entity with an id. It
// returns nil when the tree already is in the requested state.
type planner func(t tree.Tree, id string, a Action) (map[string]any, error)

// action returns the handler of an action. After a conflict it computes the patch
// again from the new head, because an action states no base.
func (s *Server) action(plan planner) func(r *http.Request, author string) (any, error) {
	return func(r *http.Request, author string) (any, error) {
		var a Action
		if err := s.readBody(r, &a); err != nil {
			return nil, err
		}
		if a.ID == "" {
			a.ID = s.options.NewID()
		}
		for attempt := 1; ; attempt++ {
			result, err := s.tryAction(r.Context(), author, r.PathValue("id"), a, plan)
			if _, conflict := errors.AsType[*changelog.ConflictError](err); !conflict || attempt == actionAttempts {
				return result, err
			}
		}
	}
}

func (s *Server) tryAction(ctx context.Context, author, id string, a Action, plan planner) (EditResult, error) {
	base, err := s.treeCache.head(ctx)
	if err != nil {
		return EditResult{}, err
	}
	if earlier, err := s.findRecentChange(ctx, base.revision, a.ID); err != nil || earlier != nil {
		if err != nil {
			return EditResult{}, err
		}
		return s.editResult(*earlier, false), nil
	}
	t, err := tree.Parse(base.data)
	if err != nil {
		return EditResult{}, err
	}
	patch, err := plan(t, id, a)
	if err != nil {
		return EditResult{}, err
	}
	if patch == nil {
		return s.editResult(changelog.Change{Revision: base.revision}, true), nil
	}
	data, err := json.Marshal(patch)
	if err != nil {
		return EditResult{}, err
	}
	return s.propose(ctx, author, Edit{ID: a.ID, Reason: a.Reason, Patch: data}, base)
}

// findRecentChange returns the change with an id if it is one of the pageSize
// newest changes, otherwise nil. Callers use it to recognise a repeated call
// whose first reply was lost.
func (s *Server) findRecentChange(ctx context.Context, head int64, id string) (*changelog.Change, error) {
	changes, err := s.options.Log.Changes(ctx, max(0, head-pageSize), pageSize)
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		if c.ID == id {
			return &c, nil
		}
	}
	return nil, nil
}
