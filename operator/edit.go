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
	// maxPatchBytes is the bound of the change log.
	maxPatchBytes = 1 << 20
	// actionAttempts bounds how often an action is computed again after a
	// conflict with another change.
	actionAttempts = 10
)

func (s *Server) postChange(r *http.Request, author string) (any, error) {
	var e Edit
	if err := readBody(r, &e); err != nil {
		return nil, err
	}
	if e.Base < 0 {
		return nil, errkind.New(errkind.BadRequest, "base %d is below 0", e.Base)
	}
	base, err := s.trees.at(r.Context(), e.Base)
	if err != nil {
		return nil, err
	}
	head, err := s.o.Log.Head(r.Context())
	if err != nil {
		return nil, err
	}
	if earlier, err := s.earlier(r.Context(), head.Revision, e.ID); err != nil {
		return nil, err
	} else if earlier != nil && (earlier.Author != author || !bytes.Equal(earlier.Patch, e.Patch)) {
		return nil, errkind.New(errkind.BadRequest, "id %q is taken by revision %d with another author or patch", e.ID, earlier.Revision)
	} else if earlier != nil {
		return s.result(*earlier, false), nil
	}
	return s.propose(r.Context(), author, e, base)
}

// propose validates an edit against the document of its base and appends it.
func (s *Server) propose(ctx context.Context, author string, e Edit, base document) (EditResult, error) {
	if e.ID == "" {
		e.ID = s.o.NewID()
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
	data, err := apply(base.data, e.Patch)
	if err != nil {
		return EditResult{}, err
	}
	if bytes.Equal(data, base.data) {
		return s.result(changelog.Change{Revision: base.revision}, true), nil
	}
	change, err := s.o.Log.Append(ctx, changelog.Change{
		ID: e.ID, Author: author, Reason: e.Reason, Base: base.revision, Time: s.o.Now().UTC(), Patch: e.Patch,
	})
	if err != nil {
		return EditResult{}, err
	}
	s.o.Counters.Add(countEdits, 1)
	s.o.Logger.Info("change committed", zap.Int64("revision", change.Revision), zap.String("id", change.ID),
		zap.String("author", author), zap.String("reason", e.Reason))
	return s.result(change, false), nil
}

// apply returns the valid document that results from a patch.
func apply(data, patch []byte) ([]byte, error) {
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

func (s *Server) result(c changelog.Change, noEffect bool) EditResult {
	state, zones, vms := s.state(c.Revision)
	result := EditResult{Revision: c.Revision, State: state, NoEffect: noEffect, MissingZones: zones, MissingVMs: vms}
	if !noEffect {
		change := changeOf(c)
		result.Change = &change
	}
	return result
}

// planner computes the merge patch of an action on the entity id. It returns
// nil when the tree already is as wanted.
type planner func(t tree.Tree, id string, a Action) (map[string]any, error)

// action returns the handler of an action. After a conflict the patch is
// computed again from the new head, because the action states no base.
func (s *Server) action(plan planner) func(r *http.Request, author string) (any, error) {
	return func(r *http.Request, author string) (any, error) {
		var a Action
		if err := readBody(r, &a); err != nil {
			return nil, err
		}
		if a.ID == "" {
			a.ID = s.o.NewID()
		}
		for attempt := 1; ; attempt++ {
			result, err := s.attempt(r.Context(), author, r.PathValue("id"), a, plan)
			if _, conflict := errors.AsType[*changelog.ConflictError](err); !conflict || attempt == actionAttempts {
				return result, err
			}
		}
	}
}

func (s *Server) attempt(ctx context.Context, author, id string, a Action, plan planner) (EditResult, error) {
	base, err := s.trees.head(ctx)
	if err != nil {
		return EditResult{}, err
	}
	if earlier, err := s.earlier(ctx, base.revision, a.ID); err != nil || earlier != nil {
		if err != nil {
			return EditResult{}, err
		}
		return s.result(*earlier, false), nil
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
		return s.result(changelog.Change{Revision: base.revision}, true), nil
	}
	data, err := json.Marshal(patch)
	if err != nil {
		return EditResult{}, err
	}
	return s.propose(ctx, author, Edit{ID: a.ID, Reason: a.Reason, Patch: data}, base)
}

// earlier returns the change with an id among the newest changes, so that a
// repeated call whose reply was lost isn't taken for a new one.
func (s *Server) earlier(ctx context.Context, head int64, id string) (*changelog.Change, error) {
	changes, err := s.o.Log.Changes(ctx, max(0, head-pageSize), pageSize)
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
