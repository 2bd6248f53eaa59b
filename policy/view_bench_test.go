package policy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savoryshift/savoryshift/policy"
)

const (
	benchVersions = 30
	// heldVersions is the number of versions that each engine holds.
	heldVersions = 2
)

// benchInputs returns n engines with load reports that hold two versions each.
func benchInputs(n int) policy.Inputs {
	in := policy.Inputs{RatingAvailable: true}
	for i := range benchVersions {
		in.Versions = append(in.Versions, policy.VersionSpec{
			ID: fmt.Sprint("v", i), Model: fmt.Sprint("m", i/3), CostPer1kOutput: float64(i + 1), Usable: true,
		})
	}
	for i := range n {
		in.Upstreams = append(in.Upstreams, policy.UpstreamSpec{
			ID: fmt.Sprint("e", i), Versions: []int{i % benchVersions, (i + 1) % benchVersions},
			Slots: 16, Usable: true, Report: &policy.Report{Running: i % 16}, Live: &policy.Live{},
		})
	}
	return in
}

// BenchmarkBuildView measures the view of a daemon that has learned the times
// of all its engines.
func BenchmarkBuildView(b *testing.B) {
	for _, n := range []int{220, 825, 1650, 3300} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			p, in := policy.New(policy.Options{}), benchInputs(n)
			for i := range n * heldVersions {
				p.ObserveServed(policy.Served{
					Class: fmt.Sprint("class", i%9), Version: fmt.Sprint("v", (i/heldVersions+i%heldVersions)%benchVersions),
					Upstream: fmt.Sprint("e", i/heldVersions), First: 300 * time.Millisecond, Streaming: 5 * time.Second, Tokens: 200,
				}, time.Second)
				p.ObserveLength(fmt.Sprint("class", i%9), 200)
			}
			b.ReportAllocs()
			for b.Loop() {
				p.BuildView(in, 2*time.Second)
			}
		})
	}
}
