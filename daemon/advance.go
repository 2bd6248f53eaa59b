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

// errStepOutdated reports that the roll-out is no longer in the state that a
// step starts from; an operator or another daemon was faster.
var errStepOutdated = errors.New("the roll-out has changed since the step was decided")

// rolloutPatch is the merge patch of one step.
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

// advance writes one step of a roll-out to the change log. The id of the change
// follows from the step, so that two daemons that decide the same step write it
// once. A finished roll-out settles its target; an aborted one withdraws it in
// favour of the version that it came from.
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
