package gateway

import (
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/placement"
)

// exceedsMemory reports whether the first call of a request is not made, because no engine of
// the service can ever hold its prompt. Engines reject such a request as if they were full.
func (exec *execution) exceedsMemory(q *placement.Query) bool {
	exec.tooLarge = exec.sends == 0 && !exec.mayHaveRun && !exec.resumes() && !q.FitsMemory()
	return exec.tooLarge
}

// refuseTooLarge refuses a request that exceedsMemory has kept from its first call. The client
// is told no time to retry, because no retry can be served.
func (exec *execution) refuseTooLarge() {
	exec.srv.opts.Metrics.countCallEvent("exceeds memory")
	exec.srv.opts.Log.Info("exceeds memory",
		zap.String("request", exec.req.ID), zap.String("service", exec.service.Name), zap.Int("tokens", exec.req.PromptTokens), zap.Int("kv_tokens", exec.service.KVTokens))
	exec.reject(errkind.NoCapacity)
}

// logMemory logs a call that is placed at an engine whose memory may not hold it, because that
// of all others may not either.
func (a *attempt) logMemory() {
	if a.choice.OverMemory {
		a.logEvent("over memory", zap.Int("tokens", a.exec.req.PromptTokens), zap.Int("kv_tokens", a.exec.service.KVTokens))
	}
}
