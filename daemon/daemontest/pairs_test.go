package daemontest_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/daemon/daemontest"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/operator"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/standin/service"
)

const (
	// twinSeeds bounds the schedules that a twin may need.
	twinSeeds = 24
	// bookingPeriod is the time between two bookings.
	bookingPeriod = 500 * time.Millisecond
	// scheduleTime is longer than both failures of a pair.
	scheduleTime = 25 * time.Second
)

// failure is something that goes wrong for a while.
type failure struct {
	name       string
	begin, end func(*daemontest.System)
}

var failures = []failure{
	{"zone cut from zones", cuts[0].apply, heal},
	{"zone cut from the platform", cuts[1].apply, heal},
	{"zone cut from both", cuts[2].apply, heal},
	{"platform down", platformFaults(memstore.Faults{Down: true}), platformFaults(memstore.Faults{})},
	{"platform slow", platformFaults(memstore.Faults{Delay: time.Second}), platformFaults(memstore.Faults{})},
	{"platform replies lost", platformFaults(memstore.Faults{LoseReplies: 30}), platformFaults(memstore.Faults{})},
	{"daemon killed", func(s *daemontest.System) { s.Daemons[1].Kill() }, func(s *daemontest.System) { s.Daemons[1].Restart() }},
	{"daemon paused", func(s *daemontest.System) { s.Daemons[2].Freeze() }, func(s *daemontest.System) { s.Daemons[2].Thaw(paused) }},
	{"engine frozen", engineFaults(engine.Faults{Frozen: true}), engineFaults(engine.Faults{})},
	{"engine answers cut", engineFaults(engine.Faults{CutAfterPart: 3}), engineFaults(engine.Faults{})},
	{"desk answers cut", deskFaults(service.Faults{CutReply: true}), deskFaults(service.Faults{})},
	{"desk fails late", deskFaults(service.Faults{FailAfter: true}), deskFaults(service.Faults{})},
}

func heal(s *daemontest.System) { s.Net.HealAll() }

func platformFaults(f memstore.Faults) func(*daemontest.System) {
	return func(s *daemontest.System) { s.Platform.Store().SetFaults(f) }
}

func engineFaults(f engine.Faults) func(*daemontest.System) {
	return func(s *daemontest.System) { s.Engines["engine-za"].SetFaults(f) }
}

func deskFaults(f service.Faults) func(*daemontest.System) {
	return func(s *daemontest.System) {
		for _, desk := range s.Desks {
			desk.SetFaults(f)
		}
	}
}

// pair is a schedule: two failures that overlap, and a withdrawal.
type pair struct {
	Kinds      [2]int
	At, Length [2]time.Duration
	WithdrawAt time.Duration
	Editor     int
}

var anyPair = rapid.Custom(func(t *rapid.T) pair {
	seconds := func(from, to int, label string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Second
	}
	p := pair{WithdrawAt: seconds(0, 15, "withdraw at"), Editor: rapid.IntRange(0, 5).Draw(t, "editor")}
	p.Kinds[0] = rapid.IntRange(0, len(failures)-1).Draw(t, "first")
	p.Kinds[1] = (p.Kinds[0] + rapid.IntRange(1, len(failures)-1).Draw(t, "second")) % len(failures)
	for i := range p.At {
		p.At[i], p.Length[i] = seconds(1, 6, "at"), seconds(6, 12, "length")
	}
	return p
})

func (p pair) String() string {
	return fmt.Sprintf("%s at %v for %v, %s at %v for %v, withdrawal at %v by %d", failures[p.Kinds[0]].name, p.At[0], p.Length[0],
		failures[p.Kinds[1]].name, p.At[1], p.Length[1], p.WithdrawAt, p.Editor)
}

// Guards invariants 2, 4, 5, 6, 7 and 10 under two overlapping failures of any
// kind, with model traffic, repeated bookings and a withdrawal meanwhile.
func TestPairsOfFailures(t *testing.T) {
	for seed := range pairSeeds {
		p := anyPair.Example(seed)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			if broken := runPair(t, p, daemontest.Options{}); len(broken) > 0 {
				t.Errorf("seed %d, %v:\n%s", seed, p, strings.Join(broken, "\n"))
			}
		})
	}
}

// Each twin removes one mechanism and must break its invariant in at least one
// of the schedules.
func TestPairsOfFailuresTwins(t *testing.T) {
	for broken, o := range map[string]daemontest.Options{
		"ran more than once": {Platform: openClaims},
		"withdrawn version ran": {Settings: func(f *settings.Settings) {
			f.Periods.EvidenceLeaseMs = 3_600_000
		}},
	} {
		t.Run(broken, func(t *testing.T) {
			t.Parallel()
			for seed := range twinSeeds {
				found := strings.Join(runPair(t, anyPair.Example(seed), o), "\n")
				if strings.Contains(found, broken) {
					t.Logf("broken as expected at seed %d", seed)
					return
				}
			}
			t.Error("no schedule noticed the missing mechanism")
		})
	}
}

