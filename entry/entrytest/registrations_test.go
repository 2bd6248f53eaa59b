package entrytest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform/standin"
)

// registrationOf returns a registration with one member replaced, or removed if value
// is nil.
func registrationOf(service, address, member string, value any) map[string]any {
	r := map[string]any{"Service": service, "Address": address, "Zone": "z", "Version": "v1", "Slots": 64, "State": "ready", "born": 1}
	r[member] = value
	if value == nil {
		delete(r, member)
	}
	return r
}

// Guards against requests that are refused because their sends are used up by
// upstreams whose registrations name no usable address.
func TestUnusableRegistrationsUseUpTheSends(t *testing.T) {
	s := New(t)
	s.Upstream("m1", "model", "v1", streamingService)
	desk := s.Upstream("d1", "desk", "v1", standin.Behaviour{ServiceTime: 20 * time.Millisecond})
	for i, port := range []string{"99999", "0", "-1", "http", "", "65536", "99998", "99997"} {
		s.Store.Put("servers", fmt.Sprintf("odd%d", i), registrationOf("desk", "127.0.0.1:"+port, "Slots", 1<<40))
	}
	vm := s.Start()
	for range 10 {
		a := s.Call(vm, "/book/x", standin.Key)
		assert.Check(t, a.Status == http.StatusOK, "%+v", a)
	}
	assert.Equal(t, desk.Total(), 10)
}

// Guards against sessions that are kept from a new release because registrations
// without a release count as upstreams of the old one.
func TestRegistrationsWithoutAReleaseHoldBackARollout(t *testing.T) {
	s := New(t)
	s.Upstream("m1", "model", "v1", streamingService)
	s.Upstream("m2", "model", "v2", streamingService)
	for i := range 20 {
		s.Store.Put("servers", fmt.Sprintf("odd%d", i), registrationOf("model", "127.0.0.1:9", "Version", nil))
	}
	vm := s.Start()
	const duration = 6 * time.Second
	s.Store.Put("op", "rollout/model", standin.Rollout("model", "v2", duration.Seconds()))
	ordered := time.Now()
	// By schedule half to all of the sessions move in this part of the duration.
	time.Sleep(duration * 60 / 100)
	moved, calls := 0, 0
	for ; time.Since(ordered) < duration*66/100; calls++ {
		if a := s.Call(vm, "/stream/x", standin.Key); standin.AnsweredBy(a.Header) == "m2" {
			moved++
		}
	}
	assert.Assert(t, calls > 0 && moved >= calls/3, "%d of %d sessions on the new release", moved, calls)
}

const deep = 20000

// rawRow returns a row as a reply holds it, with the given JSON text for its value.
func rawRow(table, key, value string) func(version int64) string {
	return func(version int64) string {
		return fmt.Sprintf(`{"Table":%q,"part":"","Key":%q,"Value":%s,"Ver":%d}`, table, key, value, version)
	}
}

// putMalformedRows writes rows that cannot be read into all tables.
func putMalformedRows(s *System) {
	nested := strings.Repeat("[", deep) + strings.Repeat("]", deep)
	for _, table := range []string{"servers", "op", "status"} {
		s.Store.PutRaw(table, "rollout/odd", rawRow(table, "rollout/odd", nested))
		s.Store.PutRaw(table, "progress/odd", rawRow(table, "progress/odd", `"%%"`))
		s.Store.PutRaw(table, "odd1", rawRow(table, "odd1", `"\ud800"`))
		s.Store.PutRaw(table, "odd2", func(version int64) string {
			return fmt.Sprintf(`{"part":"","Key":"odd2","Value":"e30=","Big":1e400,"Ver":1e400,"x":%s}`, nested)
		})
		s.Store.PutRaw(table, "odd3", func(version int64) string { return fmt.Sprintf(`{"part":"","Key":7,"Value":"e30=","Ver":%d}`, version) })
		s.Store.PutValue(table, "odd4", []byte(nested))
		s.Store.PutValue(table, "odd5", []byte("\x00\xff{"))
	}
}

// Guards against a VM that does not become ready, or never serves, because rows that
// another writer left cannot be read.
func TestStartBesideMalformedRows(t *testing.T) {
	s := New(t)
	s.Upstream("d1", "desk", "v1", plainService)
	s.Upstream("m1", "model", "v1", streamingService)
	putMalformedRows(s)
	vm := s.Start()
	assert.Equal(t, s.Call(vm, "/book/x", standin.Key).Body, "/book/x for org by d1")
	assert.Equal(t, s.Call(vm, "/stream/x", standin.Key).Status, http.StatusOK)
}

