package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/gateway"
	"github.com/savoryshift/savoryshift/gateway/gatewaytest"
	"github.com/savoryshift/savoryshift/rollout"
)

// observed is what a client saw on its socket.
type observed struct {
	status int
	// at holds the time of arrival of each whole event.
	at []time.Duration
	// body is what arrived of the body.
	body  string
	whole bool
	err   error
}

// observe sends a request and reads its response until the connection ends.
func (s *system) observe(path string, header ...string) observed {
	s.t.Helper()
	conn, err := net.Dial("tcp4", strings.TrimPrefix(s.url, "http://"))
	assert.NilError(s.t, err)
	defer conn.Close()
	begun := time.Now()
	assert.NilError(s.t, conn.SetReadDeadline(begun.Add(20*time.Second)))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\nId: %s\r\nKey: key\r\n%s\r\n\r\nbody", path, newID(), strings.Join(append([]string{"Model: large"}, header...), "\r\n"))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return observed{err: err}
	}
	o := observed{status: resp.StatusCode}
	var body strings.Builder
	for buf := make([]byte, 4096); ; {
		n, err := resp.Body.Read(buf)
		body.Write(buf[:n])
		for len(o.at) < strings.Count(body.String(), "\n\n") {
			o.at = append(o.at, time.Since(begun))
		}
		if err != nil {
			o.body, o.whole, o.err = body.String(), err == io.EOF, err
			return o
		}
	}
}

// inOneWrite returns a script that writes a header and then data as the begin of a body, in
// one write, and goes on as the function then says.
func (f framing) inOneWrite(data string, then func(w io.Writer)) script {
	return func(r *http.Request, w io.Writer) bool {
		head := "HTTP/" + f.version + " 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nSignature: s\r\nContent-Type: text/event-stream\r\n" + strings.ReplaceAll(f.header, "{length}", "1000000") + "\r\n"
		body := data
		if f.chunked {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
		}
		_, _ = io.WriteString(w, head+body)
		if then != nil {
			then(w)
		}
		return false
	}
}

const (
	firstEvent  = "id: 1\ndata: large-1\n\n"
	secondEvent = "id: 2\ndata: large-2\n\n"
)

// endsAfterAnEvent lists what can end a stream whose upstream has sent an event, and more, in
// one write. No further call succeeds.
var endsAfterAnEvent = map[string]struct {
	// data is sent in the write, of which sent events can be forwarded.
	data string
	sent int
	// path is that of the route, "/stream/x" if it is empty.
	path   string
	budget int
	second script
	header string
	// then happens at the first upstream after the write.
	then func(s *system, w io.Writer)
}{
	"event repeated, no budget":       {data: firstEvent + firstEvent, sent: 1},
	"event repeated, others refuse":   {data: firstEvent + firstEvent, sent: 1, budget: 100, second: answer(503, "", "Not-Run: 1")},
	"event repeated, others fail":     {data: firstEvent + firstEvent, sent: 1, budget: 100, second: answer(500, "bad")},
	"event repeated, not resumable":   {data: firstEvent + firstEvent, sent: 1, path: "/once/x", budget: 100},
	"event repeated, deadline":        {data: firstEvent + firstEvent, sent: 1, header: "Patience: 700"},
	"second event repeated":           {data: firstEvent + secondEvent + secondEvent, sent: 2},
	"event and the begin of the next": {data: firstEvent + "id: 2\ndata: la", sent: 1},
	"event and a header of the next":  {data: firstEvent + "id: 2\n", sent: 1, path: "/once/x"},
	"event too long":                  {data: firstEvent + strings.Repeat("\n", 70<<10), sent: 1},
	"end of a stop": {data: firstEvent + firstEvent, sent: 1, then: func(s *system, _ io.Writer) {
		s.stopFor(300 * time.Millisecond)
		time.AfterFunc(300*time.Millisecond, s.server.EndCalls)
	}},
	"panic": {data: firstEvent + firstEvent, sent: 1, budget: panicking},
}

// panicking is a retry budget that panics.
const panicking = -1

// latestArrival is the time by which an event that the upstream has sent must have arrived.
const latestArrival = 500 * time.Millisecond

