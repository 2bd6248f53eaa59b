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
	// maxMessages is above the number of messages of one request, also with
	// those of the exchange between daemons that go on meanwhile.
	maxMessages = 400
	// rejoined is enough for a restarted daemon to serve.
	rejoined = 4 * time.Second
)

// killed is what happened to one key whose first daemon was killed.
type killed struct {
	key           string
	first, repeat daemontest.Answer
	// made counts the executions after the first and after the repeated call.
	madeFirst, made int
}

// killAtEachMessage sends a request per message number to the first daemon,
// kills that daemon at the message, repeats an unanswered request through
// another daemon, and restarts the first. Once a request is answered before the
// message comes, the daemon is killed right after the answer, and that ends it.
func killAtEachMessage(t *testing.T, s *daemontest.System, name string, send func(d *daemontest.Daemon, key string) daemontest.Answer) []killed {
	t.Helper()
	var all []killed
	for n := 1; ; n++ {
		assert.Assert(t, n < maxMessages, "the request is never answered")
		k := killed{key: fmt.Sprintf("%s-%d", name, n)}
		d := s.Daemons[0]
		dead := s.Net.KillAtMessage(d.Host, n)
		k.first = send(d, k.key)
		answered := s.Net.Spare(d.Host)
		if !answered {
			<-dead
		}
		d.Kill()
		k.madeFirst = s.Bookings()[k.key]
		if !k.first.Whole {
			k.repeat = send(s.Daemons[3], k.key)
		}
		k.made = s.Bookings()[k.key]
		all = append(all, k)
		d.Restart()
		time.Sleep(rejoined)
		if answered {
			return all
		}
	}
}

func book(d *daemontest.Daemon, key string) daemontest.Answer { return d.Book(key, 2*time.Second) }

// violations lists the breaches of invariants 6 and 7, and of the promise that
// an answered booking was made.
func violations(all []killed) []string {
	var found []string
	for _, k := range all {
		for _, breach := range []struct {
			is   bool
			text string
		}{
			{k.made > 1, "ran more than once"},
			{(k.first.Whole || k.repeat.Whole) && k.made != 1, "answered and not run once"},
			{k.first.Ran == errkind.RanNo && k.madeFirst > 0, "first call is said not to have run"},
			{k.repeat.Ran == errkind.RanNo && k.made > 0, "repeated call is said not to have run"},
			{!k.first.Whole && !k.repeat.Whole && k.repeat.Kind != errkind.OutcomeUnknown, "repeated call is neither answered nor unknown"},
		} {
			if breach.is {
				found = append(found, fmt.Sprintf("%s: %s: first %+v, repeat %+v", k.key, breach.text, k.first, k.repeat))
			}
		}
	}
	return found
}

// Guards invariants 4, 6 and 7 when a daemon dies at any message of a booking
// and the caller repeats it through another daemon.
func TestDaemonKilledDuringABooking(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		all := killAtEachMessage(t, s, "booking", book)
		assert.DeepEqual(t, violations(all), []string(nil))
		time.Sleep(flushed)
		answered, made := 0, 0
		for _, k := range all {
			made += k.made
			if k.first.Whole || k.repeat.Whole {
				answered++
			}
		}
		billed := s.Billed()
		t.Logf("%d keys, %d made, %d answered, %d billed", len(all), made, answered, billed)
		assert.Assert(t, answered <= billed && billed <= made)
	})
}

// With claims that everyone wins, a repeated booking runs again.
func TestDaemonKilledTwinOpenClaims(t *testing.T) {
	run(t, daemontest.Options{Platform: openClaims}, func(t *testing.T, s *daemontest.System) {
		found := violations(killAtEachMessage(t, s, "booking", book))
		assert.Assert(t, strings.Contains(strings.Join(found, "\n"), "ran more than once"))
	})
}

// openClaims is a platform that ignores the conditions of claims.
func openClaims(next http.Handler) http.Handler {
	return filterCommits(next, func(ops []store.Op) ([]store.Op, bool) {
		for i, op := range ops {
			if strings.HasPrefix(op.Key, "claim/") {
				ops[i].Expect = store.AnyVersion
			}
		}
		return ops, true
	})
}

// Guards invariant 4 when a daemon dies at any message of a model request, or
// right after the answer: each answered request is billed once.
func TestDaemonKilledDuringAChat(t *testing.T) {
	for name, chat := range map[string]daemontest.Chat{"streamed": {Stream: true}, "whole": {}} {
		t.Run(name, func(t *testing.T) {
			run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
				all := killAtEachMessage(t, s, name, chatWith(chat))
				for _, k := range all {
					assert.Assert(t, k.first.Whole || k.repeat.Whole, "%s: first %+v, repeat %+v", k.key, k.first, k.repeat)
				}
				time.Sleep(flushed)
				assert.Equal(t, s.Billed(), len(all))
			})
		})
	}
}

// Without copies of the entries, an answer right before the kill is not billed.
func TestDaemonKilledTwinWithoutCopies(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		d := s.Daemons[0]
		for _, other := range s.Daemons[1:] {
			s.Net.Cut(d.Host.Name, other.Host.Name)
		}
		time.Sleep(inForce)
		s.Net.Cut(d.Host.Name, daemontest.PlatformHost) // an entry without a copy is flushed at once
		a := d.Chat(daemontest.Chat{Key: "alone", Prompt: "briefing"})
		d.Kill()
		assert.Assert(t, a.Whole, "%+v", a)
		time.Sleep(flushed)
		assert.Equal(t, s.Billed(), 0)
	})
}

func chatWith(c daemontest.Chat) func(*daemontest.Daemon, string) daemontest.Answer {
	return func(d *daemontest.Daemon, key string) daemontest.Answer {
		c.Key, c.Prompt = key, "briefing "+key
		return d.Chat(c)
	}
}
