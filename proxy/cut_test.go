package proxy_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/upstream"
)

// framing is how a response says where its body ends.
type framing struct {
	version, header string
	chunked         bool
	// unframed is set if only the end of the connection ends the body.
	unframed bool
	// status replaces 200 if it is not empty.
	status string
}

var framings = map[string]framing{
	"length":    {version: "1.1", header: "Content-Length: {length}\r\n"},
	"chunks":    {version: "1.1", header: "Transfer-Encoding: chunked\r\n", chunked: true},
	"none":      {version: "1.1", header: "Connection: close\r\n", unframed: true},
	"none, 1.0": {version: "1.0", unframed: true},
}

// cutKind is a kind of request whose upstream cuts its response.
type cutKind struct {
	method, path, body string
	contentType        string
	// parts are the parts of the response body.
	parts []string
}

var cutKinds = map[string]cutKind{
	"chat": {
		"POST", "/v1/chat/completions", `{"model":"brief","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`, "application/json",
		[]string{`{"model":"small","choices":[{"message":{"role":"assistant","content":"x"},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`},
	},
	"stream": {
		"POST", "/v1/chat/completions", `{"model":"brief","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`, "text/event-stream",
		[]string{"id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n", "event: end\ndata: {\"parts\":1,\"completion_tokens\":1}\n\n", "data: [DONE]\n\n"},
	},
	"service": {"GET", "/desk/bookings/b1", "", "text/plain", []string{"the whole body"}},
	"booking": {"POST", "/desk/bookings", `{"beacon":"b1"}`, "text/plain", []string{"the whole body"}},
}

// response returns the head and the body of the response to a request.
func (f framing) response(k cutKind, r *http.Request) (head, body string) {
	whole := strings.Join(k.parts, "")
	head = "HTTP/" + f.version + " " + cmp.Or(f.status, "200") + " OK\r\nContent-Type: " + k.contentType + "\r\n"
	for _, name := range []string{upstream.HeaderRequestID, upstream.HeaderAttemptID, upstream.HeaderVersion} {
		head += name + ": " + r.Header.Get(name) + "\r\n"
	}
	head += strings.ReplaceAll(f.header, "{length}", fmt.Sprint(len(whole))) + "\r\n"
	if !f.chunked {
		return head, whole
	}
	for _, part := range k.parts {
		body += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return head, body + "0\r\n\r\n"
}

// cutResponses is an upstream that cuts its responses.
type cutResponses struct {
	framing
	kind cutKind
	// cut is the number of bytes after which the connection is closed; head is the length
	// of the last header, and rest the number of bytes that were not written.
	cut, head, rest atomic.Int64
}

func (c *cutResponses) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			head, body := c.response(c.kind, r)
			n := min(int(c.cut.Load()), len(head)+len(body))
			c.head.Store(int64(len(head)))
			c.rest.Store(int64(len(head) + len(body) - n))
			_, _ = io.WriteString(conn, (head + body)[:n])
		}()
	}
}

// resetConn reports a reset instead of the end of the connection.
type resetConn struct{ net.Conn }

func (c resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = &net.OpError{Op: "read", Net: "pipe", Err: syscall.ECONNRESET}
	}
	return n, err
}

// cutReply is the response that a caller received. framed is set if it has a length or
// chunks.
type cutReply struct {
	status         int
	body           string
	framed, broken bool
}

// looksWhole reports whether a caller takes the response for a whole success.
func (r cutReply) looksWhole(kind string) bool {
	return r.status == http.StatusOK && !r.broken && (kind != "stream" || strings.Contains(r.body, "data: [DONE]\n\n"))
}

