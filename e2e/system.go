package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/operator"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/tree"
)

// Names and secrets of the systems under test.
const (
	operatorToken = "e2e operator token"
	clusterToken  = "e2e cluster token"
	sessionSecret = "e2e session secret of 32 bytes or more"
	modelService  = "brief-model"
	plainService  = "hire-desk"
	// EngineID and DeskID name the upstreams.
	EngineID = "engine-0"
	DeskID   = "desk-0"
)

// Options describes a system.
type Options struct {
	Binaries Binaries
	// Zones has the availability zone of each daemon.
	Zones []string
	// Organisations is the number of organisations, at least 1.
	Organisations int
	// EngineSlots and TokensPerSecond describe the engine; 0 tokens per second
	// means without delay.
	EngineSlots     int
	TokensPerSecond float64
	// Change adapts the settings of the daemons and Edit the settings tree.
	Change func(*settings.Settings)
	Edit   func(*tree.Tree)
}

// System is a set of running processes. Methods may be called from one
// goroutine, apart from those of its Callers.
type System struct {
	t        testing.TB
	o        Options
	dir      string
	Platform *Standin
	Engine   *Standin
	Desk     *Standin
	Daemons  []*Daemon
}

// Daemon is one running daemon.
type Daemon struct {
	*Process
	VM, Zone  string
	Callers   string
	Operators string
}

// Standin is one running stand-in.
type Standin struct {
	*Process
	URL string
}

// Launch starts a system and waits until its first configuration is in force on
// all daemons.
func Launch(t testing.TB, o Options) *System {
	t.Helper()
	s := &System{t: t, o: o, dir: t.TempDir()}
	s.Platform = s.standin("platform", "--vm-list-lag", "200ms")
	s.Engine = s.standin("engine", "--workload", s.workload(), "--slots", fmt.Sprint(o.EngineSlots), "--load-lag", "50ms")
	s.Desk = s.standin("service")
	s.startDaemons()
	s.configure()
	for _, d := range s.Daemons {
		Eventually(t, d.VM+" is ready", d.Ready)
		// A daemon that has not learned of an acknowledgement cannot learn of it
		// from one that is paused.
		Eventually(t, d.VM+" knows all acknowledgements", d.accepted)
	}
	return s
}

var listening = regexp.MustCompile(`listening on (http://\S+)`)

// standin starts `savoryctl standin kind` on a port of its own choice.
func (s *System) standin(kind string, args ...string) *Standin {
	s.t.Helper()
	args = append([]string{"standin", kind, "--listen", "127.0.0.1:0"}, args...)
	x := &Standin{Process: Start(s.t, exec.Command(s.o.Binaries.Tool, args...))}
	Eventually(s.t, kind+" stand-in listens", func() bool {
		if found := listening.FindStringSubmatch(x.Output()); found != nil {
			x.URL = found[1]
		}
		return x.URL != ""
	})
	return x
}

// workload writes the file that gives the versions of the engine their speed.
func (s *System) workload() string {
	type version map[string]any
	var versions []version
	for model, id := range map[string]string{"small": "s1", "medium": "m1"} {
		versions = append(versions, version{
			"model": model, "version": id, "output_tokens_per_s_per_slot": s.o.TokensPerSecond,
			"good_answer_probability": map[string]float64{"any": 1},
		})
	}
	return s.write("workload.json", map[string]any{
		"name": "e2e", "classes": []any{map[string]any{"name": "any", "share": 1}}, "versions": versions,
	})
}

