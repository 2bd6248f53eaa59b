package daemon

import (
	"context"

	"go.uber.org/zap"
)

// writeSnapshot stores the state when enough changes have passed since the last
// snapshot, so that a new VM need not read the whole log. Delegates of all
// zones write the same object; a write that fails is made good by another
// delegate or by the next snapshot.
func (c *configuration) writeSnapshot(ctx context.Context) {
	if !c.node.Delegate() {
		return
	}
	s, due := c.follower.DueSnapshot()
	if !due {
		return
	}
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if err := c.log.WriteSnapshot(limited, s); err != nil {
		c.logger.Warn("snapshot was not written", zap.Int64("revision", s.Head.Revision), zap.Error(err))
	}
}
