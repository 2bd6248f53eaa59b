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
	// doneData is the data of the last event of a stream.
	doneData = "[DONE]"

	streamBufferBytes = 4 << 10
	// maxBufferedParts and maxBufferedBytes bound the parts that are buffered
	// while an earlier one is missing.
	maxBufferedParts = 32
	maxBufferedBytes = 1 << 20
	// maxPooledBytes bounds the buffers that a pooled reader keeps for later
	// streams.
	maxPooledBytes = 64 << 10
	// drainTimeout bounds the wait for the end of the body after the last event.
	// A connection can be reused only when the body was read to its end.
	drainTimeout = 50 * time.Millisecond
)

// ErrTruncated reports a stream that ended before its end event.
var ErrTruncated = errors.New("stream ended before its end event")

// ErrStreamIdle is the cancellation cause of a stream that sent no part within
// the idle timeout. A caller that sets Call.OnIdle can cancel the call with it.
var ErrStreamIdle = errors.New("no part arrived within the idle timeout")

var (
	// errorMember is in each part with which an engine reports an error.
	errorMember = []byte(`"error"`)
	readerPool  = sync.Pool{New: func() any {
		return &eventReader{r: bufio.NewReaderSize(nil, streamBufferBytes)}
	}}
)

// Stream makes a call and emits the parts of the response once each, in the
// order of their numbers. from is the number of the last part that was already
// delivered, or 0. The call succeeds only if the end event confirms the number
// of parts. An error of emit ends the call and is returned.
func (c *Client) Stream(ctx context.Context, call Call, from int, emit func(Part) error) (Result, error) {
	x, err := c.sendCall(ctx, call, from)
	if err != nil {
		return Result{Parts: from}, err
	}
	defer x.release()
	res := Result{Status: x.resp.StatusCode, Header: x.resp.Header, Model: call.Model, Version: call.Version, Parts: from}
	if t := x.resp.Header.Get("Content-Type"); !strings.HasPrefix(t, "text/event-stream") {
		return res, invalidResponse("answer to a streamed call has content type %q", t)
	}
	onIdle := call.OnIdle
	if onIdle == nil {
		onIdle = func() { x.cancel(ErrStreamIdle) }
	}
	idle := time.AfterFunc(c.options.StreamIdle, onIdle)
	idle.Stop()
	defer idle.Stop()
	s := &stream{exchange: x, res: &res, emit: emit, idle: idle, idleTime: c.options.StreamIdle, from: from}
	err = s.run(c.newReader(x.resp.Body))
	res.Total = time.Since(x.start)
	if err != nil {
		return res, err
	}
	x.drainBody()
	return res, nil
}

func (c *Client) newReader(body io.Reader) *eventReader {
	r := readerPool.Get().(*eventReader)
	r.r.Reset(body)
	r.maxLine, r.maxData, r.memory = c.options.MaxLineBytes, c.options.MaxPartBytes, c.buffers.Share()
	return r
}

func putReader(r *eventReader) {
	r.memory.Release()
	if cap(r.data)+cap(r.longLine) > maxPooledBytes {
		return
	}
	r.r.Reset(nil)
	readerPool.Put(r)
}

// stream is the state of one streamed response.
type stream struct {
	exchange *exchange
	res      *Result
	emit     func(Part) error
	idle     *time.Timer
	idleTime time.Duration
	from     int
	buffered map[int][]byte // parts that arrived before an earlier one
	// bufferedBytes is the size of the data in buffered.
	bufferedBytes int
	end           *endEvent
}

// run handles events up to [DONE].
func (s *stream) run(r *eventReader) error {
	defer putReader(r)
	var ev event
	for {
		err := r.next(&ev)
		if err == nil {
			err = r.hold(s.bufferedBytes)
		}
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return s.callError(ErrTruncated)
		case err != nil && errkind.Of(err) == errkind.UpstreamInvalidAnswer:
			return err
		case err != nil:
			return s.callError(err)
		}
		if string(ev.data) == doneData {
			return s.finish()
		}
		if err := s.event(&ev); err != nil {
			return err
		}
	}
}

// callError returns the error of a broken stream. If a part has arrived, the
// call has run.
func (s *stream) callError(err error) error {
	err = s.exchange.fail(err)
	if s.res.Parts > s.from {
		err = errkind.WithRan(err, errkind.RanYes)
	}
	return err
}

