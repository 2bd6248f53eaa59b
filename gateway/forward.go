package gateway

import (
	"time"

	"github.com/savoryshift/savoryshift/internal/cutoff"
	"github.com/savoryshift/savoryshift/placement"
)

// handleEvent forwards an event of the current call to the client, together with those
// that are at hand after it. It returns true when the stream has ended properly.
func (t *streamExecution) handleEvent(event streamEvent) bool {
	c := t.current
	if !event.continues() {
		return t.handleStreamEnd(event)
	}
	if t.isRepeated(c, event) {
		c.recordProgress(event.at)
		return false
	}
	if c.resumed && !c.forwarding && isComment(event.data) {
		// A comment does not show that the response continues the stream.
		return false
	}
	if !t.sequence.accept(event.data, event.id, c.continuesStream()) {
		return t.handleBrokenStream(errOutOfSequence)
	}
	t.dropCandidate()
	rejected, err := t.forwardBurst(event)
	switch {
	case err != nil:
		t.abortStream(placement.Neutral, t.writeFailure())
	case rejected == nil:
		return false
	case rejected.continues():
		return t.handleBrokenStream(errOutOfSequence)
	}
	return t.handleStreamEnd(*rejected)
}

// handleStreamEnd handles the end of the response of the current call. It returns true when
// the stream has ended properly.
func (t *streamExecution) handleStreamEnd(event streamEvent) bool {
	c := t.current
	switch {
	case event.err != nil:
		return t.handleBrokenStream(event.err)
	case c.resumed && !c.rejoined && !c.forwarding, c.rejoined && !c.caughtUp:
		return t.handleBrokenStream(errNoEvents)
	}
	t.startForwarding(c)
	c.end(placement.Answered)
	c.logUnframed()
	if err := t.response.finish(t.execution.ctx, t.unframed); err != nil {
		t.logClosed(t.writeFailure())
	}
	return true
}

// maxAtHandWait bounds the time for which a burst waits for events that are at hand. They
// need no read from the network.
const maxAtHandWait = 10 * time.Millisecond

// forwardBurst forwards an event that was accepted, and those at hand after it, with one
// flush. It returns the first event that cannot be forwarded, if there is one. On return
// everything that was accepted has been sent, whatever happens to the stream next.
func (t *streamExecution) forwardBurst(event streamEvent) (rejected *streamEvent, err error) {
	c := t.current
	c.caughtUp = true
	t.startForwarding(c)
	wait := time.NewTimer(maxAtHandWait)
	defer wait.Stop()
	defer func() {
		if flushErr := t.response.flush(); err == nil {
			err = flushErr
		}
	}()
	for {
		t.recordEventTime(event.at)
		if err := t.response.writeEvent(event.data); err != nil {
			return nil, err
		}
		if event.id != "" {
			t.lastEventID = event.id
		}
		c.recordProgress(time.Now())
		if !event.more {
			return nil, nil
		}
		select {
		case event = <-c.events:
		case <-wait.C:
			return nil, nil
		case <-t.ctx.Done():
			return nil, nil
		}
		if !event.continues() || !t.sequence.accept(event.data, event.id, c.continuesStream()) {
			return &event, nil
		}
	}
}

// startForwarding sends the response header of the first call whose response is
// forwarded, and records which model and release produce the stream.
func (t *streamExecution) startForwarding(c *streamCall) {
	if c.forwarding {
		return
	}
	c.forwarding = true
	t.model, t.confidence, t.streamRelease = c.model, c.responseHeader.Confidence, c.choice.Release
	if t.response.begun() {
		return
	}
	copyResponseHeader(t.response.header(), c.response.Header)
	if c.unframed() || t.oldProtocol {
		t.unframed = true
		cutoff.Begin(t.execution.ctx, t.response.header())
	}
	t.mediaType = mediaType(c.response.Header)
	t.writeHeader(c.responseHeader.Status)
}

// recordEventTime updates the time to the first event and the longest pause.
func (t *streamExecution) recordEventTime(now time.Time) {
	if t.timeToFirstEvent == 0 {
		t.timeToFirstEvent = now.Sub(t.start)
		t.lastEventAt = now
	}
	t.longestPause = max(t.longestPause, now.Sub(t.lastEventAt))
	t.lastEventAt = now
}
