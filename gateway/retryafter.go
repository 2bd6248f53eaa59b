package gateway

import (
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/placement"
)

const (
	// noUpstreamRetryAfter is about the time until a lapsed registration is
	// renewed or another instance is started.
	noUpstreamRetryAfter = 400 * time.Millisecond
	// evacuatedRetryAfter replaces it while all upstreams that may serve the request are in
	// evacuated zones: about the time until a zone that is taken back is known everywhere.
	evacuatedRetryAfter = time.Second
	// coldRetryAfter bounds the time while all upstreams that may serve the request are cold.
	// The shares of the VMs are renewed within it, and another VM may have room.
	coldRetryAfter = time.Second
	// minJitter and jitterRange define the jitter of Retry-After as a factor: it
	// is uniform between minJitter and minJitter+jitterRange.
	minJitter   = 0.75
	jitterRange = 0.75
	// returnDelay is how much later than those of the next more urgent priority the
	// clients return that were refused during a pause: about the time in which an engine
	// reads a prompt. Priorities from maxDelayedPriority on return together.
	returnDelay        = 100 * time.Millisecond
	maxDelayedPriority = 3
	// honouredShare is the fraction of the time it has left that a client waits at most
	// before it retries.
	honouredShare = 1.0 / 3
)

// jitter varies the retry delay of a refused request by its ID, so that clients
// that are refused together do not retry together.
func jitter(after time.Duration, id string) time.Duration {
	return time.Duration(float64(after) * (minJitter + jitterRange*hashFraction(id)))
}

// refuseUntilUsable refuses a request for which no upstream is left. While all upstreams
// that may serve it have asked for a pause, the client is told when the first pause ends.
func (exec *execution) refuseUntilUsable(now time.Time) {
	q := &placement.Query{Service: exec.service.Name, Allow: exec.releaseFilter.Accept, Now: now}
	if exec.srv.opts.Balancer.AllEvacuated(q) {
		exec.refuse(errkind.NoCapacity, evacuatedRetryAfter)
		return
	}
	pause := exec.srv.opts.Balancer.ShortestPause(q)
	if cold := exec.srv.opts.Balancer.ColdLeft(q); pause <= 0 && cold > 0 {
		exec.refuse(errkind.NoCapacity, max(noUpstreamRetryAfter, min(cold, coldRetryAfter)))
		return
	}
	if pause <= 0 {
		exec.refuse(errkind.NoCapacity, noUpstreamRetryAfter)
		return
	}
	exec.writeError(errkind.NoCapacity, retryAfterPause(pause, exec.clientDeadline.Sub(now), exec.priority, exec.req.ID))
}

// retryAfterPause returns when a client with some time left is to retry if no upstream
// takes its request before the end of a pause. Clients do not return before that end;
// after it they are spread, and the urgent ones, which have a lower priority, come first.
// The spread does not extend beyond what the client waits for.
func retryAfterPause(pause, left time.Duration, priority int, id string) time.Duration {
	delay := returnDelay*time.Duration(min(max(0, priority), maxDelayedPriority)) + time.Duration(jitterRange*float64(pause)*hashFraction(id))
	room := max(0, time.Duration(honouredShare*float64(left))-pause)
	return pause + min(delay, room)
}
