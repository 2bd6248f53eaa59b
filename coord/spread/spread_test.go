package spread_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/spread"
)

// testNode is a node with its dependencies and a clock set by the test.
type testNode struct {
	*spread.Node
	follower *changelog.Follower
	lease    *evidence.Lease
	members  *member.View
	now      time.Time
}

func newNode(t *testing.T, id string, revisions int64) *testNode {
	t.Helper()
	n := &testNode{now: time.Unix(1000, 0)}
	n.follower = changelog.NewFollower(changelog.FollowerOptions{})
	l := changelog.New(changelog.Options{Table: memstore.New(), Now: func() time.Time { return time.Unix(0, 0) }})
	for base := range revisions {
		c, err := l.Append(t.Context(), changelog.Change{ID: fmt.Sprint(base), Base: base, Patch: []byte("x")})
		assert.NilError(t, err)
		_, err = n.follower.Offer([]changelog.Change{c})
		assert.NilError(t, err)
	}
	now := func() time.Time { return n.now }
	n.lease = evidence.New(evidence.Options{})
	n.members = member.New(member.Options{Self: member.VM{ID: id, Incarnation: 5}, Now: now})
	n.Node = spread.New(spread.Options{Members: n.members, Follower: n.follower, Lease: n.lease, Now: now,
		Relevant: func(key string) bool { return key != "over" }})
	n.Applied(revisions)
	return n
}

// syncFrom makes a handle the reply of b to a call that is addressed to the id to.
func syncFrom(t *testing.T, a, b *testNode, to string) spread.Effects {
	t.Helper()
	c := a.SyncRequest(to)
	reply, _, err := b.HandleSync(c.Request)
	assert.NilError(t, err)
	e, err := a.HandleReply(c, reply)
	assert.NilError(t, err)
	return e
}

// Guards against a rejected message that still changes the revision, the evidence,
// the halt marks, the members or the acknowledgements of a node.
func TestRejectedMessagesChangeNothing(t *testing.T) {
	mark := []spread.Mark{{Key: "k"}}
	valid := spread.SyncReply{Incarnation: 5, Revision: 2, HasEvidence: true, Halts: mark}
	_, donor := newNode(t, "a/1", 0), newNode(t, "a/9", 4)
	chain, _ := donor.follower.Since(2, 2)
	reply := func(corrupt func(*spread.SyncReply)) func(*testNode) error {
		return func(n *testNode) error {
			r := valid
			corrupt(&r)
			_, err := n.HandleReply(n.SyncRequest("a/2"), r)
			return err
		}
	}
	request := func(r spread.SyncRequest) func(*testNode) error {
		return func(n *testNode) error { _, _, err := n.HandleSync(r); return err }
	}
	notify := func(m spread.Notification) func(*testNode) error {
		return func(n *testNode) error { _, err := n.HandleNotify(m); return err }
	}
	cases := map[string]func(*testNode) error{
		"fork":                  reply(func(r *spread.SyncReply) { r.Check = 1 }),
		"gap":                   reply(func(r *spread.SyncReply) { r.Revision, r.Changes = 4, chain[1:] }),
		"forged change":         reply(func(r *spread.SyncReply) { r.Revision, r.Changes = 3, forge(chain[:1]) }),
		"negative age":          reply(func(r *spread.SyncReply) { r.AgeMs = -1 }),
		"overflowing age":       reply(func(r *spread.SyncReply) { r.AgeMs = 1 << 60 }),
		"negative evidence":     reply(func(r *spread.SyncReply) { r.Ahead = -3 }),
		"behind itself":         reply(func(r *spread.SyncReply) { r.Behind = 3 }),
		"no incarnation":        reply(func(r *spread.SyncReply) { r.Incarnation = 0 }),
		"too many marks":        reply(func(r *spread.SyncReply) { r.Halts = make([]spread.Mark, 1000) }),
		"long mark":             reply(func(r *spread.SyncReply) { r.Halts = []spread.Mark{{Key: strings.Repeat("x", 1000)}} }),
		"report without digest": reply(func(r *spread.SyncReply) { r.Zones = []spread.ZoneReport{{Zone: "b", Rows: []spread.Row{{}}}} }),
		"odd report":            reply(func(r *spread.SyncReply) { r.Zones = []spread.ZoneReport{{Zone: "b", Late: []int64{1}}} }),
		"too many reports":      reply(func(r *spread.SyncReply) { r.Ages = make([]int64, 1000) }),
		"request: id":           request(spread.SyncRequest{From: "x", Incarnation: 1}),
		"request: own id":       request(spread.SyncRequest{From: "a/1", Incarnation: 9}),
		"request: revision":     request(spread.SyncRequest{From: "a/2", Incarnation: 1, Revision: -1}),
		"request: incarnation":  request(spread.SyncRequest{From: "a/3", Incarnation: 1}),
		"notify: incarnation":   notify(spread.Notification{From: "a/3", Incarnation: 1, Halts: mark}),
		"notify: mark":          notify(spread.Notification{From: "a/2", Incarnation: 1, Halts: []spread.Mark{{}}}),
	}
	for name, send := range cases {
		n := newNode(t, "a/1", 2)
		assert.NilError(t, n.members.RecordAlive(member.VM{ID: "a/3", Incarnation: 2}, n.now))
		err := send(n)
		assert.Assert(t, err != nil, name)
		c := n.Counters()
		assert.Equal(t, c.BadMessages+c.OldMessages+c.BadChains, int64(1), name)
		_, _, evident := n.lease.Evidence()
		assert.Assert(t, !evident && len(n.Halts()) == 0 && n.follower.Head().Revision == 2, name)
		assert.Equal(t, len(n.members.Members()), 2, name)
		assert.DeepEqual(t, n.Unacknowledged(1), []string{"a/3"})
	}
	n := newNode(t, "a/1", 2) // a valid reply at another revision, whose check is not compared
	_, err := n.HandleReply(n.SyncRequest("a/2"), spread.SyncReply{Incarnation: 5, Revision: 1, HasEvidence: true, Halts: mark})
	assert.NilError(t, err)
	assert.Assert(t, n.lease.Valid() && n.Halted("k"))
}

