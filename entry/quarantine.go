package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/quarantine"
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
