package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/admission"
	"github.com/savoryshift/savoryshift/placement"
)

func ptr[T any](v T) *T { return &v }

// Guards against loads, pauses and uses of engine time that get lost at a delegate, and against
// reports that grow with the number of organisations.
func TestDelegatesForwardLoadsAndUses(t *testing.T) {
	load := placement.Load{Calls: 3, PrefillSeconds: 1.5, Running: 2, Streams: 2, Paused: 0.5, Tokens: 9000}
	assert.Equal(t, DecodeLoads(EncodeLoads(map[string]placement.Load{"e": load}))["e"], load)
	now := time.Unix(100, 0)
	rs := newReportStore()
	report := func() Report {
		f := admission.NewFairness()
		for i := range 30 {
			f.Charge(fmt.Sprint("o", i), 1, now)
			f.Serve(fmt.Sprint("o", i), 1, now)
		}
		return Report{Loads: EncodeLoads(map[string]placement.Load{"e": load}), Organisations: ptr(f.Report(now))}
	}
	for _, vm := range []string{"a", "b"} {
		rs.record(Digest{From: Member{VM: vm, AvailabilityZone: "z"}, Scope: OwnScope, Report: report()}, vm+"@1", "z", now)
	}
	rs.record(Digest{From: Member{VM: "c", AvailabilityZone: "other"}, Scope: ZoneScope, Report: report()}, "c@1", "z", now)
	sum := rs.othersSum(report(), "b", true, now)
	assert.DeepEqual(t, DecodeLoads(sum.Loads)["e"], placement.Load{Calls: 9, PrefillSeconds: 4.5, Running: 6, Streams: 6, Paused: 1.5, Tokens: 27000})
	assert.Equal(t, len(sum.Organisations.Uses), len(report().Organisations.Uses))
	assert.Equal(t, sum.Organisations.Uses[0].Ms, 3000)
	assert.Equal(t, sum.Organisations.ServedMs, 90_000)
	assert.Equal(t, rs.zoneSum(Report{}, true, now).Organisations.ServedMs, 60_000)
}
