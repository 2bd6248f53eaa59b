package peer

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/spread"
	"github.com/savoryshift/savoryshift/coord/store"
)

// cutTable fails all calls while cut is set.
type cutTable struct {
	store.Table
	cut *atomic.Bool
}

func (c cutTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if c.cut.Load() {
		return nil, store.ErrUnavailable
	}
	return c.Table.Get(ctx, keys...)
}

// wallClock counts virtual time only, unlike the boot clock of the machine.
type wallClock struct{}

func (wallClock) Now() evidence.Instant {
	return evidence.Instant{Wall: time.Duration(time.Now().UnixNano())}
}

// vm is one daemon's coordination side with everything but the router.
type vm struct {
	id      string
	agent   *Agent
	server  *Server
	l       *pipeListener
	cut     atomic.Bool
	mu      sync.Mutex
	inForce []int64
}

// cluster is a set of VMs that reach each other over net/rpc in memory.
type cluster struct {
	store *memstore.Store
	log   *changelog.Log
	vms   []*vm
	ids   []string
	group sync.WaitGroup
}

func newCluster(t *testing.T, ids ...string) *cluster {
	s := memstore.New()
	c := &cluster{store: s, log: changelog.New(changelog.Options{Table: s, Objects: s.Objects()}), ids: ids}
	for _, id := range ids {
		c.vms = append(c.vms, &vm{id: id, l: &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}})
	}
	return c
}

func (c *cluster) dial(ctx context.Context, id string) (net.Conn, error) {
	return c.vms[slices.Index(c.ids, id)].l.dial(ctx, id)
}

func (c *cluster) start(t *testing.T, v *vm) {
	t.Helper()
	follower := changelog.NewFollower(changelog.FollowerOptions{SnapshotEvery: 4, Keep: 3})
	lease := evidence.New(evidence.Options{Clock: wallClock{}})
	node := spread.New(spread.Options{
		Members:  member.New(member.Options{Self: member.VM{ID: v.id, Incarnation: 1}}),
		Follower: follower, Lease: lease,
	})
	node.List(c.ids)
	client, err := NewClient(ClientOptions{Dial: c.dial, Security: withToken()})
	assert.NilError(t, err)
	v.agent = NewAgent(AgentOptions{
		Node: node, Follower: follower, Lease: lease, Client: client, InForce: v.putInForce,
		Log: changelog.New(changelog.Options{Table: cutTable{c.store, &v.cut}, Objects: c.store.Objects()}),
	})
	v.server, err = NewServer(ServerOptions{Node: v.agent, Ledger: &fake{}, Security: withToken()})
	assert.NilError(t, err)
	c.group.Go(func() { _ = v.server.Serve(v.l) })
	c.group.Go(func() { _ = v.agent.Run() })
}

func (v *vm) putInForce(head changelog.Head, _ []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inForce = append(v.inForce, head.Revision)
	return nil
}

func (c *cluster) close() {
	for _, v := range c.vms {
		_ = v.l.Close()
		v.agent.Close()
		v.agent.o.Client.Close()
		_ = v.server.Close()
	}
	c.group.Wait()
}

func (c *cluster) commit(t *testing.T, base int64) {
	t.Helper()
	_, err := c.log.Append(t.Context(), changelog.Change{ID: fmt.Sprint(base), Base: base, Patch: []byte("{}")})
	assert.NilError(t, err)
}

// expect checks the revision in force and the lease of the VMs.
func expect(t *testing.T, vms []*vm, revision int64, valid bool) {
	t.Helper()
	for _, v := range vms {
		v.mu.Lock()
		assert.Assert(t, slices.IsSorted(v.inForce), "%s: %v", v.id, v.inForce)
		assert.Equal(t, v.inForce[len(v.inForce)-1], revision, v.id)
		v.mu.Unlock()
		assert.Equal(t, v.agent.o.Lease.Valid(), valid, "%s: evidence age %v", v.id, v.agent.o.Lease.Age())
	}
}

// Guards the whole path over net/rpc: changes in force within 2 s, also in a
// zone and on a new VM cut off from the platform; leases that lapse while the
// platform is down; halts that spread even then.
func TestClusterOverRPC(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a/1", "a/2", "a/3", "b/1", "b/2", "b/3")
		defer c.close()
		late := c.vms[5] // starts after zone b is cut off
		for _, v := range c.vms[:5] {
			c.start(t, v)
		}
		time.Sleep(2 * time.Second)
		c.commit(t, 0)
		time.Sleep(2 * time.Second)
		expect(t, c.vms[:5], 1, true)

		for _, v := range c.vms[3:] {
			v.cut.Store(true)
		}
		for base := range int64(8) {
			c.commit(t, base+1)
		}
		time.Sleep(2 * time.Second)
		expect(t, c.vms[:5], 9, true)
		assert.DeepEqual(t, c.vms[0].agent.o.Node.Unacknowledged(9), []string{late.id})
		c.start(t, late)
		time.Sleep(4 * time.Second)
		expect(t, c.vms, 9, true)
		assert.Equal(t, len(c.vms[0].agent.o.Node.Unacknowledged(9)), 0)
		names, err := c.store.Objects().List(t.Context(), "config/snapshot/", "", 10)
		assert.NilError(t, err)
		assert.Assert(t, len(names) > 0)

		c.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(evidence.DefaultDuration + time.Second)
		expect(t, c.vms, 9, false)
		assert.NilError(t, c.vms[4].agent.Halt(spread.Mark{Key: "s2/r1", By: "b/2"}))
		time.Sleep(time.Second)
		for _, v := range c.vms {
			assert.Assert(t, v.agent.o.Node.Halted("s2/r1"), v.id)
		}
		c.store.SetFaults(memstore.Faults{})
		time.Sleep(2 * time.Second)
		expect(t, c.vms, 9, true)
	})
}
