package daemontest_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/daemon/daemontest"
	"github.com/savoryshift/savoryshift/errkind"
)

const (
	// maxMessages is above the number of messages that a daemon sends and receives
	// during one request, including those exchanged with other daemons.
	maxMessages = 400
	// rejoinTime is enough time for a restarted daemon to serve again.
	rejoinTime = 4 * time.Second
)

// killOutcome is the outcome of one idempotency key: of a request through a
// daemon that is killed, and of its repeat through another daemon.
type killOutcome struct {
	key           string
	first, repeat daemontest.Answer
	// executionsBeforeRepeat is the number of executions after the first request,
	// executions the number after the repeat.
	executionsBeforeRepeat, executions int
}

// killAtEachMessage sends one request after the other to the first daemon and
// kills the daemon at the n-th message of the n-th request. It repeats a request
// that was not answered through another daemon, and restarts the first one. The
// last request is the first one that is answered before its n-th message; there
// the daemon is killed right after the answer.
func killAtEachMessage(t *testing.T, s *daemontest.System, name string, send func(d *daemontest.Daemon, key string) daemontest.Answer) []killOutcome {
	t.Helper()
	var all []killOutcome
	for n := 1; ; n++ {
		assert.Assert(t, n < maxMessages, "the request is never answered")
		k := killOutcome{key: fmt.Sprintf("%s-%d", name, n)}
		d := s.Daemons[0]
		dead := s.Net.KillAtMessage(d.Host, n)
		k.first = send(d, k.key)
		answered := s.Net.CancelKill(d.Host)
		if !answered {
			select {
			case <-dead:
			case <-time.After(time.Minute):
				t.Fatal("the daemon was not killed within a minute")
			}
		}
		d.Kill()
		k.executionsBeforeRepeat = s.Bookings()[k.key]
		if !k.first.Complete {
			k.repeat = send(s.Daemons[3], k.key)
		}
		k.executions = s.Bookings()[k.key]
		all = append(all, k)
		d.Restart()
		time.Sleep(rejoinTime)
		if answered {
			return all
		}
	}
}

func book(d *daemontest.Daemon, key string) daemontest.Answer { return d.Book(key, 2*time.Second) }

// violations lists the violations of invariants 6 and 7, and the answered
// bookings that were not made.
func violations(all []killOutcome) []string {
	var found []string
	for _, k := range all {
		for _, check := range []struct {
			violated bool
			text     string
		}{
			{k.executions > 1, "ran more than once"},
			{(k.first.Complete || k.repeat.Complete) && k.executions != 1, "answered and not run exactly once"},
			{k.first.Ran == errkind.RanNo && k.executionsBeforeRepeat > 0, "first request ran but was reported as not run"},
			{k.repeat.Ran == errkind.RanNo && k.executions > 0, "request ran but its repeat was reported as not run"},
			{!k.first.Complete && !k.repeat.Complete && k.repeat.Kind != errkind.OutcomeUnknown, "repeat is neither answered nor reported as of unknown outcome"},
		} {
			if check.violated {
				found = append(found, fmt.Sprintf("%s: %s: first %+v, repeat %+v", k.key, check.text, k.first, k.repeat))
			}
		}
	}
	return found
}

// Guards invariants 4, 6 and 7 when a daemon crashes at any message of a booking
// and the client repeats the booking through another daemon: it runs at most
// once, the clients learn correctly whether it ran, and the bill has at least the
// answered and at most the executed bookings.
func TestDaemonKilledDuringABooking(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		all := killAtEachMessage(t, s, "booking", book)
		assert.DeepEqual(t, violations(all), []string(nil))
		time.Sleep(flushTime)
		answered, executions := 0, 0
		for _, k := range all {
			executions += k.executions
			if k.first.Complete || k.repeat.Complete {
				answered++
			}
		}
		billed := s.Billed()
		t.Logf("%d keys, %d executions, %d answered, %d billed", len(all), executions, answered, billed)
		assert.Assert(t, answered <= billed && billed <= executions)
	})
}

// Negative control of TestDaemonKilledDuringABooking: the platform ignores the
// conditions of claims, so every daemon gets its claim and a repeated booking
// must run a second time.
func TestDaemonKilledWithUnconditionalClaims(t *testing.T) {
	run(t, daemontest.Options{Platform: unconditionalClaims}, func(t *testing.T, s *daemontest.System) {
		found := violations(killAtEachMessage(t, s, "booking", book))
		assert.Assert(t, strings.Contains(strings.Join(found, "\n"), "ran more than once"))
	})
}

// unconditionalClaims makes the platform ignore the conditions of claims.
func unconditionalClaims(next http.Handler) http.Handler {
	return filterCommits(next, func(ops []store.Op) ([]store.Op, bool) {
		for i, op := range ops {
			if strings.HasPrefix(op.Key, "claim/") {
				ops[i].Expect = store.AnyVersion
			}
		}
		return ops, true
	})
}

// Guards invariant 4 when a daemon crashes at any message of a model request, or
// right after the answer: each answered request is billed once.
func TestDaemonKilledDuringAChat(t *testing.T) {
	for name, chat := range map[string]daemontest.Chat{"streamed": {Stream: true}, "whole": {}} {
		t.Run(name, func(t *testing.T) {
			run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
				all := killAtEachMessage(t, s, name, chatWith(chat))
				for _, k := range all {
					assert.Assert(t, k.first.Complete || k.repeat.Complete, "%s: first %+v, repeat %+v", k.key, k.first, k.repeat)
				}
				time.Sleep(flushTime)
				assert.Equal(t, s.Billed(), len(all))
			})
		})
	}
}

// Negative control of TestDaemonKilledDuringAChat: the daemon is cut from all
// other daemons, so none holds a copy of its ledger entries, and an answer right
// before the crash must be missing on the bill.
func TestDaemonKilledWithoutLedgerCopies(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		d := s.Daemons[0]
		for _, other := range s.Daemons[1:] {
			s.Net.Cut(d.Host.Name, other.Host.Name)
		}
		time.Sleep(propagationTime)
		s.Net.Cut(d.Host.Name, daemontest.PlatformHost) // an entry without a copy would be flushed at once
		a := d.Chat(daemontest.Chat{Key: "alone", Prompt: "briefing"})
		d.Kill()
		assert.Assert(t, a.Complete, "%+v", a)
		time.Sleep(flushTime)
		assert.Equal(t, s.Billed(), 0)
	})
}

// chatWith returns a function that sends c with a key and a prompt of its own.
func chatWith(c daemontest.Chat) func(*daemontest.Daemon, string) daemontest.Answer {
	return func(d *daemontest.Daemon, key string) daemontest.Answer {
		c.Key, c.Prompt = key, "briefing "+key
		return d.Chat(c)
	}
}
