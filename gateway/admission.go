package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/admission"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/placement"
)

// minRefusalDelay is the shortest time after which a client that is refused by prediction is
// to retry. The loads that the prediction is made of are that old.
const minRefusalDelay = 100 * time.Millisecond

// accuracies holds what was learned of the predictions of first events, by service. It is
// safe for concurrent use.
type accuracies struct {
	mu        sync.Mutex
	byService map[string]*admission.Accuracy
}

// of returns the accuracy of the predictions for a service.
func (a *accuracies) of(service string) *admission.Accuracy {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byService == nil {
		a.byService = map[string]*admission.Accuracy{}
	}
	if a.byService[service] == nil {
		a.byService[service] = &admission.Accuracy{}
	}
	return a.byService[service]
}

// keep forgets the services for which exists returns false.
func (a *accuracies) keep(exists func(service string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for service := range a.byService {
		if !exists(service) {
			delete(a.byService, service)
		}
	}
}

// observePrediction records the time to the first event of a call that waited behind others.
// The time of the others says nothing about the prediction of a wait.
func (a *attempt) observePrediction(now time.Time) {
	if a.choice.Wait > queueingThreshold {
		a.exec.srv.accuracies.of(a.choice.Service).Observe(now.Sub(a.start), secondsOf(a.choice.FirstEvent))
	}
}

func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// firstEventLeft returns the time after which a first event is of no use to the client.
func (exec *execution) firstEventLeft(now time.Time) time.Duration {
	return min(exec.deadline.Sub(now), clientPatience(exec.route)-now.Sub(exec.start))
}

// refusesLate reports whether the first call of a request is not made, because no upstream
// is expected to serve it in time and none has room. It keeps the decision.
func (exec *execution) refusesLate(q *placement.Query, choice placement.Choice, now time.Time) bool {
	if q.Model == "" || exec.sends > 0 || exec.mayHaveRun || exec.resumes() {
		return false
	}
	margin, left := exec.srv.accuracies.of(exec.service.Name).Margin(), exec.firstEventLeft(now)
	if secondsOf(margin*choice.FirstEvent) <= left {
		return false
	}
	// The chosen upstream is the best of a preferred release; others may be sooner.
	every := *q
	every.Allow = exec.releaseFilter.Accept
	p := exec.srv.opts.Balancer.Prospects(&every)
	d := admission.Admit(admission.Request{Predicted: secondsOf(p.Soonest), Margin: margin, Left: left, IdleRoom: p.IdleRoom})
	if !d.Refused {
		return false
	}
	exec.admission = &d
	exec.srv.opts.Metrics.countRefusedLate(exec.route.Name)
	exec.srv.opts.Log.Info("refused by prediction",
		zap.String("request", exec.req.ID), zap.String("route", exec.route.Name), zap.String("organisation", exec.organisation), zap.Int("priority", exec.priority),
		zap.Float64("predicted", p.Soonest), zap.Float64("margin", margin), zap.Duration("expected", d.Expected), zap.Duration("left", left),
		zap.Duration("excess", d.Excess), zap.Int("candidates", p.Candidates), zap.Int("calls", p.Calls), zap.Int("slots", p.Slots), zap.Int("tokens", exec.req.PromptTokens))
	return true
}

// refuseLate refuses a request that refusesLate has kept from its first call.
func (exec *execution) refuseLate(now time.Time) {
	exec.writeError(errkind.DeadlineTooShort, retryAfterQueue(exec.admission.Excess, exec.clientDeadline.Sub(now), exec.priority, exec.req.ID))
}

// retryAfterQueue returns when a client with some time left is to retry if the queues have to
// shrink by excess before its request can be served. It leaves room to spread the clients
// within what they wait for.
func retryAfterQueue(excess, left time.Duration, priority int, id string) time.Duration {
	longest := time.Duration(honouredShare * float64(left) / (1 + jitterRange))
	return retryAfterPause(min(max(excess, minRefusalDelay), max(longest, minRefusalDelay)), left, priority, id)
}
