package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"time"
	"unicode/utf8"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/errkind"
)

// Guards against an attempt that is reported as "not run" and then written by
// the write goroutine of the transport.
func TestSealedAttemptIsNotWritten(t *testing.T) {
	wire := &countingConn{}
	conn := &gatedConn{Conn: wire}
	sealed := &gate{cancel: func(error) {}}
	conn.setGate(sealed)
	sent, _ := sealed.seal()
	assert.Assert(t, !sent)
	_, err := conn.Write([]byte("x"))
	assert.ErrorIs(t, err, errAttemptEnded)
	assert.Equal(t, wire.bytes, 0)

	// Negative control: without the seal the same write goes out.
	conn.setGate(&gate{cancel: func(error) {}})
	_, err = conn.Write([]byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, wire.bytes, 1)
}

// countingConn counts the bytes that reach the network.
type countingConn struct {
	net.Conn
	bytes int
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

// Guards against a stream whose memory allocations grow with the number of its
// parts.
func TestAllocationsPerPartAreConstant(t *testing.T) {
	const fewer, more = 100, 10_100
	c := New(Options{})
	perPart := (streamAllocations(t, c, more) - streamAllocations(t, c, fewer)) / (more - fewer)
	assert.Assert(t, perPart < maxAllocationsPerPart, "allocations per part: %g", perPart)
}

func streamAllocations(t *testing.T, c *Client, parts int) float64 {
	var text bytes.Buffer
	for n := 1; n <= parts; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n", n)
	}
	fmt.Fprintf(&text, "event: end\ndata: {\"parts\":%d,\"completion_tokens\":1}\n\ndata: [DONE]\n\n", parts)
	return testing.AllocsPerRun(10, func() {
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		var res Result
		idle := time.AfterFunc(time.Hour, func() {})
		defer idle.Stop()
		x := &exchange{ctx: ctx, cancel: cancel, gate: &gate{cancel: cancel}, resp: &http.Response{}}
		s := &stream{exchange: x, res: &res, emit: func(Part) error { return nil }, idle: idle, idleTime: time.Hour}
		if err := s.run(c.newReader(bytes.NewReader(text.Bytes()))); err != nil || res.Parts != parts {
			t.Errorf("parts %d: %v", res.Parts, err)
		}
	})
}

const fuzzMaxLine, fuzzMaxData = 256, 300

// readEvents returns the events of an input as text and the final error.
func readEvents(r io.Reader) (events []string, err error) {
	reader := &eventReader{r: bufio.NewReaderSize(r, 16), maxLine: fuzzMaxLine, maxData: fuzzMaxData}
	var ev event
	for {
		if err := reader.next(&ev); err != nil {
			return events, err
		}
		events = append(events, fmt.Sprintf("%q %q %d %t", ev.name, ev.data, ev.id, ev.hasID))
		if len(ev.data) > fuzzMaxData || !utf8.Valid(ev.data) || ev.hasID && (ev.id < 1 || ev.id > maxPartNumber) {
			return events, errors.New("event breaks a bound: " + events[len(events)-1])
		}
	}
}

// FuzzEventReader searches for inputs that exceed the bounds of the parser, or
// whose events depend on how the input is divided into reads.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {}\n\nevent: end\ndata: {\"parts\":1}\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		events, err := readEvents(bytes.NewReader(input))
		if !errors.Is(err, io.EOF) && errkind.Of(err) != errkind.UpstreamInvalidAnswer {
			t.Fatalf("error without a kind: %v", err)
		}
		again, errAgain := readEvents(iotest.OneByteReader(bytes.NewReader(input)))
		assert.DeepEqual(t, events, again)
		assert.Equal(t, errkind.Of(err), errkind.Of(errAgain))
	})
}

// FuzzWholeAnswer searches for accepted responses that are not valid UTF-8 and
// JSON, not complete or not billable.
func FuzzWholeAnswer(f *testing.F) {
	f.Add([]byte(`{"choices":[{"message":{"role":"assistant"},"finish_reason":"stop"}],"usage":{}}`))
	f.Fuzz(func(t *testing.T, input []byte) {
		answer, err := parseCompletion(input)
		if err != nil {
			assert.Equal(t, errkind.Of(err), errkind.UpstreamInvalidAnswer)
			assert.Equal(t, errkind.RanOf(err), errkind.RanYes)
			return
		}
		assert.Assert(t, json.Valid(input) && utf8.Valid(input) && len(answer.Choices) > 0)
		assert.Assert(t, answer.Usage.PromptTokens >= 0 && answer.Usage.CompletionTokens >= 0)
	})
}
