package daemon

import (
	"context"

	"go.uber.org/zap"
)

// writeSnapshot stores the settings when enough changes have followed the last
// snapshot, so that a new VM need not read the whole log. The delegates of all
// zones write the same object, so another delegate or the next snapshot makes up
// for a failed write.
func (c *configuration) writeSnapshot(ctx context.Context) {
	if !c.node.Delegate() {
		return
	}
	s, due := c.follower.DueSnapshot()
	if !due {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if err := c.log.WriteSnapshot(callCtx, s); err != nil {
		c.logger.Warn("snapshot was not written", zap.Int64("revision", s.Head.Revision), zap.Error(err))
	}
}
