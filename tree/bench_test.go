package tree_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/tree"
)

// largeTree returns the JSON of a tree with a number of engines in 15 zones, 30
// versions and 100 organisations. The design size has 3,300 engines.
func largeTree(b *testing.B, engines int) []byte {
	t := tree.Tree{Versions: map[string]tree.Version{}, Upstreams: map[string]tree.Upstream{}, Organisations: map[string]tree.Organisation{}}
	service := tree.Service{Kind: tree.ModelService}
	for i := range 30 {
		t.Versions[fmt.Sprint("v", i)] = tree.Version{Model: fmt.Sprint("model", i/3), CostPer1kOutputTokens: float64(i)}
	}
	for i := range engines {
		id := fmt.Sprint("engine-", i)
		t.Upstreams[id] = tree.Upstream{Kind: tree.EngineUpstream, URL: fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250+1), AvailabilityZone: fmt.Sprint("zone-", i%15),
			Versions: []string{fmt.Sprint("v", i%30), fmt.Sprint("v", (i+1)%30)}, Slots: 16}
		service.Upstreams = append(service.Upstreams, id)
	}
	t.Services = map[string]tree.Service{"model": service}
	t.Defaults.Models = []string{"model0", "model1", "model2"}
	for i := range 100 {
		t.Organisations[fmt.Sprint("org-", i)] = tree.Organisation{KeySHA256: []string{fmt.Sprintf("%064x", i)}, Services: map[string]tree.OrganisationService{"model": {}}}
	}
	data, err := json.Marshal(t)
	assert.NilError(b, err)
	return data
}

func BenchmarkLargeTree(b *testing.B) {
	data := largeTree(b, 3300)
	old, err := tree.Build(data, 1, "")
	assert.NilError(b, err)
	patch := []byte(`{"upstreams":{"engine-7":{"draining":true}}}`)
	next, err := tree.ApplyPatch(data, patch)
	assert.NilError(b, err)
	new, err := tree.Build(next, 2, "")
	assert.NilError(b, err)
	for name, f := range map[string]func(){
		"ApplyPatch":             func() { _, _ = tree.ApplyPatch(data, patch) },
		"Build":                  func() { _, _ = tree.Build(data, 1, "") },
		"AffectsIsolatedDaemons": func() { tree.AffectsIsolatedDaemons(old, new) },
		"Effective":              func() { _, _ = old.Effective("org-7", "model", "s") },
		"Authenticate":           func() { old.Authenticate("sk-example") },
		"CohortVersion":          func() { old.CohortVersion("session", "v1") },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f()
			}
			b.ReportMetric(float64(len(data)), "tree-bytes")
		})
	}
}

// BenchmarkChange measures the steps of a daemon for one change of the tree, for
// several numbers of upstreams: applying the patch, building the snapshot, and
// checking whether isolated daemons are affected. It reports the size of the tree
// and the heap size of a snapshot.
func BenchmarkChange(b *testing.B) {
	for _, step := range []string{"ApplyPatch", "Build", "AffectsIsolatedDaemons"} {
		for _, n := range []int{220, 825, 1650, 3300} {
			b.Run(fmt.Sprintf("%s/upstreams=%d", step, n), func(b *testing.B) {
				data := largeTree(b, n)
				patch := []byte(`{"upstreams":{"engine-7":{"draining":true}}}`)
				next, err := tree.ApplyPatch(data, patch)
				assert.NilError(b, err)
				before := heapBytes()
				old, err := tree.Build(data, 1, "")
				assert.NilError(b, err)
				heap := heapBytes() - before
				changed, err := tree.Build(next, 2, "")
				assert.NilError(b, err)
				b.ReportAllocs()
				for b.Loop() {
					switch step {
					case "ApplyPatch":
						_, _ = tree.ApplyPatch(data, patch)
					case "Build":
						_, _ = tree.Build(data, 1, "")
					default:
						tree.AffectsIsolatedDaemons(old, changed)
					}
				}
				b.ReportMetric(float64(len(data)), "tree-bytes")
				b.ReportMetric(float64(heap), "heap-bytes")
			})
		}
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
