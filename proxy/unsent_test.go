package proxy_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/proxy"
)

// kindsOfRequest are requests of each kind, as sent on a socket.
var kindsOfRequest = map[string]string{
	"booking": rawRequest("POST", "/desk/bookings", `{"beacon":"b1"}`),
	"read":    rawRequest("GET", "/desk/bookings/b1", ""),
	"models":  rawRequest("GET", "/v1/models", ""),
	"whole":   rawRequest("POST", "/v1/chat/completions", `{"model":"brief","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`),
	"stream":  rawRequest("POST", "/v1/chat/completions", `{"model":"brief","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`),
}

func rawRequest(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", method, path, callerKey, len(body), body)
}

// exchange sends a request to a server on a connection of its own, and closes the sending
// side of it if halfClose is set. It returns what arrives.
func (w *fixture) exchange(s *proxy.Server, request string, halfClose bool, wrap ...func(net.Conn) net.Conn) (reply, error) {
	server := &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(w.t, err)
	go func() { _ = server.Serve(wrappingListener{listener, wrap}) }()
	w.t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(w.t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, request)
	assert.NilError(w.t, err)
	if halfClose {
		assert.NilError(w.t, conn.(*net.TCPConn).CloseWrite())
	}
	assert.NilError(w.t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, header: resp.Header, body: string(data)}
	var e proxy.ErrorBody
	if resp.StatusCode >= 400 && json.Unmarshal(data, &e) == nil {
		r.err = e.Error
	}
	return r, err
}

// wrappingListener wraps the connections that it accepts.
type wrappingListener struct {
	net.Listener
	wrap []func(net.Conn) net.Conn
}

func (l wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	for _, wrap := range l.wrap {
		if err == nil {
			conn = wrap(conn)
		}
	}
	return conn, err
}

// failingConn is a connection whose first writes succeed.
type failingConn struct {
	net.Conn
	writes int
}

func (c *failingConn) Write(data []byte) (int, error) {
	if c.writes--; c.writes < 0 {
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

// Guards against a response that counts as answered although it was not sent, and of which
// the log says nothing.
func TestUnsentResponseCountsAsAnswered(t *testing.T) {
	for name, request := range kindsOfRequest {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			core, lines := observer.New(zap.InfoLevel)
			o := w.options(w.router())
			o.Log = zap.New(core)
			s := proxy.New(o)
			_, err := w.exchange(s, request, false, func(c net.Conn) net.Conn { return &failingConn{Conn: c} })
			assert.Assert(t, err != nil)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if s.Vars().Get("unfinished").String() == "0" {
					return poll.Continue("no connection was closed")
				}
				return poll.Success()
			})
			assert.Equal(t, s.Vars().Get("answered").String(), "0")
			assert.Equal(t, s.Vars().Get("unfinished").String(), "1")
			logged := lines.FilterMessage("connection closed without a whole response").All()
			assert.Equal(t, len(logged), 1)
			assert.Equal(t, logged[0].ContextMap()["bytes_sent"], int64(0))
			assert.Assert(t, logged[0].ContextMap()["bytes"].(int64) > 0)
		})
	}
}

// panicking is a dependency of the server whose methods panic.
type panicking struct{ proxy.Biller }

func (panicking) Reserve() (proxy.Reservation, error) { panic("reserve") }

// Guards against a request that ends with a panic and gets no answer.
func TestPanicLeavesNoAnswer(t *testing.T) {
	for name, request := range kindsOfRequest {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			o := w.options(w.router())
			o.Biller = panicking{}
			if name == "read" || name == "models" {
				o.Snapshot = nil
			}
			r, err := w.exchange(proxy.New(o), request, false)
			assert.NilError(t, err)
			wantKind(t, r, errkind.Internal)
			assert.Equal(t, r.err.Ran, errkind.RanUnknown)
			assert.Equal(t, w.executions("k"), 0)
		})
	}
}

// panickingReservation panics when usage is recorded.
type panickingReservation struct{ proxy.Reservation }

func (panickingReservation) Add(context.Context, proxy.Usage) error { panic("add") }

type panickingAtTheEnd struct{ proxy.Biller }

func (b panickingAtTheEnd) Reserve() (proxy.Reservation, error) {
	r, err := b.Biller.Reserve()
	return panickingReservation{r}, err
}

