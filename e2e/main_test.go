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

// threeDaemons in two zones are enough for two copies of each ledger entry.
var threeDaemons = []string{"zone-a", "zone-a", "zone-b"}

// bookingsMade counts the executions of each idempotency key at the service.
func bookingsMade(s *e2e.System) map[string]int {
	made := make(map[string]int)
	for _, x := range e2e.List[service.Execution](s.Desk, "/standin/bookings") {
		made[x.IdempotencyKey]++
	}
	return made
}

func engineRuns(s *e2e.System) []engine.Run { return e2e.List[engine.Run](s.Engine, "/standin/runs") }

// sent is one call with its answer.
type sent struct {
	call   e2e.Call
	answer e2e.Answer
}

// violations lists what contradicts "at most once" and "not run is true".
func violations(calls []sent, made map[string]int) []string {
	var found []string
	last := make(map[string]e2e.Answer)
	for _, c := range calls {
		last[c.call.Booking] = c.answer
		if c.answer.Whole && made[c.call.Booking] == 0 {
			found = append(found, fmt.Sprintf("%s was answered and is missing", c.call.Booking))
		}
		if c.answer.Error.Ran == errkind.RanYes && made[c.call.Booking] == 0 {
			found = append(found, fmt.Sprintf("%s is said to have run and is missing", c.call.Booking))
		}
	}
	for key, n := range made {
		if n > 1 {
			found = append(found, fmt.Sprintf("%s was made %d times", key, n))
		}
		if last[key].NotRun() {
			found = append(found, fmt.Sprintf("%s was made and the last answer says that it is not run", key))
		}
	}
	return found
}

// parallel sends calls at the same time.
func parallel(base func(i int) string, calls []e2e.Call) []sent {
	all := make([]sent, len(calls))
	var group sync.WaitGroup
	for i, c := range calls {
		group.Go(func() { all[i] = sent{c, e2e.Send(base(i), c)} })
	}
	group.Wait()
	return all
}
