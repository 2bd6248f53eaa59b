// The detector of arm64 ends a run of this test with a failed check of its own
// (KNOWN-RED.txt). There it runs without the detector.

//go:build !(race && arm64)

package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/internal/knownred"
	"github.com/savoryshift/savoryshift/mirror"
)

// outageStore is a store that can be away. It counts its calls.
type outageStore struct {
	begun    time.Time
	away     atomic.Bool
	calls    atomic.Int64
	revision atomic.Int64
}

var errAway = errors.New("store away")

func (s *outageStore) page() mirror.Page {
	revision := s.revision.Load()
	return mirror.Page{Revision: revision, Clock: time.Since(s.begun), Rows: []mirror.Row{{Key: "configuration", Revision: revision}}}
}

// answer returns the table after a delay in which it may change.
func (s *outageStore) answer(ctx context.Context, wait time.Duration, after int64) (mirror.Page, error) {
	s.calls.Add(1)
	for until := time.Now().Add(wait); ; {
		if s.away.Load() {
			return mirror.Page{}, errAway
		}
		if s.revision.Load() > after || !time.Now().Before(until) {
			return s.page(), nil
		}
		select {
		case <-ctx.Done():
			return mirror.Page{}, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (s *outageStore) Read(ctx context.Context, _ string) (mirror.Page, error) {
	return s.answer(ctx, 0, 0)
}

func (s *outageStore) Follow(ctx context.Context, after int64, wait time.Duration) (mirror.Page, error) {
	return s.answer(ctx, wait, after)
}

// emulatedVM is a VM of a fleet whose exchanges are emulated.
type emulatedVM struct {
	fleet  *Fleet
	member Member
	tables []*mirror.Mirror
}

func (vm *emulatedVM) Report(bool) Report                            { return Report{} }
func (vm *emulatedVM) Tables() map[string]mirror.State               { return nil }
func (vm *emulatedVM) ApplyReport(string, Report, time.Time)         {}
func (vm *emulatedVM) ObserveTables(string, map[string]mirror.State) {}
func (vm *emulatedVM) Table(TableRequest) TableReply                 { return TableReply{} }
func (vm *emulatedVM) Lost() bool {
	for _, m := range vm.tables {
		if _, lost := m.Lost(); lost {
			return true
		}
	}
	return false
}

// newEmulatedFleet starts n VMs in five zones, each with the mirrors of three tables.
func newEmulatedFleet(ctx context.Context, wg *sync.WaitGroup, n int, s *outageStore) []*emulatedVM {
	vms := make([]*emulatedVM, n)
	for i := range vms {
		vm := &emulatedVM{member: Member{VM: fmt.Sprintf("vm-%03d", i), AvailabilityZone: fmt.Sprint(i % 5), Address: fmt.Sprint(i), Capacity: float64(i % 7)}}
		vm.fleet = New(Options{Self: vm.member, Node: vm, Log: zap.NewNop()})
		reach, clock := &mirror.Reach{}, &mirror.Clock{}
		for table := range 3 {
			m := mirror.New(mirror.Options{
				Name: fmt.Sprint(table), Table: s, Wait: 1100 * time.Millisecond, MaxAge: 1400 * time.Millisecond, Log: zap.NewNop(), Reach: reach, Clock: clock,
				Passive:  func() bool { return !vm.fleet.ReadsStore(time.Now(), 1) },
				SharedBy: func() float64 { return vm.fleet.SharedBy(time.Now(), 1) },
			})
			vm.tables = append(vm.tables, m)
		}
		vms[i] = vm
	}
	exchangeAll(vms)
	for _, vm := range vms {
		for _, m := range vm.tables {
			wg.Go(func() { m.Run(ctx) })
		}
	}
	return vms
}

// exchangeAll emulates the exchanges of an interval in each zone: its VMs know of each
// other whether they reach the store, and confirm or offer each other's copies.
func exchangeAll(vms []*emulatedVM) {
	now := time.Now()
	members := map[string][]Member{}
	newest := map[string]*emulatedVM{}
	for _, vm := range vms {
		zone := vm.member.AvailabilityZone
		members[zone] = append(members[zone], vm.fleet.self())
		if b := newest[zone]; b == nil || b.tables[0].Age(now) > vm.tables[0].Age(now) {
			newest[zone] = vm
		}
	}
	for _, vm := range vms {
		vm.fleet.mu.Lock()
		for _, m := range members[vm.member.AvailabilityZone] {
			if p := vm.fleet.ensurePeer(m.Address, now); p != nil {
				p.Member, p.lastExchange = m, now
			}
		}
		vm.fleet.mu.Unlock()
		from := newest[vm.member.AvailabilityZone]
		for i, m := range vm.tables {
			if state, ok := from.tables[i].State(); ok && from != vm && !m.Confirm(state) {
				page, whole := from.tables[i].ChangesSince(mirror.Position{Revision: -1})
				m.Offer(page, whole)
			}
		}
	}
}

// Guards against store calls of the whole fleet that grow with the number of VMs while the
// store is away for 10 s and after it, and against a change that is known late after it.
func TestStoreCallsInAnOutage(t *testing.T) {
	knownred.SkipListed(t, "fleet")
	perVM := map[int]float64{}
	for _, n := range []int{20, 100, 300} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &outageStore{begun: time.Now()}
			s.revision.Store(1)
			var wg sync.WaitGroup
			vms := newEmulatedFleet(ctx, &wg, n, s)
			run := func(d time.Duration) int64 {
				before := s.calls.Load()
				for until := time.Now().Add(d); time.Now().Before(until); {
					time.Sleep(exchangeInterval - time.Duration(rand.N(1000)))
					exchangeAll(vms)
				}
				return s.calls.Load() - before
			}
			run(3 * time.Second)
			calm := run(10 * time.Second)
			s.away.Store(true)
			outage := run(10 * time.Second)
			s.revision.Add(1)
			s.away.Store(false)
			after := run(2 * time.Second)
			for _, vm := range vms {
				c, _ := vm.tables[0].Copy()
				assert.Check(t, c.Revision == 2, "%s of %d does not know the change 2 s after the outage", vm.member.VM, n)
			}
			after += run(8 * time.Second)
			for _, vm := range vms {
				assert.Check(t, !vm.Lost(), "%s of %d has not called the store again", vm.member.VM, n)
			}
			perVM[n] = float64(outage+after) / float64(n)
			t.Logf("%d VMs: %d calls in 10 s before, %d in the outage, %d in the 10 s after it; %.1f for each VM", n, calm, outage, after, perVM[n])
			cancel()
			wg.Wait()
		})
	}
	assert.Assert(t, perVM[300] <= 1.1*perVM[100] && perVM[100] <= 1.1*perVM[20], "%v", perVM)
	assert.Assert(t, perVM[300] <= 10, "%v", perVM)
}