// Guards against a client that gets nothing, or an event late, because an accepted event
// waits in a buffer while the stream ends.
func TestAcceptedEventIsNotSent(t *testing.T) {
	for name, f := range framings {
		if f.newline != "" || strings.Contains(f.header, "Trailer") {
			continue
		}
		for ending, c := range endsAfterAnEvent {
			t.Run(name+"/"+ending, func(t *testing.T) {
				t.Parallel()
				var s *system
				first := f.inOneWrite(c.data, func(w io.Writer) {
					if c.then != nil {
						c.then(s, w)
					}
				})
				second := c.second
				if second == nil {
					second = answer(503, "", "Not-Run: 1")
				}
				s, _, _ = newPair(t, first, second)
				s.budget.left = c.budget
				path := c.path
				if path == "" {
					path = "/stream/x"
				}
				header := c.header
				if header == "" {
					header = "Patience: 2800"
				}
				o := s.observe(path, header)
				assert.Equal(t, o.status, http.StatusOK, "%v", o.err)
				assert.Equal(t, len(o.at), c.sent, "%q %v", o.body, o.err)
				assert.Equal(t, o.body, c.data[:c.sent*len(firstEvent)])
				assert.Assert(t, o.at[0] < latestArrival, "%v", o.at)
				assert.Assert(t, !o.whole, "a broken stream looks whole")
				closed := s.logs.FilterMessage("connection closed").All()
				assert.Equal(t, len(closed), 1)
				fields := closed[0].ContextMap()
				assert.Equal(t, fields["events_sent"], int64(c.sent), "%v", fields)
			})
		}
	}
}

// Guards against a burst of events that takes a write each, and an event that waits for the
// next one.
func TestBurstTakesAWriteForEachEvent(t *testing.T) {
	const burst, waiting = 40, 5
	for name, f := range framings {
		t.Run(name, func(t *testing.T) {
			var all strings.Builder
			for i := range burst {
				fmt.Fprintf(&all, "id: %d\ndata: large\n\n", i+1)
			}
			u := startUpstream(t, "a", f.inOneWrite(all.String(), func(w io.Writer) {
				for i := range waiting {
					time.Sleep(60 * time.Millisecond)
					event := fmt.Sprintf("id: %d\ndata: large\n\n", burst+1+i)
					if f.chunked {
						event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
					}
					_, _ = io.WriteString(w, event)
				}
				time.Sleep(time.Second)
			}))
			s := newSystem(t, registration(u, "v1")).configure()
			o := s.observe("/once/x")
			assert.Equal(t, len(o.at), burst+waiting, "%q %v", o.body, o.err)
			for i, at := range o.at[:burst] {
				assert.Assert(t, at < latestArrival, "event %d after %v", i+1, at)
			}
			for i, at := range o.at[burst:] {
				sent := time.Duration(i+1) * 60 * time.Millisecond
				assert.Assert(t, at < sent+latestArrival, "event %d after %v", burst+i+1, at)
			}
			// One write for the burst, one for each event after it, and those at the end.
			assert.Assert(t, s.writes.Load() <= 1+waiting+2, "%d writes", s.writes.Load())
		})
	}
}

// Guards against an event that is held back, and a silent upstream that is not replaced,
// because an empty line with a space was taken for the next event.
func TestBlankLineHoldsAnEventBack(t *testing.T) {
	for name, f := range framings {
		for _, blank := range []string{" \n\n", "\t\r\n\r\n", "\n \n\n"} {
			t.Run(fmt.Sprintf("%s/%q", name, blank), func(t *testing.T) {
				t.Parallel()
				s, _, b := newPair(t, f.inOneWrite(firstEvent+blank, func(io.Writer) { time.Sleep(2800 * time.Millisecond) }), events(3, lastChunk, "Content-Type: text/event-stream"))
				o := s.observe("/stream/x", "Patience: 2800")
				assert.Equal(t, o.status, http.StatusOK, "%v", o.err)
				assert.Assert(t, len(o.at) == 3 && o.at[0] < latestArrival, "%v %q", o.at, o.body)
				assert.Equal(t, len(b.received()), 1)
			})
		}
	}
}

