package examples_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/tree"
)

// workload holds the fields of a workload file that the tree must match.
type workload struct {
	Zones         []string              `json:"availability_zones"`
	Organisations []struct{ ID string } `json:"organisations"`
	Weights       tree.Weights          `json:"weights"`
	Versions      []struct {
		Model, Version string
		Cost           float64 `json:"cost_per_1k_output_tokens"`
	} `json:"versions"`
	Upstreams []struct {
		ID       string
		Zone     string `json:"availability_zone"`
		Versions []string
		Slots    int
		Fencing  bool `json:"checks_fencing"`
	} `json:"upstreams"`
}

func readFile(t *testing.T, path string) []byte {
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return data
}

// Guards against example trees that are invalid, or whose versions, upstreams,
// organisations or weights differ from those of the benchmark workloads.
func TestTreesMatchTheWorkloads(t *testing.T) {
	for name, services := range map[string][2]string{"trust": {"brief-model", "hire-desk"}, "agencia": {"modelo-bordado", "balcao-digital"}} {
		var w workload
		assert.NilError(t, json.Unmarshal(readFile(t, "workloads/"+name+".json"), &w))
		s, err := tree.Build(readFile(t, name+"/tree.json"), 1, "")
		assert.NilError(t, err, name)
		doc := s.Tree()
		assert.Equal(t, len(doc.Versions), len(w.Versions))
		for _, v := range w.Versions {
			assert.Equal(t, doc.Versions[v.Version].Model, v.Model)
			assert.Equal(t, doc.Versions[v.Version].CostPer1kOutputTokens, v.Cost)
		}
		for _, u := range w.Upstreams {
			got := doc.Upstreams[u.ID]
			got.URL = ""
			assert.DeepEqual(t, got, tree.Upstream{Kind: tree.EngineUpstream, AvailabilityZone: u.Zone, Versions: u.Versions, Slots: u.Slots, ChecksFencing: u.Fencing})
		}
		assert.Equal(t, len(s.UpstreamsOfService(services[0])), len(w.Upstreams))
		assert.Equal(t, len(s.UpstreamsOfService(services[1])), len(w.Zones))
		assert.Equal(t, len(doc.Organisations), len(w.Organisations))
		for _, o := range w.Organisations {
			owner, ok := s.Authenticate("sk-example-" + o.ID)
			assert.Assert(t, ok && owner == o.ID, o.ID)
			e, err := s.Effective(o.ID, services[0], "")
			assert.NilError(t, err)
			assert.Equal(t, e.Weights, w.Weights)
			assert.Assert(t, len(e.Versions) > 0 && len(e.Limits) > 0, o.ID)
			plain, ok := s.ServiceForPath("/" + services[1] + "/x")
			assert.Assert(t, ok && plain == services[1])
			_, err = s.Effective(o.ID, plain, "")
			assert.NilError(t, err)
		}
	}
}

// Guards against settings files that don't load, VMs that are not among their own
// seed peers, and files that the README does not mention.
func TestSettingsFilesLoad(t *testing.T) {
	for name, zones := range map[string][]string{"trust": {"tt-arima", "tt-maracas", "tt-tucker"}, "agencia": {"zona-recife", "zona-caruaru", "zona-jpessoa"}} {
		readme := string(readFile(t, name+"/README.md"))
		files, err := filepath.Glob(name + "/*.json")
		assert.NilError(t, err)
		assert.Equal(t, len(files), 5)
		var vms []string
		for _, file := range files {
			assert.Assert(t, strings.Contains(readme, "`"+filepath.Base(file)+"`"), "%s doesn't mention %s", name, file)
			if strings.HasSuffix(file, "tree.json") {
				continue
			}
			s, err := settings.Load(file)
			assert.NilError(t, err, file)
			assert.Assert(t, slices.Contains(zones, s.AvailabilityZone) && !slices.Contains(vms, s.VM), file)
			vms = append(vms, s.VM)
			if !strings.HasSuffix(file, "-tls.json") {
				self := settings.SeedPeer{VM: s.VM, AvailabilityZone: s.AvailabilityZone, Address: s.AdvertisedPeerAddress}
				assert.Assert(t, slices.Contains(s.SeedPeers, self), file)
			}
		}
	}
}