func (w *fixture) sendCut(url string, k cutKind, key string) cutReply {
	req, err := http.NewRequestWithContext(w.t.Context(), k.method, url+k.path, strings.NewReader(k.body))
	assert.NilError(w.t, err)
	req.Header = http.Header{"Authorization": {"Bearer " + callerKey}, proxy.HeaderDeadline: {"2000"}}
	if k.path == "/desk/bookings" {
		req.Header.Set(proxy.HeaderIdempotencyKey, key)
	}
	resp, err := w.client.Do(req)
	assert.NilError(w.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return cutReply{resp.StatusCode, string(body), resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, err != nil}
}

// Guards against a response that ends early and looks complete to the caller.
func TestCutResponseLooksWhole(t *testing.T) {
	for name, f := range framings {
		for kind, k := range cutKinds {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset %v", name, kind, reset), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						w := newFixture(t)
						c := &cutResponses{framing: f, kind: k}
						for _, address := range []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"} {
							l := w.net.Listen(address)
							defer l.Close()
							go c.serve(l)
						}
						o := w.options(w.router())
						if reset {
							client := upstream.New(upstream.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
								conn, err := w.net.Dial(ctx, network, address)
								return resetConn{conn}, err
							}})
							t.Cleanup(client.Close)
							o.Upstream = client
						}
						url := w.serve("10.1.0.1:80", o)
						for done := false; !done; c.cut.Add(1) {
							r := w.sendCut(url, k, fmt.Sprint(c.cut.Load()))
							done = c.rest.Load() == 0
							if fault := c.fault(kind, r, reset); fault != "" {
								t.Errorf("cut after %d bytes, %d of the head: %s: %d %q, framed %v, broken %v", c.cut.Load(), c.head.Load(), fault, r.status, r.body, r.framed, r.broken)
							}
						}
					})
				})
			}
		}
	}
}

// fault returns what is wrong with the response to a request whose response was cut, or "".
func (c *cutResponses) fault(kind string, r cutReply, reset bool) string {
	whole := strings.Join(c.kind.parts, "")
	sent := max(0, c.cut.Load()-c.head.Load())
	all := c.rest.Load() == 0
	proved := all && !c.unframed
	unproved := c.unframed && !reset && sent > 0
	switch kind {
	case "chat":
		// The body itself shows whether it is whole.
		proved, unproved = proved || all && unproved, false
	case "stream":
		// The last event shows that the stream is whole.
		_, body := c.response(c.kind, &http.Request{})
		proved, unproved = sent >= int64(strings.Index(body, "[DONE]\n\n")+len("[DONE]\n\n")), false
	}
	switch looksWhole := r.looksWhole(kind); {
	case looksWhole && !proved && !unproved:
		return "a cut response looks whole"
	case looksWhole && unproved && (r.framed || r.body != whole[:sent]):
		return "the caller is told more than is known"
	case looksWhole != (proved || unproved):
		return "not delivered"
	case looksWhole && kind != "stream" && !unproved && r.body != whole:
		return "another body"
	}
	return ""
}

// Guards against a stored response that looks more complete when it is repeated, and
// against a booking without a whole response that is repeated.
func TestRepeatOfACutResponseLooksWhole(t *testing.T) {
	for _, cut := range []string{"", "the whole"} {
		t.Run("sent: "+cut, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t)
				k := cutKinds["booking"]
				k.parts = []string{cut}
				c := &cutResponses{framing: framings["none"], kind: k}
				c.cut.Store(math.MaxInt32)
				l := w.net.Listen("10.0.0.3:80")
				defer l.Close()
				go c.serve(l)
				url := w.serve("10.1.0.1:80", w.options(w.router()))
				first, repeat := w.sendCut(url, k, "key"), w.sendCut(url, k, "key")
				if cut == "" {
					assert.Equal(t, first.status, errkind.AnswerFor(errkind.UpstreamFailed).Status, first.body)
					assert.Equal(t, repeat.status, errkind.AnswerFor(errkind.OutcomeUnknown).Status, repeat.body)
					return
				}
				want := cutReply{status: http.StatusOK, body: cut}
				assert.Equal(t, first, want)
				assert.Equal(t, repeat, want)
			})
		})
	}
}

// Guards against a transfer coding in HTTP/1.0 that is ignored, so that chunks are taken for
// the body itself, or a length for its end.
func TestOldTransferCodingLooksWhole(t *testing.T) {
	for name, header := range map[string]string{
		"chunks":          "Transfer-Encoding: chunked\r\n",
		"chunks, length":  "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
		"length, chunks":  "Content-Length: 4\r\ntransfer-encoding: chunked\r\n",
		"unknown, length": "Content-Length: 4\r\nTransfer-Encoding: other\r\n",
	} {
		for kind, k := range map[string]cutKind{"service": cutKinds["service"], "booking": cutKinds["booking"]} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newFixture(t)
					c := &cutResponses{framing: framing{version: "1.0", header: header, chunked: true}, kind: k}
					c.cut.Store(math.MaxInt32)
					l := w.net.Listen("10.0.0.3:80")
					defer l.Close()
					go c.serve(l)
					r := w.sendCut(w.serve("10.1.0.1:80", w.options(w.router())), k, "key")
					assert.Assert(t, !r.looksWhole(kind), "%q", r.body)
				})
			})
		}
	}
}
