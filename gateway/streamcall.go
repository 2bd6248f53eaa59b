package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/placement"
)

var (
	// errNoEvents is the cause of the end of a resumed stream without any event.
	errNoEvents = errors.New("the resumed stream has no events")
	// errOutOfSequence is the cause of the end of a stream whose next event does not
	// follow the last one that was forwarded.
	errOutOfSequence = errors.New("the event does not follow the last one")
	// errPanicked is the cause of the end of a stream whose call has panicked.
	errPanicked = errors.New("the call panicked")
	// errNoRoomForEvent is the cause of the end of a stream for whose client there is no memory.
	errNoRoomForEvent = errors.New(noRoom)
	// errNoWholeEvent is the cause of the end of a response without a length and without
	// chunks before its first event.
	errNoWholeEvent = errors.New("the connection ended before the first event of a body without a length")
)

// eventCopies is the number of events of a stream that are in memory at a time: the one that is
// read, the one that waits, and the one that the client takes.
const eventCopies = 3

// streamEvent is one event of a response, or the end of the response.
type streamEvent struct {
	data []byte
	id   string
	at   time.Time
	// more is set if the next event is already buffered.
	more bool
	// end is set at the proper end of the response, err if it broke.
	end bool
	err error
}

// continues reports whether the stream goes on with the event.
func (e streamEvent) continues() bool { return !e.end && e.err == nil }

// streamCall is a call of a streamed request. A goroutine makes the call, owns the
// response and sends its events; all other fields belong to the goroutine that serves
// the request.
type streamCall struct {
	*attempt
	modelRank int
	result    chan *callResult
	events    chan streamEvent

	// responded is set when the result has been received, accepted when the response
	// is a stream that can be forwarded, and forwarding when the client has received a
	// part of it.
	responded, accepted, forwarding bool
	// counted is set if the call was counted as run before its result was received.
	counted bool
	// rejoined is set if the call goes on with a stream of which the client has received
	// events from another call since, caughtUp when it has sent the last one of these.
	rejoined, caughtUp bool
	// timeout is the time without progress after which the call counts as silent.
	timeout      time.Duration
	lastProgress time.Time
	// longestPause is the longest time between two events.
	longestPause time.Duration
	// triedEarly is set when a candidate could not replace the call during its present
	// pause. The next one is made when the call can hardly be sound any more.
	triedEarly bool
	// probed is set when the upstream was probed since the last progress.
	probed bool
	// engineTime is the engine time in seconds that was charged to the organisation.
	// overFairPart is set if the organisation had then used more than its fair part.
	engineTime   float64
	overFairPart bool
	// tried is the upstream of the last candidate that was dropped, empty if none was.
	tried string
}

// begin starts a placed call. It returns nil for nil.
func (t *streamExecution) begin(a *attempt, modelRank int) *streamCall {
	if a == nil {
		return nil
	}
	a.resumed = t.response.begun()
	c := &streamCall{
		attempt: a, modelRank: modelRank, lastProgress: a.start,
		result: make(chan *callResult, 1), events: make(chan streamEvent, 1),
		timeout: max(minFirstEventTimeout, time.Duration(firstEventTimeoutFactor*a.choice.FirstEvent*float64(time.Second))),
	}
	t.chargeOrganisation(c)
	go c.run(t.lastEventID, t.enginePriority(c.overFairPart))
	return c
}

// run makes the call, sends its result and then the events of its response. Calling end
// stops it.
func (c *streamCall) run(lastEventID string, enginePriority int) {
	stream := false
	result := &callResult{attempt: c.attempt, resultClass: failed}
	defer func() {
		panicked := c.logPanic(recover())
		switch {
		case !stream && panicked:
			c.finish(placement.Neutral)
			fallthrough
		case !stream:
			c.result <- result
		case panicked:
			c.sendEvent(streamEvent{err: errPanicked})
		}
	}()
	class := c.send(lastEventID, enginePriority)
	if class == deliverable && c.responseHeader.Status < http.StatusMultipleChoices {
		result.resultClass = class
		stream = true
		c.result <- result
		c.readEvents()
		return
	}
	if c.response != nil && class != notRun {
		class = c.readBody(result, class)
	}
	result.resultClass = class
}

// sendEvent sends an event unless the call has ended. It reports whether it has done so.
func (c *streamCall) sendEvent(event streamEvent) bool {
	select {
	case c.events <- event:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// readEvents sends the events of the response until it ends.
func (c *streamCall) readEvents() {
	defer c.response.Close()
	memory := c.exec.srv.buffers.Share()
	defer memory.Release()
	reader := newEventReader(c.response, memory)
	waited, held := time.Duration(0), freeResponseBytes
	for begun := false; ; {
		waits := time.Now()
		data, id, err := reader.next()
		// The time for which a slow client delays the reader is no pause of the upstream.
		waited += time.Since(waits)
		if err == io.EOF && !begun && c.unframed() {
			err = errNoWholeEvent
		}
		first := !begun
		if err == nil && !isComment(data) {
			begun = true
			c.prompt.Event(time.Now())
		}
		if err != nil && err != io.EOF {
			c.reportBreak()
		}
		if n := eventCopies * len(data); err == nil && n > held {
			if clientlimit.HoldResponse(c.exec.ctx, n-held) != nil {
				err = errNoRoomForEvent
			}
			held = n
		}
		event := streamEvent{data: bytes.Clone(data), id: id, at: time.Now(), more: reader.buffered()}
		switch {
		case err == io.EOF && c.response.Complete():
			event.end = true
			c.recordEnd()
			// The connection can be reused before the end is handled.
			c.response.Close()
		case err != nil:
			event.err = err
		case first || isComment(data):
			c.call.RecordBytes(event.at)
		default:
			c.recordGap(waited, event.at)
		}
		if !isComment(data) {
			waited = 0
		}
		if !c.sendEvent(event) || err != nil {
			return
		}
	}
}

// recordGap records an event that followed the one before after gap.
func (c *streamCall) recordGap(gap time.Duration, now time.Time) {
	route := c.exec.route
	c.call.RecordEvent(gap, route.MaxPause, now)
	if route.MaxPause > 0 && gap > route.MaxPause {
		c.exec.srv.opts.Metrics.countLatePause(route.Name)
	}
}

// awaitedResult returns the channel of the result until it has been received, and nil
// afterwards or for a nil call.
func (c *streamCall) awaitedResult() <-chan *callResult {
	if c == nil || c.responded {
		return nil
	}
	return c.result
}

// awaitedEvents returns the channel of the events once the response is accepted, and nil
// before or for a nil call.
func (c *streamCall) awaitedEvents() <-chan streamEvent {
	if c == nil || !c.accepted {
		return nil
	}
	return c.events
}

// accept records that the response is a stream that can be forwarded.
func (c *streamCall) accept(now time.Time, pauseTimeout time.Duration) {
	c.accepted, c.timeout, c.lastProgress, c.probed = true, pauseTimeout, now, false
}

// isUncounted reports whether the call is not counted as run yet.
func (c *streamCall) isUncounted() bool { return !c.responded && !c.counted }

// continuesStream reports whether the client has received events from another call.
func (c *streamCall) continuesStream() bool { return c.resumed || c.rejoined }

// recordProgress records that the client received an event of the call.
func (c *streamCall) recordProgress(now time.Time) {
	c.longestPause = max(c.longestPause, now.Sub(c.lastProgress))
	c.lastProgress, c.triedEarly, c.probed = now, false, false
}

// hasNews reports whether a result or an event waits to be handled.
func (c *streamCall) hasNews() bool { return len(c.result) > 0 || len(c.events) > 0 }
