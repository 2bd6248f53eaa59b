package gateway

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/quarantine"
)

// errQuarantined is returned for a call that is not written because a part of the prompt
// has ended other upstreams meanwhile.
var errQuarantined = errors.New("a part of the prompt ends upstreams")

// sharedParts returns the parts of a prompt that other requests may share.
func sharedParts(parts []placement.Part) []quarantine.Part {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return quarantine.HashParts(ids)
}

// passesQuarantine reports whether the request may be sent to an upstream. Only a request
// that has not run may test an accused part. A stream with events is kept from a further
// upstream too: the part may end each of them after some events.
func (exec *execution) passesQuarantine(now time.Time) bool {
	if len(exec.parts) == 0 {
		return true
	}
	tracker := exec.srv.opts.Quarantine
	if exec.mayHaveRun {
		exec.quarantined = tracker.Reconsider(exec.parts, now)
		return !exec.quarantined.Refused
	}
	exec.quarantined = tracker.Check(exec.parts, now)
	if exec.quarantined.Test {
		exec.srv.opts.Metrics.countCallEvent("quarantine test")
		exec.srv.opts.Log.Info("quarantine test", exec.quarantineFields()...)
	}
	return !exec.quarantined.Refused
}

// refuseQuarantined responds to a request that did not run and is kept from upstreams.
func (exec *execution) refuseQuarantined() {
	exec.srv.opts.Log.Info("quarantined", exec.quarantineFields()...)
	exec.writeError(errkind.Quarantined, exec.quarantined.RetryAfter)
}

func (exec *execution) quarantineFields() []zap.Field {
	d := exec.quarantined
	part := ""
	for _, p := range exec.req.Parts {
		if quarantine.HashPart(p.ID) == d.Part {
			part = p.ID
		}
	}
	return []zap.Field{
		zap.String("request", exec.req.ID), zap.String("part", part), zap.Int("upstreams_ended", d.Upstreams), zap.Duration("next_test", d.RetryAfter),
	}
}
