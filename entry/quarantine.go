package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/quarantine"
	"github.com/savoryshift/savoryshift/routing"
)

// testTurn is the time for which one VM may let requests through that test a part of
// prompts, before it is the turn of the next one. A test ends, and its outcome is known
// everywhere, within it.
const testTurn = 3 * time.Second

// newQuarantine returns the tracker of parts of prompts that end upstreams.
func (e *Entry) newQuarantine() *quarantine.Tracker {
	logVerdict := func(message string) func(quarantine.Accusation) {
		return func(a quarantine.Accusation) {
			e.log.Info(message, zap.Uint64("part_hash", uint64(a.Part)), zap.Int("upstreams_ended", a.Upstreams), zap.Int("with_parts", len(a.With)))
		}
	}
	return quarantine.New(quarantine.Options{
		MayTest: e.mayTest, Accused: logVerdict("prompt part quarantined"), Cleared: logVerdict("prompt part released"),
	})
}

// mayTest reports whether it is the turn of this VM to test a part of prompts. The VMs take
// turns by rank, so that no two test at the same time. A VM that cannot reach the store may
// share its rank with another one.
func (e *Entry) mayTest(overdue time.Duration, now time.Time) bool {
	vms := e.fleet.Size(now)
	if vms > 1 && e.Lost() || e.stopping.Load() {
		return false
	}
	return e.fleet.Rank(now) == int(overdue/testTurn)%vms
}

// streamedServices returns the services to which routes of streamed requests lead. Their
// upstreams are given prompts.
func streamedServices(s *routing.Snapshot) *map[string]bool {
	services := map[string]bool{}
	for _, r := range s.Routes {
		for _, d := range r.Destinations {
			services[d.Service] = services[d.Service] || r.Kind == routing.Stream
		}
	}
	return &services
}

// listEngines tells the quarantine which processes are given prompts, if they have changed.
func (e *Entry) listEngines(now time.Time) {
	streamed := e.streamed.Load()
	if streamed == nil {
		return
	}
	list := e.registered.Swap(nil)
	if list == nil {
		return
	}
	processes := make([]string, 0, len(*list))
	for _, u := range *list {
		if (*streamed)[u.Service] {
			processes = append(processes, u.Instance().String())
		}
	}
	e.quarantine.SetProcesses(processes, now)
}
