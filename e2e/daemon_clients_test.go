package e2e_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/settings"
)

// daemonMemory is the memory of the machine of a daemon under a crowd.
const daemonMemory = 96 << 20

// daemonCrowds are the loads of TestClientsOutsideOurControlUseUpADaemon; operators is set for
// those at the listener for operators.
func daemonCrowds() (loads []clientLoad, operators map[string]bool) {
	head := func(path, more string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s", path, e2e.CallerKey(0), more)
	}
	body := strings.Repeat("a", 250<<10)
	chat := func(more string) string { return head("/v1/chat/completions", more) }
	loads = []clientLoad{
		{name: "many short lines", head: chat(shortLines(2400) + "Content-Length: 1\r\n\r\n")},
		{name: "one name repeated", head: chat(strings.Repeat("a:b\n", 14_000) + "Content-Length: 1\r\n\r\n")},
		{name: "heads that stop", head: chat("X-Long: " + strings.Repeat("a", 60<<10))},
		{name: "bodies that stop", head: chat(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+1)), part: body, parts: 1},
		{name: "bodies in chunks that stop", head: chat("Transfer-Encoding: chunked\r\n\r\n"), part: "400\r\n" + body[:1<<10] + "\r\n", parts: 250},
		{name: "connections without a byte"},
		{name: "short lines to operators", head: head("/", shortLines(2400))},
	}
	for i := range loads {
		loads[i].clients = crowdClients
	}
	return loads, map[string]bool{"short lines to operators": true}
}

// Guards against a daemon that ends, or uses more than its machine has, because of what callers
// send.
func TestClientsOutsideOurControlUseUpADaemon(t *testing.T) {
	loads, operators := daemonCrowds()
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			s := e2e.Launch(t, e2e.Options{Binaries: binaries, Zones: []string{"zone-a"}, EngineSlots: 64, EditSettings: func(f *settings.Settings) {
				f.Bounds.MachineMemoryBytes, f.Bounds.Descriptors = daemonMemory, crowdDescriptors
			}})
			d := s.Daemons[0]
			idle := peakMemory(t, d.Process)
			address := d.CallerURL
			if operators[l.name] {
				address = d.OperatorURL
			}
			end := make(chan struct{})
			crowd := press(strings.TrimPrefix(address, "http://"), l, end)
			most := 0
			for until := time.Now().Add(crowdTime); time.Now().Before(until) && d.Running(); time.Sleep(10 * time.Millisecond) {
				most = max(most, openDescriptors(t, d.Process))
			}
			close(end)
			crowd.Wait()
			assert.Assert(t, d.Running(), "%s", d.Output())
			peak := peakMemory(t, d.Process)
			t.Logf("at most %d MB (%d MB before) and %d descriptors", peak>>20, idle>>20, most)
			assert.Check(t, peak < daemonMemory, "%d MB", peak>>20)
			assert.Check(t, most < crowdDescriptors, "%d descriptors", most)
			e2e.Eventually(t, "an ordinary chat is answered", func() bool {
				return e2e.Send(d.CallerURL, e2e.Call{Model: "small", MaxTokens: 10, Deadline: 5 * time.Second}).Complete
			})
		})
	}
}
