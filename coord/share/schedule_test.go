package share

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/coord/storetest"
)

const vmCount = 4

type kind int

const (
	offer   kind = iota // requests arrive
	tick                // the shares are adjusted
	cut                 // the VM is disconnected from the platform or connected again
	restart             // the process dies and a new incarnation starts
	replace             // the VM dies, its shares are reclaimed, and another VM starts
	limit               // the limit changes
	leave               // planned stop and a new start
	kinds
)

type event struct {
	Kind   kind
	Amount int
	Pause  int // before the event, in units of 10 ms; long pauses stand for a freeze
}

type schedule struct {
	Events [vmCount][]event
	Faults [vmCount][]storetest.Fault
	Delay  int // of each table call, in units of 10 ms
}

var anySchedule = rapid.Custom(func(t *rapid.T) schedule {
	s := schedule{Delay: rapid.IntRange(0, 5).Draw(t, "delay")}
	kindOf := rapid.SampledFrom([]kind{offer, offer, offer, tick, tick, tick, tick, tick, cut, restart, replace, limit, leave})
	for i := range vmCount {
		s.Events[i] = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{kindOf.Draw(t, "kind"), rapid.IntRange(0, 300).Draw(t, "amount"), rapid.IntRange(0, 60).Draw(t, "pause")}
		}), 5, 40).Draw(t, "events")
		fault := rapid.IntRange(int(storetest.None), int(storetest.LateWrite))
		for _, f := range rapid.SliceOfN(fault, 0, 30).Draw(t, "faults") {
			s.Faults[i] = append(s.Faults[i], storetest.Fault(f))
		}
	}
	return s
})

// vm is one VM with its running process.
type vm struct {
	table       store.Table
	faults      []storetest.Fault
	index, name int
	incarnation int
	node        *storetest.FaultyStore

	mu      sync.Mutex
	running *Manager
}

// start runs a new incarnation. Late commits of the earlier one still arrive.
func (v *vm) start() {
	v.incarnation++
	v.node = storetest.NewFaultyStore(v.table, nil, v.faults...)
	v.faults = nil
	v.set(New(Options{Table: v.node, VM: fmt.Sprintf("vm%d-%d", v.index, v.name), Incarnation: fmt.Sprint(v.incarnation),
		AdoptEarlier: true, Holders: func() int { return vmCount }}))
	v.running.SetLimit("org", Limit{RequestsPerSecond: 100, TokensPerSecond: 1000})
}

func (v *vm) set(m *Manager) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.running = m
}

func (v *vm) share() perResource[int64] {
	v.mu.Lock()
	defer v.mu.Unlock()
	var s perResource[int64]
	if v.running != nil {
		s[requests], s[tokens] = v.running.Share("org")
	}
	return s
}

// mutation changes a run of the schedules. In TestSchedules it changes nothing; in
// the negative control it switches off one rule that protects the invariant.
type mutation struct {
	wrap         func(store.Table) store.Table // changes the table
	reclaimAlive bool                          // a VM is reclaimed while it still runs
}

func (v *vm) apply(ctx context.Context, e event, reclaimer *Manager, mut mutation) {
	time.Sleep(time.Duration(e.Pause) * 10 * time.Millisecond)
	switch e.Kind {
	case offer:
		for range e.Amount {
			_ = v.running.Admit("org", 5)
		}
	case tick:
		v.running.tick(ctx)
	case cut:
		v.node.SetPartitioned(e.Amount%2 == 0)
	case limit:
		v.running.SetLimit("org", Limit{RequestsPerSecond: float64(e.Amount), TokensPerSecond: 500})
	case leave:
		_ = v.running.Close(ctx)
		fallthrough
	case restart:
		v.set(nil)
		v.start()
	case replace:
		if mut.reclaimAlive {
			_, _ = reclaimer.Reclaim(ctx, v.running.opts.VM)
			return
		}
		gone := v.running.opts.VM
		v.set(nil)
		_, _ = reclaimer.Reclaim(ctx, gone)
		v.name++
		v.start()
	}
}