// Guards against events that were flushed and are dropped by the reset of a broken stream,
// because its client reads slowly.
func TestResetDropsEventsThatWereSent(t *testing.T) {
	const events, eventBytes, delay = 40, 3000, 60 * time.Millisecond
	var all strings.Builder
	for i := range events {
		fmt.Fprintf(&all, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", eventBytes))
	}
	for name, f := range framings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _, _ := newPair(t, f.inOneWrite(all.String()+firstEvent, nil), answer(503, "", "Not-Run: 1"))
			s.budget.left = 0
			dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2304) })
			}}
			conn, err := dialer.Dial("tcp4", strings.TrimPrefix(s.url, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\nId: %s\r\nKey: key\r\nModel: large\r\n\r\nbody", newID())
			time.Sleep(delay)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.Assert(t, err != nil, "a broken stream looks whole")
			assert.Equal(t, strings.Count(string(body), "\n\n"), events)
		})
	}
}

// panickingSplitter panics when the release of a request is recorded.
type panickingSplitter struct{ *rollout.Manager }

func (panickingSplitter) Served(string, string, string, time.Time) { panic("served") }

// Guards against a request that ends with a panic and gets no answer.
func TestPanicLeavesNoAnswer(t *testing.T) {
	for _, path := range kindsOfRoute {
		t.Run(path, func(t *testing.T) {
			u := startUpstream(t, "a", answerAny)
			s := newSystem(t, registration(u, "v1"))
			s.splitter = panickingSplitter{s.rollouts}
			s.restart(gateway.Options{}).configure()
			o := s.observe(path)
			assert.Equal(t, o.status, http.StatusInternalServerError, "%v", o.err)
			assert.Assert(t, o.whole)
			assert.Equal(t, s.logs.FilterMessage("handler panicked").Len(), 1)
		})
	}
}

// Guards against a log that does not tell a response that was sent from one that was not.
func TestLogDoesNotTellWhatWasSent(t *testing.T) {
	for _, path := range append(kindsOfRoute, "/unknown/x") {
		t.Run(path, func(t *testing.T) {
			u := startUpstream(t, "a", answerAny)
			s := newSystem(t, registration(u, "v1")).configure()
			o := s.observe(path)
			assert.Assert(t, o.whole, "%v", o.err)
			lines := s.logs.FilterMessage("request")
			for deadline := time.Now().Add(5 * time.Second); lines.Len() == 0 && time.Now().Before(deadline); lines = s.logs.FilterMessage("request") {
				time.Sleep(time.Millisecond)
			}
			fields := lines.All()[0].ContextMap()
			assert.Equal(t, fields["whole"], true)
			assert.Equal(t, fields["bytes_sent"], int64(len(o.body)))
		})
	}
}

// Guards against a request that is refused before its body has arrived, and has no answer
// and no end while its client sends nothing more.
func TestRefusalWaitsForAStalledBody(t *testing.T) {
	s := newSystem(t, registration(startUpstream(t, "a", answerAny), "v1")).configure()
	for path, status := range map[string]int{"/unknown/x": http.StatusNotFound, "/safe/x": http.StatusUnauthorized} {
		t.Run(path, func(t *testing.T) {
			conn, err := net.Dial("tcp4", strings.TrimPrefix(s.url, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nId: %s\r\nKey: none\r\n\r\n", path, newID())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, status)
			_, err = io.ReadAll(resp.Body)
			assert.NilError(t, err)
			for deadline := time.Now().Add(2 * time.Second); s.server.Active() > 0 && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, s.server.Active(), 0)
		})
	}
}

// panickingCodec panics when it decodes the responses of one upstream.
type panickingCodec struct{ gatewaytest.Codec }

func (c panickingCodec) DecodeResponse(resp *http.Response) gateway.ResponseHeader {
	if resp.Header.Get("Panics") != "" {
		panic("response")
	}
	return c.Codec.DecodeResponse(resp)
}

// Guards against a process that ends with all its requests because a call has panicked.
func TestPanicOfACallEndsTheProcess(t *testing.T) {
	for path, status := range map[string]int{"/safe/x": http.StatusOK, "/unsafe/x": http.StatusBadGateway, "/stream/x": http.StatusOK} {
		t.Run(path, func(t *testing.T) {
			s, a, _ := newPair(t, answer(http.StatusOK, "odd", "Panics: 1"), answerAny)
			s.codec = panickingCodec{}
			s.restart(gateway.Options{}).configure()
			o := s.observe(path)
			assert.Equal(t, o.status, status, "%v", o.err)
			assert.Assert(t, o.whole)
			assert.Equal(t, s.logs.FilterMessage("call panicked").Len(), len(a.received()))
			assert.Equal(t, len(s.book.Loads()), 0)
		})
	}
}