// Guards against a panic at the end of a request that leaves no answer, promises that
// nothing ran, or ends a stream as if it were whole.
func TestPanicAfterTheUpstreamHasAnswered(t *testing.T) {
	for _, name := range []string{"booking", "whole", "stream"} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			core, lines := observer.New(zap.InfoLevel)
			o := w.options(w.router())
			o.Biller, o.Log = panickingAtTheEnd{o.Biller}, zap.New(core)
			s := proxy.New(o)
			if name == "stream" {
				r, err := w.exchange(s, kindsOfRequest[name], false)
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				assert.Assert(t, strings.Contains(r.body, "data: ") && !strings.Contains(r.body, "[DONE]"), r.body)
				assert.Equal(t, lines.FilterMessage("connection closed without a whole response").Len(), 1)
			} else {
				r, err := w.exchange(s, kindsOfRequest[name], false)
				assert.NilError(t, err)
				wantKind(t, r, errkind.Internal)
				assert.Equal(t, r.err.Ran, errkind.RanUnknown)
			}
			assert.Equal(t, lines.FilterMessage("handler panicked").Len(), 1)
			assert.Equal(t, s.Vars().Get("answered").String(), "0")
		})
	}
}

// oddEngine answers with a completion whose identifier is a number.
type oddEngine struct{ next http.Handler }

func (e oddEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorded := httptest.NewRecorder()
	e.next.ServeHTTP(recorded, r)
	var fields map[string]any
	if json.Unmarshal(recorded.Body.Bytes(), &fields) == nil && fields["choices"] != nil {
		fields["id"] = 7
	}
	data, _ := json.Marshal(fields)
	for name, values := range recorded.Header() {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(recorded.Code)
	_, _ = w.Write(data)
}

// Guards against a stream that is billed and has neither events nor an error, because the
// response of its upstream can't be sent as events.
func TestResponseThatIsNoStream(t *testing.T) {
	w := newFixture(t)
	engine := w.net.Serve(t, "10.0.0.9:80", oddEngine{w.engines["e1"]})
	rated := step("e1", "s1")
	rated.URL, rated.Rated = engine, true
	r, err := w.exchange(proxy.New(w.options(w.router(rated))), kindsOfRequest["stream"], false)
	t.Logf("%d %q %v, billed %d", r.status, r.body, err, len(w.biller.Usage()))
	assert.NilError(t, err)
	wantKind(t, r, errkind.UpstreamInvalidAnswer)
	assert.Equal(t, len(w.biller.Usage()), 0)
}

// Guards against a caller that closes only its sending side and gets no answer.
func TestHalfClosedCallerGetsNoAnswer(t *testing.T) {
	for name, request := range kindsOfRequest {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			r, err := w.exchange(proxy.New(w.options(w.router())), request, true)
			assert.NilError(t, err)
			assert.Assert(t, r.status != 0 && (name != "booking" || r.err.Ran != errkind.RanNo || w.executions("k") == 0), r.body)
			t.Logf("%d %s, ran: %s", r.status, r.err.Code, r.err.Ran)
		})
	}
}

// panickingRater is a rating service whose calls panic. Its router asks for samples.
type panickingRater struct{ proxy.Router }

func (panickingRater) Rate(context.Context, proxy.RatingRequest) (bool, error) { panic("rate") }

func (panickingRater) SampleRating(proxy.RouteRequest, proxy.Target) bool { return true }

// Guards against a panic of a rating that ends the process, or its request.
func TestPanicOfARatingEndsTheProcess(t *testing.T) {
	rated := step("e1", "s1")
	rated.Rated = true
	second := step("e2", "l1")
	for name, steps := range map[string][]proxy.Step{"sampled": {step("e1", "s1")}, "two calls": {rated, second}} {
		for _, kind := range []string{"whole", "stream"} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				w := newFixture(t)
				o := w.options(nil)
				rater := panickingRater{w.router(steps...)}
				o.Rater, o.Router = rater, rater
				s := proxy.New(o)
				r, err := w.exchange(s, kindsOfRequest[kind], false)
				assert.NilError(t, err)
				assert.Equal(t, r.status, http.StatusOK, r.body)
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if s.Vars().Get("rating_errors").String() == "0" {
						return poll.Continue("no rating has failed")
					}
					return poll.Success()
				})
			})
		}
	}
}

// panickingRouter panics when a call begins.
type panickingRouter struct{ proxy.Router }

func (panickingRouter) Started(proxy.RouteRequest, proxy.Target) { panic("started") }

// Guards against a panic on the goroutine of a call that ends the process and so cuts the
// requests of all callers.
func TestPanicInACall(t *testing.T) {
	patient := step("e1", "s1")
	patient.Patience = time.Second
	for name, steps := range map[string][]proxy.Step{"one call": {step("e1", "s1")}, "patience": {patient}, "two calls": {step("e1", "s1"), step("e2", "s1")}} {
		for _, kind := range []string{"whole", "stream"} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				w := newFixture(t)
				r, err := w.exchange(proxy.New(w.options(panickingRouter{w.router(steps...)})), kindsOfRequest[kind], false)
				assert.NilError(t, err)
				wantKind(t, r, errkind.Internal)
				assert.Equal(t, r.err.Ran, errkind.RanUnknown)
			})
		}
	}
}