func runSchedule(t *testing.T, s schedule, mut mutation) (failure error) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		mem.SetFaults(memstore.Faults{Delay: time.Duration(s.Delay) * 10 * time.Millisecond})
		table := mut.wrap(mem)
		reclaimer := New(Options{Table: table, VM: "platform"})
		var vms [vmCount]*vm
		var all sync.WaitGroup
		for i := range vms {
			vms[i] = &vm{table: table, faults: s.Faults[i], index: i}
			vms[i].start()
		}
		for i, v := range vms {
			all.Go(func() {
				for _, e := range s.Events[i] {
					v.apply(t.Context(), e, reclaimer, mut)
				}
			})
		}
		done := make(chan struct{})
		go func() { all.Wait(); close(done) }()
		for running := true; running && failure == nil; {
			select {
			case <-done:
				running = false
			case <-time.After(37 * time.Millisecond):
			}
			synctest.Wait() // until no change is in progress
			failure = checkShareSum(vms)
		}
		<-done
		time.Sleep(storetest.LateWriteDelay)
	})
	return failure
}

func checkShareSum(vms [vmCount]*vm) error {
	for r := range resources {
		total := int64(0)
		for _, v := range vms {
			total += v.share()[r]
		}
		if total > FullLimit {
			return fmt.Errorf("shares of resource %d sum up to %d of %d", r, total, FullLimit)
		}
	}
	return nil
}

// Guards against shares that sum up to more than the limit while holders are
// disconnected, frozen, restarted or replaced, and writes are lost or delayed.
func TestSchedules(t *testing.T) {
	storetest.CheckSchedules(t, anySchedule, func(s schedule) error { return runSchedule(t, s, mutation{wrap: storetest.Unwrapped}) })
}

// TestSchedules must fail when a rule is switched off. In one case commits ignore
// the version of the row, in the other one VMs are reclaimed while they still run.
// In both cases the shares must exceed the limit in at least one schedule.
func TestSchedulesNegativeControl(t *testing.T) {
	for name, mut := range map[string]mutation{
		"version ignored": {wrap: storetest.WithoutConditions},
		"reclaimed alive": {wrap: storetest.Unwrapped, reclaimAlive: true},
	} {
		t.Run(name, func(t *testing.T) {
			storetest.RequireViolation(t, anySchedule, "sum up to", func(s schedule) error { return runSchedule(t, s, mut) })
		})
	}
}

// Guards against a share that rises again while a write that lowers it can still
// take effect. A read that shows the old row does not prove that the write has
// failed.
func TestInDoubtWriteKeepsShareLow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		node := storetest.NewFaultyStore(mem, nil, storetest.None, storetest.LateWrite, storetest.LateWrite)
		m := New(Options{Table: node, VM: "vm", Incarnation: "1"})
		m.SetLimit("org", Limit{RequestsPerSecond: 1})
		found, _ := m.accounts.Load("org")
		a, row := found.(*account), store.Row{Key: rowPrefix + "org"}
		write := func(share int64) {
			assert.Assert(t, m.commit(t.Context(), a, row, grants{"vm/1": {share: perResource[int64]{share}}}) == nil)
		}
		write(500)
		rows, err := mem.Get(t.Context(), row.Key)
		assert.NilError(t, err)
		row = rows[0]
		for _, share := range []int64{100, 400} { // both can still take effect
			write(share)
			g, err := decodeGrants(row)
			assert.NilError(t, err)
			m.reconcile(a, row.Version, g)
			usable, _ := m.Share("org")
			assert.Equal(t, usable, int64(100))
		}
		time.Sleep(2 * storetest.LateWriteDelay)
		rows, err = mem.Get(t.Context(), row.Key)
		assert.NilError(t, err)
		g, err := decodeGrants(rows[0])
		assert.NilError(t, err)
		m.reconcile(a, rows[0].Version, g)
		usable, _ := m.Share("org")
		assert.Equal(t, usable, g["vm/1"].share[requests])
	})
}