// Guards against a VM that no longer learns of changes after rows that cannot be read
// appeared in the tables: new upstreams, those that leave, configurations and rollouts.
func TestChangesAfterMalformedRows(t *testing.T) {
	s := New(t)
	d1 := s.Upstream("d1", "desk", "v1", plainService)
	s.Upstream("m1", "model", "v1", streamingService)
	vms := []*VM{s.Start(), s.Start()}
	time.Sleep(discoveryTime)
	putMalformedRows(s)
	s.Upstream("d2", "desk", "v1", plainService)
	s.Upstream("e1", "desk2", "v1", plainService)
	s.Upstream("m2", "model", "v2", streamingService)
	d1.Drain()
	s.Store.Put("op", "rollout/model", standin.Rollout("model", "v2", 3))
	time.Sleep(drainBound)
	for _, vm := range vms {
		assert.Equal(t, s.Call(vm, "/book/x", standin.Key).Body, "/book/x for org by d2")
	}
	s.Configure(2, "desk2")
	time.Sleep(configurationBound)
	for _, vm := range vms {
		assert.Equal(t, s.Call(vm, "/book/x", standin.Key).Body, "/book/x for org by e1")
		s.Eventually("the new release serves", func() bool {
			return standin.AnsweredBy(s.Call(vm, "/stream/x", standin.Key).Header) == "m2"
		})
	}
	assert.Assert(t, strings.Contains(string(s.Store.Get("status", "rollout/model")), "done"))
}

// Guards against an upstream that is still used when its registration can no longer be
// read, and against one that is not used again once it can be.
func TestUnreadableRegistrationIsUsed(t *testing.T) {
	s := New(t)
	d1, d2 := s.Upstream("d1", "desk", "v1", plainService), s.Upstream("d2", "desk", "v1", plainService)
	vm := s.Start()
	s.Store.PutRaw("servers", "d1", rawRow("servers", "d1", `"%%"`))
	time.Sleep(time.Second)
	before := d1.Total()
	for range 10 {
		assert.Equal(t, s.Call(vm, "/book/x", standin.Key).Status, http.StatusOK)
	}
	assert.Equal(t, d1.Total(), before)
	d1.Register(d1.Address())
	d2.Drain()
	time.Sleep(time.Second)
	assert.Equal(t, s.Call(vm, "/book/x", standin.Key).Body, "/book/x for org by d1")
}

// Guards against a configuration that is lost when its row can no longer be read, and
// against a later one that is not taken.
func TestUnreadableConfigurationIsTaken(t *testing.T) {
	s := New(t)
	s.Upstream("d1", "desk", "v1", plainService)
	s.Upstream("e1", "desk2", "v1", plainService)
	vm := s.Start()
	s.Store.PutRaw("op", "config", rawRow("op", "config", strings.Repeat("[", deep)+strings.Repeat("]", deep)))
	time.Sleep(time.Second)
	assert.Equal(t, s.Call(vm, "/book/x", standin.Key).Body, "/book/x for org by d1")
	s.Configure(2, "desk2")
	time.Sleep(configurationBound)
	assert.Equal(t, s.Call(vm, "/book/x", standin.Key).Body, "/book/x for org by e1")
}

// Guards against a rollout that never ends because the row of its progress can no longer
// be read, so that every write of the next state is refused.
func TestUnreadableProgressHoldsUpARollout(t *testing.T) {
	for name, row := range map[string]func(int64) string{
		"row":   rawRow("status", "progress/model", `"%%"`),
		"state": rawRow("status", "progress/model", `"eyJTdGF0ZSI6IngifQ=="`),
	} {
		t.Run(name, func(t *testing.T) {
			s := New(t)
			s.Upstream("m1", "model", "v1", streamingService)
			s.Upstream("m2", "model", "v2", streamingService)
			vm := s.Start()
			s.Store.Put("op", "rollout/model", standin.Rollout("model", "v2", 4))
			state := func(want string) func() bool {
				return func() bool { return strings.Contains(string(s.Store.Get("status", "rollout/model")), want) }
			}
			s.Eventually("the rollout runs", state("running"))
			s.Store.PutRaw("status", "progress/model", row)
			s.Eventually("the rollout is done", state("done"))
			assert.Equal(t, standin.AnsweredBy(s.Call(vm, "/stream/x", standin.Key).Header), "m2")
			s.Store.PutRaw("status", "progress/model", row)
			time.Sleep(4 * time.Second)
			assert.Equal(t, standin.AnsweredBy(s.Call(vm, "/stream/x", standin.Key).Header), "m2")
			assert.Assert(t, strings.Contains(string(s.Store.Get("status", "progress/model")), "done"))
		})
	}
}
