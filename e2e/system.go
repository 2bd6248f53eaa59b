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

// Names and secrets of the system under test.
const (
	OperatorToken = "e2e operator token"
	clusterToken  = "e2e cluster token"
	sessionSecret = "e2e session secret of 32 bytes or more"
	modelService  = "brief-model"
	plainService  = "hire-desk"
	// EngineID and DeskID are the upstream ids of the engine and the booking service.
	EngineID = "engine-0"
	DeskID   = "desk-0"
)

// Options configures a system.
type Options struct {
	Binaries Binaries
	// Zones holds the availability zone of each daemon.
	Zones []string
	// Organisations is the number of organisations, at least 1.
	Organisations int
	// EngineSlots and TokensPerSecond configure the engine. With 0 tokens per second it
	// responds without delay.
	EngineSlots     int
	TokensPerSecond float64
	// EditSettings, if not nil, changes the settings of a daemon, and EditTree the first
	// configuration.
	EditSettings func(*settings.Settings)
	EditTree     func(*tree.Tree)
}

// System is a set of running processes. Its methods are called from one goroutine;
// calls to its daemons may be sent from several.
type System struct {
	t        testing.TB
	options  Options
	dir      string
	Platform *Standin
	Engine   *Standin
	Desk     *Standin
	Daemons  []*Daemon
}

// Daemon is a running daemon.
type Daemon struct {
	*Process
	VM, Zone string
	// CallerURL and OperatorURL are the base URLs of the two HTTP listeners.
	CallerURL   string
	OperatorURL string
}

// Standin is a running stand-in.
type Standin struct {
	*Process
	URL string
}

// Launch starts a system and waits until its first configuration is in force on all
// daemons and all of them know that.
func Launch(t testing.TB, o Options) *System {
	t.Helper()
	s := &System{t: t, options: o, dir: t.TempDir()}
	s.Platform = s.startStandin("platform", "--vm-list-lag", "200ms")
	s.Engine = s.startStandin("engine", "--workload", s.writeWorkload(), "--slots", fmt.Sprint(o.EngineSlots), "--load-lag", "50ms")
	s.Desk = s.startStandin("service")
	s.startDaemons()
	s.configure()
	for _, d := range s.Daemons {
		Eventually(t, d.VM+" is ready", d.Ready)
		// A daemon cannot learn of a missing acknowledgement from a peer that a test has
		// paused.
		Eventually(t, d.VM+" knows all acknowledgements", d.firstChangeAccepted)
	}
	return s
}

var listening = regexp.MustCompile(`listening on (http://\S+)`)

// startStandin starts `savoryctl standin` with a kind on a port that it chooses.
func (s *System) startStandin(kind string, args ...string) *Standin {
	s.t.Helper()
	args = append([]string{"standin", kind, "--listen", "127.0.0.1:0"}, args...)
	x := &Standin{Process: Start(s.t, exec.Command(s.options.Binaries.Tool, args...))}
	Eventually(s.t, kind+" stand-in listens", func() bool {
		if found := listening.FindStringSubmatch(x.Output()); found != nil {
			x.URL = found[1]
		}
		return x.URL != ""
	})
	return x
}

// writeWorkload writes the workload file, which sets the speed of the engine's
// versions, and returns its path.
func (s *System) writeWorkload() string {
	type version map[string]any
	var versions []version
	for model, id := range map[string]string{"small": "s1", "medium": "m1"} {
		versions = append(versions, version{
			"model": model, "version": id, "output_tokens_per_s_per_slot": s.options.TokensPerSecond,
			"good_answer_probability": map[string]float64{"any": 1},
		})
	}
	return s.writeJSON("workload.json", map[string]any{
		"name": "e2e", "classes": []any{map[string]any{"name": "any", "share": 1}}, "versions": versions,
	})
}