// runPair runs a schedule in a bubble and returns the broken invariants.
func runPair(t *testing.T, p pair, o daemontest.Options) (broken []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := daemontest.New(t, o)
		defer s.Close()
		s.StartRollout(s.Daemons[0], 100)
		traffic := s.StartTraffic(2 * trafficPeriod)
		stop := make(chan struct{})
		booked := make(chan []booking)
		go func() { booked <- bookUntil(s, stop) }()
		withdrawn := p.play(t, s)
		time.Sleep(2 * inForce)
		close(stop)
		calls, bookings := traffic.Stop(), <-booked
		time.Sleep(flushed)
		broken = append(brokenBookings(s, bookings), brokenTraffic(s, calls, bookings)...)
		if late := len(s.Runs(daemontest.Candidate, withdrawn.Add(inForce))); late > 0 {
			broken = append(broken, fmt.Sprintf("withdrawn version ran %d times", late))
		}
	})
	return broken
}

// play carries the schedule out and returns when the withdrawal was confirmed.
func (p pair) play(t *testing.T, s *daemontest.System) (withdrawn time.Time) {
	start := time.Now()
	begun, ended := [2]bool{}, [2]bool{}
	for time.Since(start) < scheduleTime {
		now := time.Since(start)
		for i, kind := range p.Kinds {
			if !begun[i] && now >= p.At[i] {
				begun[i] = true
				failures[kind].begin(s)
			}
			if !ended[i] && now >= p.At[i]+p.Length[i] {
				ended[i] = true
				failures[kind].end(s)
			}
		}
		if withdrawn.IsZero() && now >= p.WithdrawAt {
			withdrawn = p.withdraw(t, s)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for withdrawn.IsZero() {
		withdrawn = p.withdraw(t, s)
		time.Sleep(time.Second)
	}
	return withdrawn
}

// withdraw tries to withdraw the candidate, and returns when that was confirmed.
func (p pair) withdraw(t *testing.T, s *daemontest.System) time.Time {
	_, err := s.Daemons[p.Editor].Operators.Withdraw(t.Context(), daemontest.Candidate, operator.Action{
		ID: fmt.Sprint("withdrawal at ", time.Now().UnixNano()), Reason: "bad answers", Successor: daemontest.Base,
	})
	if err != nil {
		return time.Time{}
	}
	return time.Now()
}

// booking is one key and what its caller was told.
type booking struct {
	key      string
	answered bool
	// falseNotRun says that a call ran although it was said not to have run.
	falseNotRun bool
}

// bookUntil makes bookings one after the other, each repeated through another
// daemon until it is answered or was tried three times.
func bookUntil(s *daemontest.System, stop <-chan struct{}) (all []booking) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return all
		case <-time.After(bookingPeriod):
		}
		b := booking{key: fmt.Sprintf("pair-%d", n)}
		for try := range 3 {
			live := s.Live("")
			before := s.Bookings()[b.key]
			a := live[(n+2*try)%len(live)].Book(b.key, time.Second)
			b.falseNotRun = b.falseNotRun || a.Ran == errkind.RanNo && s.Bookings()[b.key] != before
			if b.answered = a.Whole; a.Whole {
				break
			}
		}
		all = append(all, b)
	}
}

func brokenBookings(s *daemontest.System, all []booking) (broken []string) {
	made := s.Bookings()
	for _, b := range all {
		switch {
		case made[b.key] > 1:
			broken = append(broken, b.key+" ran more than once")
		case b.answered && made[b.key] != 1:
			broken = append(broken, b.key+" was answered and did not run")
		case b.falseNotRun:
			broken = append(broken, b.key+" ran and was said not to")
		}
	}
	return broken
}

func brokenTraffic(s *daemontest.System, calls []daemontest.Call, bookings []booking) (broken []string) {
	answered := daemontest.Answered(calls)
	for _, b := range bookings {
		if b.answered {
			answered++
		}
	}
	if billed := s.Billed(); billed < answered || billed > len(calls)+len(bookings) {
		broken = append(broken, fmt.Sprintf("%d billed of %d answered and %d sent", billed, answered, len(calls)+len(bookings)))
	}
	for _, c := range calls {
		if c.Answer.Whole && len(c.Answer.Parts) > 0 && len(strings.Fields(strings.Join(c.Answer.Parts, ""))) != chatTokens {
			broken = append(broken, fmt.Sprintf("a stream marked as whole has %d parts", len(c.Answer.Parts)))
		}
	}
	if answered == 0 {
		broken = append(broken, "nothing was answered")
	}
	return broken
}

// chatTokens is the length of the answers of the traffic.
const chatTokens = 8