func forge(changes []changelog.Change) []changelog.Change {
	forged := append([]changelog.Change{}, changes...)
	forged[0].Patch = []byte("forged")
	return forged
}

// Guards against sets of halt marks that depend on the order of arrival, marks
// that stay after the end of their rollout, and marks that are never sent because
// they do not fit into one reply.
func TestHaltsMergeByOr(t *testing.T) {
	a, b := newNode(t, "a/1", 0), newNode(t, "a/2", 0)
	for i := range 40 {
		_, err := a.Halt(spread.Mark{Key: fmt.Sprint("a", i), By: "a/1"})
		assert.NilError(t, err)
	}
	e, err := b.Halt(spread.Mark{Key: "b", By: "a/2"})
	assert.NilError(t, err)
	assert.DeepEqual(t, e.Notification.Halts, b.Halts())
	_, err = b.Halt(spread.Mark{Key: "over"})
	assert.NilError(t, err)
	for range 4 {
		syncFrom(t, a, b, "a/2")
		syncFrom(t, b, a, "a/1")
	}
	assert.DeepEqual(t, a.Halts()[:40], b.Halts()[:40])
	assert.Equal(t, len(a.Halts()), 41)
	assert.Assert(t, !a.Halted("over"))
	assert.Equal(t, a.SyncRequest("a/2").Request.Halts, a.SyncRequest("b/2").Request.Halts)
	e, err = a.HandleNotify(spread.Notification{From: "a/2", Incarnation: 5, Halts: b.Halts()[:1]})
	assert.NilError(t, err)
	assert.Equal(t, len(e.Notify), 0) // known marks are not announced again
	b.Tick()
	assert.Assert(t, !b.Halted("over"))
	for i := range 300 {
		_, err = a.Halt(spread.Mark{Key: fmt.Sprint("more", i)})
	}
	assert.ErrorIs(t, err, spread.ErrHaltsFull)
}

