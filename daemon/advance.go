package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/savoryshift/savoryshift/control/system"
	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

// rolloutAuthor is the author of the changes that daemons make.
const rolloutAuthor = "savoryshift"

// errStepOutdated reports that an operator or another daemon has changed the
// rollout since the step was decided.
var errStepOutdated = errors.New("the roll-out has changed since the step was decided")

// rolloutPatch is the JSON merge patch that writes one rollout step to the
// settings tree.
type rolloutPatch struct {
	Rollouts map[string]rolloutStep `json:"rollouts"`
	Versions map[string]versionStep `json:"versions,omitempty"`
}

type rolloutStep struct {
	Percent float64           `json:"percent"`
	State   tree.RolloutState `json:"state"`
}

type versionStep struct {
	State     tree.VersionState `json:"state"`
	Successor *string           `json:"successor,omitempty"`
}

// advance writes one step of a rollout to the change log. The id of the change
// is derived from the step, so that a step decided by two daemons is written
// once. A finished rollout marks its target version as settled; an aborted one
// withdraws it and names the version that it came from as successor.
func (c *configuration) advance(ctx context.Context, a system.Advance) error {
	snapshot := c.snapshot.Load()
	if snapshot == nil || snapshot.Tree().Rollouts[a.Rollout] != a.From {
		return errkind.Wrap(errkind.Conflict, errStepOutdated)
	}
	patch := rolloutPatch{Rollouts: map[string]rolloutStep{a.Rollout: {Percent: a.Percent, State: a.State}}}
	switch a.State {
	case tree.RolloutDone:
		patch.Versions = map[string]versionStep{a.From.To: {State: tree.VersionSettled}}
	case tree.RolloutAborted:
		patch.Versions = map[string]versionStep{a.From.To: {State: tree.VersionWithdrawn, Successor: &a.From.From}}
	}
	data, err := json.Marshal(patch)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err)
	}
	_, err = c.log.Append(ctx, changelog.Change{
		ID:     fmt.Sprintf("rollout/%s/%d/%g/%s", a.Rollout, snapshot.Revision(), a.Percent, a.State),
		Author: rolloutAuthor,
		Reason: fmt.Sprintf("roll-out %s: %s at %g%%", a.Rollout, a.State, a.Percent),
		Base:   snapshot.Revision(),
		Patch:  data,
	})
	if _, conflict := errors.AsType[*changelog.ConflictError](err); conflict {
		return errkind.Wrap(errkind.Conflict, err)
	}
	return errkind.Wrap(errkind.Internal, err)
}
