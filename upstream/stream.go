package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

const (
	// doneData is the data of the last event.
	doneData = "[DONE]"

	streamBufferBytes = 4 << 10
	// maxAhead bounds the parts that are kept while an earlier one is missing.
	maxAhead      = 32
	maxAheadBytes = 1 << 20
	// maxPooledBytes bounds the buffers that are kept for later streams.
	maxPooledBytes = 64 << 10
	// drainTimeout bounds the wait for the end of the body after the last
	// event; a connection whose body has ended can be used again.
	drainTimeout = 50 * time.Millisecond
)

// ErrTruncated reports a stream that ended before its end event.
var ErrTruncated = errors.New("stream ended before its end event")

// errIdle is the cause of a stream cancelled for lack of parts.
var errIdle = errors.New("no part arrived within the idle timeout")

var (
	// errorPrefix begins the error object that engines put into a stream.
	errorPrefix = []byte(`{"error"`)
	readers     = sync.Pool{New: func() any {
		return &eventReader{r: bufio.NewReaderSize(nil, streamBufferBytes)}
	}}
)

// Stream sends a call and emits the parts of the answer in the order of their
// numbers, each once. from is the number of the last part that was already
// delivered, 0 for none. The call succeeds only when the explicit end confirms
// the number of parts. An error of emit ends the call and is returned.
func (c *Client) Stream(ctx context.Context, call Call, from int, emit func(Part) error) (Result, error) {
	x, err := c.sendCall(ctx, call, from)
	if err != nil {
		return Result{Parts: from}, err
	}
	defer x.release()
	res := Result{Status: x.resp.StatusCode, Header: x.resp.Header, Model: call.Model, Version: call.Version, Parts: from}
	if t := x.resp.Header.Get("Content-Type"); !strings.HasPrefix(t, "text/event-stream") {
		return res, invalid("answer to a streamed call has content type %q", t)
	}
	idle := time.AfterFunc(c.o.StreamIdle, func() { x.cancel(errIdle) })
	idle.Stop()
	defer idle.Stop()
	s := &stream{x: x, res: &res, emit: emit, idle: idle, idleTime: c.o.StreamIdle, from: from}
	err = s.run(c.newReader(x.resp.Body))
	res.Total = time.Since(x.start)
	if err != nil {
		return res, err
	}
	x.drain()
	return res, nil
}

func (c *Client) newReader(body io.Reader) *eventReader {
	r := readers.Get().(*eventReader)
	r.r.Reset(body)
	r.maxLine, r.maxData = c.o.MaxLineBytes, c.o.MaxPartBytes
	return r
}

func putReader(r *eventReader) {
	if cap(r.data)+cap(r.long) > maxPooledBytes {
		return
	}
	r.r.Reset(nil)
	readers.Put(r)
}

// stream is the state of one streamed answer.
type stream struct {
	x        *exchange
	res      *Result
	emit     func(Part) error
	idle     *time.Timer
	idleTime time.Duration
	from     int
	ahead    map[int][]byte // parts that arrived before an earlier one
	// aheadBytes is the size of ahead.
	aheadBytes int
	end        *endEvent
}

// run reads events up to [DONE].
func (s *stream) run(r *eventReader) error {
	defer putReader(r)
	var ev event
	for {
		err := r.next(&ev)
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return s.failed(ErrTruncated)
		case err != nil && errkind.Of(err) == errkind.UpstreamInvalidAnswer:
			return err
		case err != nil:
			return s.failed(err)
		}
		if string(ev.data) == doneData {
			return s.finish()
		}
		if err := s.event(&ev); err != nil {
			return err
		}
	}
}

// failed reports a broken stream; once a part has arrived the call has run.
func (s *stream) failed(err error) error {
	err = s.x.fail(err)
	if s.res.Parts > s.from {
		err = errkind.WithRan(err, errkind.RanYes)
	}
	return err
}

func (s *stream) event(ev *event) error {
	if s.end != nil {
		return invalid("stream has an event after its end event")
	}
	switch string(ev.name) {
	case "":
		return s.part(ev)
	case "end":
		return s.parseEnd(ev.data)
	}
	return invalid("stream has an event of unknown type %q", ev.name)
}

// part emits a part when it is the next one, keeps it when it is ahead and
// drops it when it was delivered before.
func (s *stream) part(ev *event) error {
	if !json.Valid(ev.data) {
		return invalid("part %d is not valid JSON", ev.id)
	}
	if bytes.HasPrefix(ev.data, errorPrefix) {
		err := &AnsweredError{Status: s.res.Status, Message: errorMessage(ev.data)}
		return errkind.WithRan(errkind.Wrap(errkind.UpstreamFailed, err), errkind.RanYes)
	}
	if !ev.hasID {
		return invalid("part has no number")
	}
	switch {
	case ev.id <= s.res.Parts:
		return nil
	case ev.id > s.res.Parts+1:
		return s.keep(ev)
	}
	if err := s.deliver(ev.id, ev.data); err != nil {
		return err
	}
	return s.deliverKept()
}

func (s *stream) keep(ev *event) error {
	if _, ok := s.ahead[ev.id]; ok {
		return nil
	}
	if len(s.ahead) >= maxAhead {
		return invalid("part %d is missing after %d later parts", s.res.Parts+1, maxAhead)
	}
	if s.aheadBytes += len(ev.data); s.aheadBytes > maxAheadBytes {
		return invalid("part %d is missing after %d bytes of later parts", s.res.Parts+1, maxAheadBytes)
	}
	if s.ahead == nil {
		s.ahead = map[int][]byte{}
	}
	s.ahead[ev.id] = append([]byte(nil), ev.data...)
	return nil
}

func (s *stream) deliverKept() error {
	for len(s.ahead) > 0 {
		number := s.res.Parts + 1
		data, ok := s.ahead[number]
		if !ok {
			return nil
		}
		delete(s.ahead, number)
		s.aheadBytes -= len(data)
		if err := s.deliver(number, data); err != nil {
			return err
		}
	}
	return nil
}

func (s *stream) deliver(number int, data []byte) error {
	if s.res.FirstToken == 0 {
		s.res.FirstToken = time.Since(s.x.start)
	}
	s.idle.Stop() // the time that the caller takes does not count
	if err := s.emit(Part{Number: number, Data: data}); err != nil {
		return errkind.WithRan(err, errkind.RanYes)
	}
	s.idle.Reset(s.idleTime)
	s.res.Parts = number
	return nil
}

func (s *stream) parseEnd(data []byte) error {
	var end endEvent
	if err := json.Unmarshal(data, &end); err != nil {
		return invalid("end event: %w", err)
	}
	if end.Parts == nil || *end.Parts < 0 || end.CompletionTokens < 0 || end.PromptTokens < 0 {
		return invalid("end event has no valid counts")
	}
	s.end = &end
	return nil
}

// finish checks at [DONE] that every part was delivered.
func (s *stream) finish() error {
	if s.end == nil {
		return invalid("stream has no end event")
	}
	if *s.end.Parts != s.res.Parts {
		return invalid("stream has %d parts, its end event says %d", s.res.Parts, *s.end.Parts)
	}
	s.res.PromptTokens, s.res.CompletionTokens = s.end.PromptTokens, s.end.CompletionTokens
	return nil
}

// drain reads the rest of the body, so that the connection can be used again.
func (x *exchange) drain() {
	timer := time.AfterFunc(drainTimeout, func() { x.cancel(nil) })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(x.resp.Body, streamBufferBytes))
}