// Guards against a change that counts as acknowledged although an entry VM lacks
// it, and against one that never counts because of a removed VM.
func TestUnacknowledged(t *testing.T) {
	a, b := newNode(t, "a/1", 3), newNode(t, "a/2", 2)
	a.SetPlatformList([]string{"a/1", "a/2", "a/3"})
	syncFrom(t, a, b, "a/2")
	assert.DeepEqual(t, a.Unacknowledged(2), []string{"a/3"})
	assert.DeepEqual(t, a.Unacknowledged(3), []string{"a/2", "a/3"})
	e := syncFrom(t, b, a, "a/1")
	assert.Assert(t, e.Advanced)
	syncFrom(t, a, b, "a/2") // verified, but not in force yet
	assert.DeepEqual(t, a.Unacknowledged(3), []string{"a/2", "a/3"})
	b.Applied(3)
	syncFrom(t, a, b, "a/2")
	assert.DeepEqual(t, a.Unacknowledged(3), []string{"a/3"})
	a.SetPlatformList([]string{"a/1"})
	assert.Equal(t, len(a.Unacknowledged(3)), 0)
	_, err := a.HandleNotify(spread.Notification{From: "a/4", Incarnation: 1}) // never listed
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Unacknowledged(3), []string{"a/4"})
	a.SetPlatformList([]string{"a/1", "a/2"})
	_, err = a.HandleNotify(spread.Notification{From: "a/2", Incarnation: 6}) // restarted
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Unacknowledged(1), []string{"a/2", "a/4"})
	a.SetPlatformList(nil)
	a.now = a.now.Add(time.Minute)
	a.Tick()
	assert.Equal(t, len(a.Unacknowledged(1)), 0)
}

// Guards against a node that requests a refused change again and again, or that
// can never advance past it.
func TestRefusedChangeDoesNotBlock(t *testing.T) {
	a, b := newNode(t, "a/1", 1), newNode(t, "a/2", 3)
	refusing := changelog.NewFollower(changelog.FollowerOptions{Apply: func([]byte, []byte) ([]byte, error) {
		return nil, errors.New("refused")
	}})
	a.Node = spread.New(spread.Options{Members: a.members, Follower: refusing, Lease: a.lease})
	e := syncFrom(t, a, b, "a/2")
	assert.Assert(t, e.Advanced && len(e.Calls) == 0 && !e.Load)
	assert.Equal(t, refusing.Rejected().Apply, int64(3))
}

// Guards against changes that the follower has accepted but the caller never
// learns of, because their sender does not fit into the membership view.
func TestFullViewDoesNotHideChanges(t *testing.T) {
	a, b := newNode(t, "a/1", 1), newNode(t, "a/2", 3)
	for i := range member.MaxMembers {
		assert.NilError(t, a.members.RecordAlive(member.VM{ID: fmt.Sprint("b/", i), Incarnation: 1}, a.now))
	}
	e := syncFrom(t, a, b, "a/2")
	assert.Assert(t, e.Advanced)
}

// Guards against a VM that cannot get the state because it starts in a zone cut
// off from the platform and its peers do not retain the first changes. The VM must
// get a snapshot from a peer, but only when it has asked for one.
func TestSnapshotFromPeer(t *testing.T) {
	a, b := newNode(t, "a/1", 0), newNode(t, "a/2", 3)
	head, state := b.follower.State()
	late := changelog.NewFollower(changelog.FollowerOptions{Start: changelog.Snapshot{Head: head, State: state}})
	b.Node = spread.New(spread.Options{Members: b.members, Follower: late, Lease: b.lease})
	e := syncFrom(t, a, b, "a/2")
	assert.Assert(t, e.Load && len(e.Calls) == 1 && a.follower.Head().Revision == 0)
	reply, _, err := b.HandleSync(e.Calls[0].Request)
	assert.NilError(t, err)
	unsolicited := syncFrom(t, a, b, "a/2")
	assert.Assert(t, !unsolicited.Advanced && len(unsolicited.Calls) == 0)
	_, err = a.HandleReply(a.SyncRequest("a/2"), reply) // this call did not ask for a snapshot
	assert.NilError(t, err)
	assert.Equal(t, a.follower.Head().Revision, int64(0))
	e, err = a.HandleReply(e.Calls[0], reply)
	assert.NilError(t, err)
	assert.Assert(t, e.Advanced && !e.Load)
	got, _ := a.follower.State()
	assert.DeepEqual(t, got, head)
}
