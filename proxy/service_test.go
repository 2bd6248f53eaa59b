package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/standin/service"
)

func (w *fixture) book(url, key, beacon string) reply {
	return w.post(url+"/desk/bookings", callerKey, `{"beacon":"`+beacon+`"}`, proxy.HeaderIdempotencyKey, key, proxy.HeaderDeadline, "2000")
}

// executions counts the bookings made under a key.
func (w *fixture) executions(key string) int {
	n := 0
	for _, e := range w.desk.Executions() {
		if e.IdempotencyKey == key {
			n++
		}
	}
	return n
}

// unguardedClaims lets every attempt win its claim. Tests use it as a negative
// control.
type unguardedClaims struct{}

type unguardedClaim struct{}

func (unguardedClaims) Acquire(context.Context, string, string, [32]byte) (proxy.Claim, *proxy.StoredOutcome, error) {
	return unguardedClaim{}, nil, nil
}
func (unguardedClaim) BeginDispatch() error         { return nil }
func (unguardedClaim) Complete(proxy.StoredOutcome) {}
func (unguardedClaim) Release()                     {}

// Guards against a booking that is made twice when the caller repeats it
// through another daemon, or when a reply of the service or of the claim store
// is lost. Without claims the booking is made twice.
func TestBookingRunsAtMostOnce(t *testing.T) {
	faults := map[string]func(*fixture){
		"calm":               func(*fixture) {},
		"service reply lost": func(w *fixture) { w.desk.SetFaults(service.Faults{CutReply: true}) },
		"service fails late": func(w *fixture) { w.desk.SetFaults(service.Faults{FailAfter: true}) },
		"claim reply lost":   func(w *fixture) { w.store.SetFaults(memstore.Faults{LoseReplies: 2}) },
		"platform slow":      func(w *fixture) { w.store.SetFaults(memstore.Faults{Delay: 100 * time.Millisecond}) },
	}
	for name, inject := range faults {
		for _, claimed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, claims %t", name, claimed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newFixture(t)
					var urls []string
					for i := range 2 {
						o := w.options(w.router())
						if !claimed {
							o.Claims = unguardedClaims{}
						}
						urls = append(urls, w.serve(fmt.Sprintf("10.1.0.%d:80", i), o))
					}
					inject(w)
					first := w.book(urls[0], "k", "b1")
					w.desk.SetFaults(service.Faults{})
					w.store.SetFaults(memstore.Faults{})
					second := w.book(urls[1], "k", "b1")
					if !claimed {
						assert.Equal(t, w.executions("k"), 2)
						return
					}
					assert.Equal(t, w.executions("k"), 1, first.body+second.body)
					assert.Assert(t, second.err.Ran != errkind.RanNo, second.body)
				})
			})
		}
	}
}

// Guards against a repeat that gets another response than the first call, and
// against a different call that reuses the key.
func TestRepeatGetsTheStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		a := w.serve("10.1.0.1:80", w.options(w.router()))
		b := w.serve("10.1.0.2:80", w.options(w.router()))
		first := w.book(a, "k", "b1")
		repeat := w.book(b, "k", "b1")
		assert.Equal(t, first.status, http.StatusCreated, first.body)
		assert.Equal(t, repeat.body, first.body)
		assert.Equal(t, repeat.status, first.status)
		assert.Equal(t, first.header.Get(proxy.HeaderRepeated), "false")
		assert.Equal(t, repeat.header.Get(proxy.HeaderRepeated), "true")
		wantKind(t, w.book(a, "k", "b2"), errkind.IdempotencyMismatch)
		wantKind(t, w.post(a+"/desk/bookings", callerKey, "{}"), errkind.BadRequest)
	})
}

// Guards against a key that stays claimed after a refusal: when nothing was
// sent, the booking can be repeated under the same key.
func TestRefusedBookingCanBeTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		url := w.serve("10.1.0.1:80", w.options(w.router()))
		next := baseTree()
		desk := next.Upstreams["desk"]
		desk.URL = "http://10.0.0.99:80" // nothing listens there
		next.Upstreams["desk"] = desk
		w.apply(next, 2)
		r := w.book(url, "k", "b1")
		assert.Equal(t, r.err.Ran, errkind.RanNo, r.body)
		w.apply(baseTree(), 3)
		assert.Equal(t, w.book(url, "k", "b1").status, http.StatusCreated)
		w.store.SetFaults(memstore.Faults{Down: true})
		r = w.book(url, "k2", "b1")
		wantKind(t, r, errkind.ClaimUnavailable)
		w.store.SetFaults(memstore.Faults{})
		assert.Equal(t, w.book(url, "k2", "b1").status, http.StatusCreated)
		assert.Equal(t, w.executions("k")+w.executions("k2"), 2)
	})
}

