package e2e_test

import (
	"fmt"
	"os"
	"sync"
	"testing"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/standin/service"
)

var binaries e2e.Binaries

func TestMain(m *testing.M) {
	if target := os.Getenv(forwardVariable); target != "" {
		os.Exit(forward(target))
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "savoryshift-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	var out []byte
	if binaries, out, err = e2e.Build(dir); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// threeDaemons holds the zones of three daemons. Three in two zones are enough for two
// copies of each ledger entry.
var threeDaemons = []string{"zone-a", "zone-a", "zone-b"}

// bookingsMade returns how often the service has made the booking of each idempotency
// key.
func bookingsMade(s *e2e.System) map[string]int {
	made := make(map[string]int)
	for _, x := range e2e.List[service.Execution](s.Desk, "/standin/bookings") {
		made[x.IdempotencyKey]++
	}
	return made
}

func engineRuns(s *e2e.System) []engine.Run { return e2e.List[engine.Run](s.Engine, "/standin/runs") }

type callResult struct {
	call   e2e.Call
	answer e2e.Answer
}

// violations lists bookings that were answered or reported as run but not made, bookings
// that were made more than once, and bookings that were made although the last response
// says that they did not run.
func violations(calls []callResult, made map[string]int) []string {
	var found []string
	last := make(map[string]e2e.Answer)
	for _, c := range calls {
		last[c.call.BookingKey] = c.answer
		if c.answer.Complete && made[c.call.BookingKey] == 0 {
			found = append(found, fmt.Sprintf("%s was answered and is missing", c.call.BookingKey))
		}
		if c.answer.Refusal.Ran == errkind.RanYes && made[c.call.BookingKey] == 0 {
			found = append(found, fmt.Sprintf("%s is said to have run and is missing", c.call.BookingKey))
		}
	}
	for key, n := range made {
		if n > 1 {
			found = append(found, fmt.Sprintf("%s was made %d times", key, n))
		}
		if last[key].NotRun() {
			found = append(found, fmt.Sprintf("%s was made, but the last answer says that it did not run", key))
		}
	}
	return found
}

// sendParallel sends calls concurrently. base returns the URL for call i.
func sendParallel(base func(i int) string, calls []e2e.Call) []callResult {
	all := make([]callResult, len(calls))
	var group sync.WaitGroup
	for i, c := range calls {
		group.Go(func() { all[i] = callResult{c, e2e.Send(base(i), c)} })
	}
	group.Wait()
	return all
}
