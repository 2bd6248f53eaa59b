package operator

import (
	"net/http"
	"slices"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

// withdraw is the planner that withdraws a version and sets its successor.
// Running and paused rollouts to the version are aborted in the same change.
func withdraw(t tree.Tree, id string, a Action) (map[string]any, error) {
	version, ok := t.Versions[id]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "version %q doesn't exist", id)
	}
	if (a.Successor == "") != a.WithoutSuccessor {
		return nil, errkind.New(errkind.BadRequest, "a withdrawal needs either a successor or without_successor")
	}
	if version.State == tree.VersionWithdrawn && version.Successor == a.Successor {
		return nil, nil
	}
	change := map[string]any{"state": tree.VersionWithdrawn, "usable_in_isolation": nil, "successor": nil}
	if a.Successor != "" {
		change["successor"] = a.Successor
	}
	rollouts := map[string]any{}
	for name, r := range t.Rollouts {
		if r.To == id && (r.State == tree.RolloutRunning || r.State == tree.RolloutPaused) {
			rollouts[name] = map[string]any{"state": tree.RolloutAborted}
		}
	}
	patch := map[string]any{"versions": map[string]any{id: change}}
	if len(rollouts) > 0 {
		patch["rollouts"] = rollouts
	}
	return patch, nil
}

// startRollout is the planner that adds a running rollout.
func startRollout(t tree.Tree, id string, a Action) (map[string]any, error) {
	if _, exists := t.Rollouts[id]; exists {
		return nil, errkind.New(errkind.BadRequest, "roll-out %q already exists; continue it or use another id", id)
	}
	rollout := tree.Rollout{From: a.From, To: a.To, Percent: a.Percent, StepPercent: a.StepPercent, StepSeconds: a.StepSeconds, State: tree.RolloutRunning}
	return map[string]any{"rollouts": map[string]any{id: rollout}}, nil
}

// rolloutTransition returns the planner that changes the state of a rollout to
// the state to. It refuses rollouts whose state is not in from.
func rolloutTransition(to tree.RolloutState, from ...tree.RolloutState) planner {
	return func(t tree.Tree, id string, _ Action) (map[string]any, error) {
		rollout, ok := t.Rollouts[id]
		switch {
		case !ok:
			return nil, errkind.New(errkind.NotFound, "roll-out %q doesn't exist", id)
		case rollout.State == to:
			return nil, nil
		case !slices.Contains(from, rollout.State):
			return nil, errkind.New(errkind.BadRequest, "roll-out %q is %s; this step is possible from %v", id, rollout.State, from)
		}
		return map[string]any{"rollouts": map[string]any{id: map[string]any{"state": to}}}, nil
	}
}

// drain is the planner that starts the draining of an upstream or, with Undo,
// ends it.
func drain(t tree.Tree, id string, a Action) (map[string]any, error) {
	up, ok := t.Upstreams[id]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "upstream %q doesn't exist", id)
	}
	if up.Draining != a.Undo {
		return nil, nil
	}
	return map[string]any{"upstreams": map[string]any{id: map[string]any{"draining": !a.Undo}}}, nil
}

// postHalt distributes a halt mark to the other daemons. It doesn't use the change
// log, so that it works while the platform is unreachable.
func (s *Server) postHalt(r *http.Request, author string) (any, error) {
	var h HaltRequest
	if err := s.readBody(r, &h); err != nil {
		return nil, err
	}
	if h.Version == "" || h.Reason == "" || len(h.Reason) > maxReasonBytes {
		return nil, errkind.New(errkind.BadRequest, "a version and a reason of 1 to %d bytes are required", maxReasonBytes)
	}
	if snapshot := s.options.Snapshot(); h.Rollout == "" && snapshot != nil {
		h.Rollout, _ = snapshot.RolloutTo(h.Version)
	}
	if h.Rollout == "" {
		return nil, errkind.New(errkind.BadRequest, "no active roll-out to version %q is known here; name the roll-out, or withdraw the version", h.Version)
	}
	mark := Halt{Version: h.Version, Rollout: h.Rollout}
	if err := s.options.Halter.Halt(r.Context(), mark, author+": "+h.Reason); err != nil {
		return nil, err
	}
	s.options.Counters.Add(countHalts, 1)
	s.options.Logger.Info("version halted", zap.String("version", h.Version), zap.String("rollout", h.Rollout), zap.String("author", author), zap.String("reason", h.Reason))
	return mark, nil
}