func (s *stream) event(ev *event) error {
	if s.end != nil {
		return invalidResponse("stream has an event after its end event")
	}
	switch string(ev.name) {
	case "":
		return s.part(ev)
	case "end":
		return s.parseEnd(ev.data)
	}
	return invalidResponse("stream has an event of unknown type %q", ev.name)
}

// part emits the next expected part, buffers a later one and drops one that was
// already delivered.
func (s *stream) part(ev *event) error {
	if !json.Valid(ev.data) {
		return invalidResponse("part %d is not valid JSON", ev.id)
	}
	if isError(ev.data) {
		err := &ReportedError{Status: s.res.Status, Message: errorMessage(ev.data)}
		return errkind.WithRan(errkind.Wrap(errkind.UpstreamFailed, err), errkind.RanYes)
	}
	if !ev.hasID {
		return invalidResponse("part has no number")
	}
	switch {
	case ev.id <= s.res.Parts:
		return nil
	case ev.id > s.res.Parts+1:
		return s.bufferPart(ev)
	}
	if err := s.deliver(ev.id, ev.data); err != nil {
		return err
	}
	return s.deliverBuffered()
}

// isError reports whether a part is an error object instead of a part of the
// response.
func isError(data []byte) bool {
	if !bytes.Contains(data, errorMember) {
		return false
	}
	var part struct {
		Error json.RawMessage `json:"error"`
	}
	return json.Unmarshal(data, &part) == nil && len(part.Error) > 0 && string(part.Error) != "null"
}

// bufferPart keeps a part until all earlier ones have arrived.
func (s *stream) bufferPart(ev *event) error {
	if _, ok := s.buffered[ev.id]; ok {
		return nil
	}
	if len(s.buffered) >= maxBufferedParts {
		return invalidResponse("part %d is missing after %d later parts", s.res.Parts+1, maxBufferedParts)
	}
	if s.bufferedBytes += len(ev.data); s.bufferedBytes > maxBufferedBytes {
		return invalidResponse("part %d is missing after %d bytes of later parts", s.res.Parts+1, maxBufferedBytes)
	}
	if s.buffered == nil {
		s.buffered = map[int][]byte{}
	}
	s.buffered[ev.id] = append([]byte(nil), ev.data...)
	return nil
}

// deliverBuffered emits the buffered parts that follow the last part without a
// gap.
func (s *stream) deliverBuffered() error {
	for len(s.buffered) > 0 {
		number := s.res.Parts + 1
		data, ok := s.buffered[number]
		if !ok {
			return nil
		}
		delete(s.buffered, number)
		s.bufferedBytes -= len(data)
		if err := s.deliver(number, data); err != nil {
			return err
		}
	}
	return nil
}

func (s *stream) deliver(number int, data []byte) error {
	if s.res.FirstToken == 0 {
		s.res.FirstToken = time.Since(s.exchange.start)
	}
	s.idle.Stop() // the idle timeout does not include the time that the caller takes
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
		return invalidResponse("end event: %w", err)
	}
	if end.Parts == nil || *end.Parts < 0 || end.CompletionTokens < 0 || end.PromptTokens < 0 {
		return invalidResponse("end event has no valid counts")
	}
	s.end = &end
	return nil
}

// finish checks at [DONE] that the number of delivered parts is that of the end
// event, and that no part arrived that could not be delivered.
func (s *stream) finish() error {
	if s.end == nil {
		return invalidResponse("stream has no end event")
	}
	if *s.end.Parts != s.res.Parts {
		return invalidResponse("stream has %d parts, its end event says %d", s.res.Parts, *s.end.Parts)
	}
	if len(s.buffered) > 0 {
		return invalidResponse("part %d is missing before %d later parts", s.res.Parts+1, len(s.buffered))
	}
	s.res.PromptTokens, s.res.CompletionTokens = s.end.PromptTokens, s.end.CompletionTokens
	return nil
}

// drainBody reads the rest of the body, so that the connection can be reused.
func (x *exchange) drainBody() {
	timer := time.AfterFunc(drainTimeout, func() { x.cancel(nil) })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(x.resp.Body, streamBufferBytes))
}
