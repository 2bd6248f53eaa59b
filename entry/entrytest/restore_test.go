package entrytest

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform/standin"
	"github.com/savoryshift/savoryshift/quarantine"
)

// drill makes the store unavailable for a moment and restores it.
func drill(s *System, copied standin.Backup) {
	s.Store.SetFault(standin.Fault{Down: true})
	time.Sleep(300 * time.Millisecond)
	s.Store.Restore(copied)
	s.Store.SetFault(standin.Fault{})
}

// putFinding stores a finding against a part and returns its key.
func putFinding(t *testing.T, s *System) string {
	t.Helper()
	f := quarantine.Finding{Part: quarantine.HashPart("fatal"), Accused: true}
	for i := range 3 {
		f.Ends = append(f.Ends, quarantine.FoundEnd{Upstream: fmt.Sprint("ended", i), Request: quarantine.Request(i + 1), InFlight: time.Second, At: time.Second})
	}
	value, err := f.Encode()
	assert.NilError(t, err)
	s.Store.PutValue("quarantine", f.Part.Key(), value)
	return f.Part.Key()
}

// Guards against what the operator, an upstream or the router wrote last going back when the
// store comes back twice from an older copy, also on a VM that starts then or does not reach the
// store, and against VMs that follow no further change.
func TestStoreComesBackOlder(t *testing.T) {
	t.Parallel()
	s, desk := startSystem(t, 3)
	copied := s.Store.Backup()
	s.Configure(2, "desk2")
	desk[0].Drain()
	s.Store.Put("op", "rollout/model", standin.Rollout("model", "v1", 1))
	finding := putFinding(t, s)
	state := func() string {
		var row struct{ State, To string }
		_ = json.Unmarshal(s.Store.Get("status", "rollout/model"), &row)
		return row.State
	}
	s.Eventually("the rollout is done", func() bool { return state() == "done" })
	drainedTotal := desk[0].Total()
	check := func(d time.Duration) {
		t.Helper()
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, vm := range s.VMs {
				assert.Assert(t, strings.HasSuffix(s.Call(vm, "/book/x", standin.Key).Body, "by e1"), "%s goes by the earlier configuration", vm.Settings.VM)
				assert.Assert(t, strings.HasSuffix(s.Call(vm, "/look/x", standin.Key).Body, "by d2"), "%s", vm.Settings.VM)
			}
			assert.Assert(t, state() != "running", "a rollout that is done runs again")
		}
		assert.Equal(t, desk[0].Total(), drainedTotal, "the drained upstream is sent requests")
	}
	check(500 * time.Millisecond)
	s.VMs[1].StoreLink.SetFault(silent)
	drill(s, copied)
	s.Start()
	check(time.Second)
	drill(s, copied)
	// Longer than registrations are held, and shorter than the rows of the operator are.
	check(2500 * time.Millisecond)
	assert.Equal(t, state(), "done", "the state of the rollout is not written again")
	assert.Assert(t, len(s.Store.Get("quarantine", finding)) > 0, "the finding is not written again")

	s.Configure(2, "desk2")
	desk[0].Drain()
	s.Store.Put("op", "rollout/model", standin.Rollout("model", "v1", 1))
	check(4500 * time.Millisecond)
	assert.Equal(t, state(), "done")
	s.Configure(3, "desk")
	time.Sleep(configurationBound)
	for _, vm := range s.VMs {
		assert.Assert(t, strings.HasSuffix(s.Call(vm, "/book/x", standin.Key).Body, "by d2"), vm.Settings.VM)
	}
}