// write stores a value as a JSON file and returns its path.
func (s *System) write(name string, value any) string {
	s.t.Helper()
	data, err := json.MarshalIndent(value, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(s.dir, name), data, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	return filepath.Join(s.dir, name)
}

func (s *System) startDaemons() {
	var files []settings.Settings
	var seeds []settings.SeedPeer
	var vms []infra.VM
	for i, zone := range s.o.Zones {
		f := s.settings(fmt.Sprintf("entry-%d", i), zone)
		files = append(files, f)
		seeds = append(seeds, settings.SeedPeer{VM: f.VM, AvailabilityZone: zone, Address: f.Listen.Peers})
		vms = append(vms, infra.VM{ID: f.VM, AvailabilityZone: zone, Kind: infra.EntryVM, State: infra.VMLive})
	}
	s.Platform.Post("/standin/vms", vms)
	for _, f := range files {
		f.SeedPeers = seeds
		path := s.write(f.VM+".json", f)
		s.Daemons = append(s.Daemons, &Daemon{
			Process: Start(s.t, exec.Command(s.o.Binaries.Daemon, "--settings", path)),
			VM:      f.VM, Zone: f.AvailabilityZone, Callers: "http://" + f.Listen.Callers, Operators: "http://" + f.Listen.Operators,
		})
	}
}

func (s *System) settings(vm, zone string) settings.Settings {
	f := settings.Defaults()
	f.VM, f.AvailabilityZone, f.Region = vm, zone, "region-0"
	f.Listen = settings.Listen{Callers: FreePort(s.t), Operators: FreePort(s.t), Peers: FreePort(s.t)}
	f.PlatformURL = s.Platform.URL
	f.ClusterToken = clusterToken
	f.OperatorTokens = []settings.OperatorToken{{Name: "e2e", SHA256: digest(operatorToken), Role: settings.Editor}}
	f.SessionKeys = []settings.SessionKey{{ID: "k1", SecretBase64: base64.StdEncoding.EncodeToString([]byte(sessionSecret))}}
	f.Periods.LedgerFlushMs = 300
	f.Periods.VMListMs = 300
	if s.o.Change != nil {
		s.o.Change(&f)
	}
	return f
}

// configure makes the first change as an operator does.
func (s *System) configure() {
	t := tree.Tree{
		Versions: map[string]tree.Version{
			"s1": {Model: "small", CostPer1kOutputTokens: 1},
			"m1": {Model: "medium", CostPer1kOutputTokens: 3},
		},
		Upstreams: map[string]tree.Upstream{
			EngineID: {Kind: tree.EngineUpstream, URL: s.Engine.URL, AvailabilityZone: s.o.Zones[0], Versions: []string{"s1", "m1"}, Slots: s.o.EngineSlots},
			DeskID:   {Kind: tree.ServiceUpstream, URL: s.Desk.URL, AvailabilityZone: s.o.Zones[0]},
		},
		Services: map[string]tree.Service{
			modelService: {Kind: tree.ModelService, Upstreams: []string{EngineID}},
			plainService: {Kind: tree.PlainService, PathPrefix: "/hire-desk/", Upstreams: []string{DeskID}},
		},
		Organisations: make(map[string]tree.Organisation),
	}
	for i := range max(1, s.o.Organisations) {
		t.Organisations[OrganisationID(i)] = tree.Organisation{
			Overrides: tree.Overrides{Models: []string{"small", "medium"}},
			KeySHA256: []string{digest(CallerKey(i))},
			Services:  map[string]tree.OrganisationService{modelService: {}, plainService: {}},
		}
	}
	if s.o.Edit != nil {
		s.o.Edit(&t)
	}
	d := s.Daemons[0]
	Eventually(s.t, "the operator API answers", func() bool { return get(d.Operators+"/livez") == http.StatusOK })
	s.Tool(d, "set", "--reason", "first configuration", "--patch", s.write("tree.json", t), "--wait")
}

// Tool runs savoryctl against a daemon and returns what it printed.
func (s *System) Tool(d *Daemon, args ...string) string {
	s.t.Helper()
	cmd := exec.Command(s.o.Binaries.Tool, args...)
	cmd.Env = environ("SAVORYSHIFT_API="+d.Operators, "SAVORYSHIFT_TOKEN="+operatorToken)
	p := Start(s.t, cmd)
	if code := p.ExitCode(); code != 0 {
		s.t.Fatalf("%s: exit code %d: %s", strings.Join(args, " "), code, p.Output())
	}
	return p.Output()
}

// OrganisationID names an organisation.
func OrganisationID(i int) string { return fmt.Sprintf("club-%d", i) }

// CallerKey is the API key of an organisation.
func CallerKey(i int) string { return fmt.Sprintf("e2e key of club %d", i) }

func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Ready tells whether the balancer would send callers to the daemon.
func (d *Daemon) Ready() bool { return get(d.Operators+"/readyz") == http.StatusOK }

// Status returns the daemon's description of itself.
func (d *Daemon) Status() operator.Status {
	d.t.Helper()
	status, err := operator.NewClient(operator.ClientOptions{URL: d.Operators, Token: operatorToken}).Status(context.Background())
	if err != nil {
		d.t.Fatal(err)
	}
	return status
}

// accepted tells whether the daemon knows that the first configuration is in
// force everywhere.
func (d *Daemon) accepted() bool {
	c := operator.NewClient(operator.ClientOptions{URL: d.Operators, Token: operatorToken})
	status, err := c.ChangeStatus(context.Background(), 1)
	return err == nil && status.State == operator.Accepted
}

// InFlight returns the calls in flight by upstream.
func (d *Daemon) InFlight() map[string]int64 {
	d.t.Helper()
	calls := make(map[string]int64)
	for _, up := range d.Status().Upstreams {
		calls[up.ID] = up.InFlight
	}
	return calls
}

// get returns the status of a GET, or 0 without an answer.
func get(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Post sends a JSON value to the stand-in.
func (x *Standin) Post(path string, value any) {
	x.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		x.t.Fatal(err)
	}
	resp, err := http.Post(x.URL+path, "application/json", bytes.NewReader(data))
	if err != nil {
		x.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		x.t.Fatalf("POST %s: status %d", path, resp.StatusCode)
	}
}

// List reads a JSON list of a stand-in.
func List[T any](x *Standin, path string) []T {
	x.t.Helper()
	resp, err := http.Get(x.URL + path)
	if err != nil {
		x.t.Fatal(err)
	}
	defer resp.Body.Close()
	var list []T
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		x.t.Fatal(err)
	}
	return list
}
