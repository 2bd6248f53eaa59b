package policy_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/savoryshift/savoryshift/policy"
)

const (
	benchVersions = 30
	// heldVersions is the number of versions that each engine has loaded.
	heldVersions = 2
)

// benchInputs returns n engines with load reports that have loaded two versions
// each.
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

// learnedPlanner returns a planner that has observed the times of n engines.
func learnedPlanner(n int) *policy.Planner {
	p := policy.New(policy.Options{})
	for i := range n * heldVersions {
		class := fmt.Sprint("class", i%9)
		p.ObserveServed(policy.Served{
			Class: class, Version: fmt.Sprint("v", (i/heldVersions+i%heldVersions)%benchVersions),
			Upstream: fmt.Sprint("e", i/heldVersions), First: 300 * time.Millisecond, Streaming: 5 * time.Second, Tokens: 200,
		}, time.Second)
		p.ObserveLength(class, 200)
	}
	return p
}

// BenchmarkBuildView measures building the view of a daemon that has observed all
// its engines, alone and with the summaries of the other daemons of its zone.
func BenchmarkBuildView(b *testing.B) {
	for _, peers := range []int{0, 5, 20} {
		for _, n := range []int{220, 825, 1650, 3300} {
			b.Run(fmt.Sprintf("peers=%d/upstreams=%d", peers, n), func(b *testing.B) {
				p, in := learnedPlanner(n), benchInputs(n)
				for i := range peers {
					p.Merge(fmt.Sprint("peer", i), learnedPlanner(n).Export())
				}
				b.ReportAllocs()
				for b.Loop() {
					p.BuildView(in, 2*time.Second)
				}
			})
		}
	}
}

// BenchmarkSummary measures encoding the summary of one daemon and reports the
// encoded size.
func BenchmarkSummary(b *testing.B) {
	for _, n := range []int{220, 825, 1650, 3300} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			p, size := learnedPlanner(n), 0
			for b.Loop() {
				var buf bytes.Buffer
				if err := gob.NewEncoder(&buf).Encode(p.Export()); err != nil {
					b.Fatal(err)
				}
				size = buf.Len()
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkChoose measures one decision by the number of upstreams, with one
// allowed version (only the upstream is chosen), one per model, and all.
func BenchmarkChoose(b *testing.B) {
	for _, versions := range []int{1, 10, benchVersions} {
		for _, n := range []int{330, 825, 1650, 3300} {
			b.Run(fmt.Sprintf("versions=%d/upstreams=%d", versions, n), func(b *testing.B) {
				p := learnedPlanner(n)
				v := p.BuildView(benchInputs(n), 2*time.Second)
				r := policy.Request{
					Organisation: "org", Class: "class1", PromptTokens: 300, Deadline: 30 * time.Second,
					QualityTarget: 0.8, LatencyQuantile: 0.95, Weights: policy.Weights{Cost: 1, Latency: 1, Exposure: 1}, Share: 1,
				}
				for i := range versions {
					r.Versions = append(r.Versions, i*benchVersions/versions)
				}
				b.ReportAllocs()
				for b.Loop() {
					r.Seed++
					if plan := p.Choose(v, &r, 2*time.Second); plan.Refused() {
						b.Fatal(plan.Refusal)
					}
				}
			})
		}
	}
}
