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
	// negativeControlSeeds is the number of schedules among which a negative control
	// must find a violation.
	negativeControlSeeds = 24
	// bookingPeriod is the time between two bookings.
	bookingPeriod = 500 * time.Millisecond
	// scheduleTime is the length of a schedule. Both failures end before it.
	scheduleTime = 25 * time.Second
)

// failure is a temporary fault that begin injects and end removes.
type failure struct {
	name       string
	begin, end func(*daemontest.System)
}

var failures = []failure{
	{"zone cut from zones", zoneCuts[0].apply, heal},
	{"zone cut from the platform", zoneCuts[1].apply, heal},
	{"zone cut from both", zoneCuts[2].apply, heal},
	{"platform down", platformFaults(memstore.Faults{Down: true}), platformFaults(memstore.Faults{})},
	{"platform slow", platformFaults(memstore.Faults{Delay: time.Second}), platformFaults(memstore.Faults{})},
	{"platform replies lost", platformFaults(memstore.Faults{LoseReplies: 30}), platformFaults(memstore.Faults{})},
	{"daemon killed", func(s *daemontest.System) { s.Daemons[1].Kill() }, func(s *daemontest.System) { s.Daemons[1].Restart() }},
	{"daemon paused", func(s *daemontest.System) { s.Daemons[2].Freeze() }, func(s *daemontest.System) { s.Daemons[2].Thaw(pauseLength) }},
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

// pair is a schedule of two failures and a withdrawal. The failures overlap.
type pair struct {
	Kinds         [2]int // indexes into failures
	Start, Length [2]time.Duration
	WithdrawAt    time.Duration
	EditorDaemon  int // index of the daemon that receives the withdrawal
}

var anyPair = rapid.Custom(func(t *rapid.T) pair {
	seconds := func(from, to int, label string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Second
	}
	p := pair{WithdrawAt: seconds(0, 15, "withdraw at"), EditorDaemon: rapid.IntRange(0, 5).Draw(t, "editor")}
	p.Kinds[0] = rapid.IntRange(0, len(failures)-1).Draw(t, "first")
	p.Kinds[1] = (p.Kinds[0] + rapid.IntRange(1, len(failures)-1).Draw(t, "second")) % len(failures)
	for i := range p.Start {
		p.Start[i], p.Length[i] = seconds(1, 6, "at"), seconds(6, 12, "length")
	}
	return p
})

func (p pair) String() string {
	return fmt.Sprintf("%s at %v for %v, %s at %v for %v, withdrawal at %v by %d", failures[p.Kinds[0]].name, p.Start[0], p.Length[0],
		failures[p.Kinds[1]].name, p.Start[1], p.Length[1], p.WithdrawAt, p.EditorDaemon)
}

// Guards invariants 2, 4, 5, 6, 7 and 10 under two overlapping failures of random
// kinds, with model traffic, repeated bookings and a withdrawal at the same time.
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

// Negative controls of TestPairsOfFailures: without the conditions of claims a
// booking must run more than once, and with evidence leases of an hour a
// withdrawn version must run, each in at least one of the schedules.
func TestPairsOfFailuresNegativeControls(t *testing.T) {
	for broken, o := range map[string]daemontest.Options{
		"ran more than once": {Platform: unconditionalClaims},
		"withdrawn version ran": {Settings: func(f *settings.Settings) {
			f.Periods.EvidenceLeaseMs = 3_600_000
		}},
	} {
		t.Run(broken, func(t *testing.T) {
			t.Parallel()
			for seed := range negativeControlSeeds {
				found := strings.Join(runPair(t, anyPair.Example(seed), o), "\n")
				if strings.Contains(found, broken) {
					t.Logf("violated as expected at seed %d", seed)
					return
				}
			}
			t.Error("no schedule found the expected violation")
		})
	}
}

// runPair runs a schedule in a synctest bubble and returns the violations of
// invariants.
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
		withdrawn := p.execute(t, s)
		time.Sleep(2 * propagationTime)
		close(stop)
		calls, bookings := traffic.Stop(), <-booked
		time.Sleep(flushTime)
		broken = append(bookingViolations(s, bookings), trafficViolations(s, calls, bookings)...)
		if late := len(s.Runs(daemontest.Candidate, withdrawn.Add(propagationTime))); late > 0 {
			broken = append(broken, fmt.Sprintf("withdrawn version ran %d times", late))
		}
	})
	return broken
}

// execute runs the schedule. It repeats the withdrawal until it is confirmed and
// returns the time of the confirmation.
func (p pair) execute(t *testing.T, s *daemontest.System) (withdrawn time.Time) {
	start := time.Now()
	begun, ended := [2]bool{}, [2]bool{}
	for time.Since(start) < scheduleTime {
		now := time.Since(start)
		for i, kind := range p.Kinds {
			if !begun[i] && now >= p.Start[i] {
				begun[i] = true
				failures[kind].begin(s)
			}
			if !ended[i] && now >= p.Start[i]+p.Length[i] {
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

// withdraw tries once to withdraw the candidate. It returns the time of the
// confirmation, or the zero time.
func (p pair) withdraw(t *testing.T, s *daemontest.System) time.Time {
	_, err := s.Daemons[p.EditorDaemon].Operators.Withdraw(t.Context(), daemontest.Candidate, operator.Action{
		ID: fmt.Sprint("withdrawal at ", time.Now().UnixNano()), Reason: "bad answers", Successor: daemontest.Base,
	})
	if err != nil {
		return time.Time{}
	}
	return time.Now()
}

// booking holds the outcome of one idempotency key as its client saw it.
type booking struct {
	key      string
	answered bool
	// falseNotRun reports whether a request ran although its answer said that it
	// did not.
	falseNotRun bool
}

// bookUntil makes one booking after the other until stop is closed. It repeats
// an unanswered booking through another daemon, and tries each at most three
// times.
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
			if b.answered = a.Complete; a.Complete {
				break
			}
		}
		all = append(all, b)
	}
}

func bookingViolations(s *daemontest.System, all []booking) (broken []string) {
	made := s.Bookings()
	for _, b := range all {
		switch {
		case made[b.key] > 1:
			broken = append(broken, b.key+" ran more than once")
		case b.answered && made[b.key] != 1:
			broken = append(broken, b.key+" was answered but did not run")
		case b.falseNotRun:
			broken = append(broken, b.key+" ran but was reported as not run")
		}
	}
	return broken
}

func trafficViolations(s *daemontest.System, calls []daemontest.Call, bookings []booking) (broken []string) {
	answered := daemontest.CountAnswered(calls)
	for _, b := range bookings {
		if b.answered {
			answered++
		}
	}
	if billed := s.Billed(); billed < answered || billed > len(calls)+len(bookings) {
		broken = append(broken, fmt.Sprintf("%d requests billed, %d answered, %d sent", billed, answered, len(calls)+len(bookings)))
	}
	for _, c := range calls {
		if c.Answer.Complete && len(c.Answer.Parts) > 0 && len(strings.Fields(strings.Join(c.Answer.Parts, ""))) != chatTokens {
			broken = append(broken, fmt.Sprintf("a complete stream has %d parts", len(c.Answer.Parts)))
		}
	}
	if answered == 0 {
		broken = append(broken, "no request was answered")
	}
	return broken
}

// chatTokens is the number of words in each answer to the traffic.
const chatTokens = 8