// writeJSON writes a value to a JSON file and returns its path.
func (s *System) writeJSON(name string, value any) string {
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

// startDaemons writes the settings files of the daemons and starts their processes.
func (s *System) startDaemons() {
	var files []settings.Settings
	var seeds []settings.SeedPeer
	var vms []infra.VM
	for i, zone := range s.options.Zones {
		f := s.daemonSettings(fmt.Sprintf("entry-%d", i), zone)
		files = append(files, f)
		seeds = append(seeds, settings.SeedPeer{VM: f.VM, AvailabilityZone: zone, Address: f.Listen.Peers})
		vms = append(vms, infra.VM{ID: f.VM, AvailabilityZone: zone, Kind: infra.EntryVM, State: infra.VMLive})
	}
	s.Platform.Post("/standin/vms", vms)
	for _, f := range files {
		f.SeedPeers = seeds
		path := s.writeJSON(f.VM+".json", f)
		s.Daemons = append(s.Daemons, &Daemon{
			Process: Start(s.t, exec.Command(s.options.Binaries.Daemon, "--settings", path)),
			VM:      f.VM, Zone: f.AvailabilityZone, CallerURL: "http://" + f.Listen.Callers, OperatorURL: "http://" + f.Listen.Operators,
		})
	}
}

// daemonSettings returns the settings of one daemon, without its seed peers.
func (s *System) daemonSettings(vm, zone string) settings.Settings {
	f := settings.Defaults()
	f.VM, f.AvailabilityZone, f.Region = vm, zone, "region-0"
	f.Listen = settings.Listen{Callers: FreePort(s.t), Operators: FreePort(s.t), Peers: FreePort(s.t)}
	f.PlatformURL = s.Platform.URL
	f.ClusterToken = clusterToken
	f.OperatorTokens = []settings.OperatorToken{{Name: "e2e", SHA256: digest(OperatorToken), Role: settings.Editor}}
	f.SessionKeys = []settings.SessionKey{{ID: "k1", SecretBase64: base64.StdEncoding.EncodeToString([]byte(sessionSecret))}}
	f.Periods.LedgerFlushMs = 300
	f.Periods.VMListMs = 300
	if s.options.EditSettings != nil {
		s.options.EditSettings(&f)
	}
	return f
}

// configure writes the first configuration with savoryctl, as an operator does.
func (s *System) configure() {
	t := tree.Tree{
		Versions: map[string]tree.Version{
			"s1": {Model: "small", CostPer1kOutputTokens: 1},
			"m1": {Model: "medium", CostPer1kOutputTokens: 3},
		},
		Upstreams: map[string]tree.Upstream{
			EngineID: {Kind: tree.EngineUpstream, URL: s.Engine.URL, AvailabilityZone: s.options.Zones[0], Versions: []string{"s1", "m1"}, Slots: s.options.EngineSlots},
			DeskID:   {Kind: tree.ServiceUpstream, URL: s.Desk.URL, AvailabilityZone: s.options.Zones[0]},
		},
		Services: map[string]tree.Service{
			modelService: {Kind: tree.ModelService, Upstreams: []string{EngineID}},
			plainService: {Kind: tree.PlainService, PathPrefix: "/hire-desk/", Upstreams: []string{DeskID}},
		},
		Organisations: make(map[string]tree.Organisation),
	}
	for i := range max(1, s.options.Organisations) {
		t.Organisations[OrganisationID(i)] = tree.Organisation{
			Overrides: tree.Overrides{Models: []string{"small", "medium"}},
			KeySHA256: []string{digest(CallerKey(i))},
			Services:  map[string]tree.OrganisationService{modelService: {}, plainService: {}},
		}
	}
	if s.options.EditTree != nil {
		s.options.EditTree(&t)
	}
	d := s.Daemons[0]
	Eventually(s.t, "the operator API answers", func() bool { return getStatus(d.OperatorURL+"/livez") == http.StatusOK })
	s.Tool(d, "set", "--reason", "first configuration", "--patch", s.writeJSON("tree.json", t), "--wait")
}

// Tool runs savoryctl against a daemon and returns its output. The test fails if it
// exits with another code than 0.
func (s *System) Tool(d *Daemon, args ...string) string {
	s.t.Helper()
	cmd := exec.Command(s.options.Binaries.Tool, args...)
	cmd.Env = environWith("SAVORYSHIFT_API="+d.OperatorURL, "SAVORYSHIFT_TOKEN="+OperatorToken)
	p := Start(s.t, cmd)
	if code := p.ExitCode(); code != 0 {
		s.t.Fatalf("%s: exit code %d: %s", strings.Join(args, " "), code, p.Output())
	}
	return p.Output()
}

// OrganisationID returns the id of organisation i.
func OrganisationID(i int) string { return fmt.Sprintf("club-%d", i) }

// CallerKey returns the API key of organisation i.
func CallerKey(i int) string { return fmt.Sprintf("e2e key of club %d", i) }

// digest returns the SHA-256 sum of a secret in hexadecimal digits.
func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Ready reports whether the daemon passes the readiness check of the balancer.
func (d *Daemon) Ready() bool { return getStatus(d.OperatorURL+"/readyz") == http.StatusOK }

// Status returns the status of the daemon from its operator API.
func (d *Daemon) Status() operator.Status {
	d.t.Helper()
	status, err := operator.NewClient(operator.ClientOptions{URL: d.OperatorURL, Token: OperatorToken}).Status(context.Background())
	if err != nil {
		d.t.Fatal(err)
	}
	return status
}

// firstChangeAccepted reports whether the daemon knows that the first configuration is
// in force on all daemons.
func (d *Daemon) firstChangeAccepted() bool {
	c := operator.NewClient(operator.ClientOptions{URL: d.OperatorURL, Token: OperatorToken})
	status, err := c.ChangeStatus(context.Background(), 1)
	return err == nil && status.State == operator.Accepted
}

// InFlight returns the number of calls in flight by upstream id.
func (d *Daemon) InFlight() map[string]int64 {
	d.t.Helper()
	calls := make(map[string]int64)
	for _, up := range d.Status().Upstreams {
		calls[up.ID] = up.InFlight
	}
	return calls
}

// getStatus returns the HTTP status of a GET request, or 0 without a response.
func getStatus(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Post sends a JSON value to a path of the stand-in.
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

// List reads a JSON list from a path of a stand-in.
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