// Guards against any combination of repeats, daemons and faults that makes a
// booking twice, or reports "not run" for one that was made.
func TestBookingSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(t)
			urls := []string{
				w.serve("10.1.0.1:80", w.options(w.router())),
				w.serve("10.1.0.2:80", w.options(w.router())),
			}
			lastNotRun := map[string]bool{}
			for range rapid.IntRange(1, 8).Draw(rt, "calls") {
				w.desk.SetFaults(service.Faults{
					CutReply:  rapid.Bool().Draw(rt, "cut"),
					FailAfter: rapid.Bool().Draw(rt, "fail"),
				})
				w.store.SetFaults(memstore.Faults{
					Down:        rapid.IntRange(0, 4).Draw(rt, "down") == 0,
					LoseReplies: rapid.IntRange(0, 3).Draw(rt, "lost"),
				})
				key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(rt, "key")
				before := w.executions(key)
				r := w.book(rapid.SampledFrom(urls).Draw(rt, "daemon"), key, "b1")
				lastNotRun[key] = r.err.Ran == errkind.RanNo
				if lastNotRun[key] && w.executions(key) != before {
					rt.Fatalf("\"not run\" was reported for a booking that was made: %s", r.body)
				}
			}
			for _, key := range []string{"k1", "k2"} {
				if n := w.executions(key); n > 1 {
					rt.Fatalf("key %s ran %d times", key, n)
				}
			}
		})
	})
}

// Guards against invalid input that is rejected with the wrong kind, or that
// reaches an upstream.
func TestBadInput(t *testing.T) {
	message := `"messages":[{"role":"user","content":"x"}]`
	for _, c := range []struct {
		name, path, key, body string
		header                []string
		kind                  errkind.Kind
	}{
		{"no key", "/v1/chat/completions", "", "{}", nil, errkind.Unauthenticated},
		{"unknown key", "/v1/chat/completions", "other", "{}", nil, errkind.Unauthenticated},
		{"truncated body", "/v1/chat/completions", callerKey, `{"model":"brief",`, nil, errkind.BadRequest},
		{"body is a list", "/v1/chat/completions", callerKey, `[]`, nil, errkind.BadRequest},
		{"invalid UTF-8", "/v1/chat/completions", callerKey, "{\"model\":\"\xff\"}", nil, errkind.BadRequest},
		{"no messages", "/v1/chat/completions", callerKey, `{"model":"brief"}`, nil, errkind.BadRequest},
		{"wrong type", "/v1/chat/completions", callerKey, `{"model":"brief","max_tokens":"many",` + message + `}`, nil, errkind.BadRequest},
		{"negative tokens", "/v1/chat/completions", callerKey, `{"model":"brief","max_tokens":-1,` + message + `}`, nil, errkind.BadRequest},
		{"too large", "/v1/chat/completions", callerKey, strings.Repeat(" ", 5000), nil, errkind.PayloadTooLarge},
		{"unknown model", "/v1/chat/completions", callerKey, `{"model":"none",` + message + `}`, nil, errkind.NotFound},
		{"model of another organisation", "/v1/chat/completions", otherKey, `{"model":"large",` + message + `}`, nil, errkind.NotFound},
		{"deadline in the past", "/v1/chat/completions", callerKey, `{"model":"brief",` + message + `}`, []string{proxy.HeaderDeadline, "-5"}, errkind.DeadlinePassed},
		{"deadline is no number", "/v1/chat/completions", callerKey, `{"model":"brief",` + message + `}`, []string{proxy.HeaderDeadline, "soon"}, errkind.BadRequest},
		{"forged session", "/v1/chat/completions", callerKey, `{"model":"brief",` + message + `}`, []string{proxy.HeaderSession, "v1.k1.e30.AAAA"}, errkind.BadRequest},
		{"unknown path", "/nothing", callerKey, "", nil, errkind.NotFound},
		{"two keys", "/desk/bookings", callerKey, "{}", []string{proxy.HeaderIdempotencyKey, "a", proxy.HeaderIdempotencyKey, "b"}, errkind.BadRequest},
		{"key with a space", "/desk/bookings", callerKey, "{}", []string{proxy.HeaderIdempotencyKey, "a b"}, errkind.BadRequest},
		{"long key", "/desk/bookings", callerKey, "{}", []string{proxy.HeaderIdempotencyKey, strings.Repeat("k", 256)}, errkind.BadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t)
				r := w.post(w.serve("10.1.0.1:80", w.options(w.router()))+c.path, c.key, c.body, c.header...)
				wantKind(t, r, c.kind)
				<-time.After(time.Second) // the server keeps the connection open for a while after a body that it did not read
				assert.Equal(t, r.err.Ran, errkind.RanNo)
				assert.Equal(t, len(w.engines["e1"].Runs())+len(w.desk.Executions()), 0)
			})
		})
	}
}

// Guards against an error that claims "not run" for an idempotent call whose
// first attempt was executed, when no other instance can be tried.
func TestRefusedRetryOfAReadDoesNotHideTheFirstTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		w.desk.SetFaults(service.Faults{CutReply: true})
		url := w.serve("10.1.0.1:80", w.options(w.router()))
		req, err := http.NewRequest(http.MethodGet, url+"/desk/bookings", nil)
		assert.NilError(t, err)
		r := w.do(req, callerKey)
		assert.Assert(t, r.status >= 500 && r.err.Ran != errkind.RanNo, r.body)
	})
}
