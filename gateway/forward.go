package gateway

import (
	"time"

	"github.com/savoryshift/savoryshift/internal/cutoff"
	"github.com/savoryshift/savoryshift/placement"
)

// handleEvent forwards an event of the current call to the client. It returns true
// when the stream has ended properly.
func (t *streamExecution) handleEvent(event streamEvent) bool {
	c := t.current
	switch {
	case event.err != nil:
		return t.handleBrokenStream(event.err)
	case event.end && c.resumed && !c.forwarding:
		return t.handleBrokenStream(errNoEvents)
	case !event.end && c.resumed && !c.forwarding && isComment(event.data):
		// A comment does not show that the response continues the stream.
		return false
	case event.end:
		t.startForwarding(c)
		c.end(placement.Answered)
		c.logUnframed()
		t.response.whole = true
		t.finishUnframed()
		return true
	case !t.sequence.accept(event.data, event.id, c.resumed):
		return t.handleBrokenStream(errOutOfSequence)
	}
	t.dropCandidate()
	t.startForwarding(c)
	t.recordEventTime(event.at)
	if err := t.write(event); err != nil {
		t.abortStream(placement.Neutral, callerLeft)
	}
	c.recordProgress(time.Now())
	return false
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

// finishUnframed completes a stream that ends with the connection of the client.
func (t *streamExecution) finishUnframed() {
	if !t.unframed {
		return
	}
	if err := t.response.finishUnframed(t.execution.ctx); err != nil {
		t.reason = callerLeft
	}
}

// write writes an event to the client, and flushes it unless another event is at hand.
func (t *streamExecution) write(event streamEvent) error {
	if err := t.response.writeEvent(event.data); err != nil {
		return err
	}
	if event.id != "" {
		t.lastEventID = event.id
	}
	if event.more {
		return nil
	}
	return t.response.flush()
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
