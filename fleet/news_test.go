package fleet

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/rollout"
)

// delegateOf returns the VM a-00 of a fleet of 20 VMs in two zones, all of which are alive.
func delegateOf(n Node, now time.Time) *Fleet {
	members := fleetOf(10, "a", "b")
	for i := range members {
		members[i].Address = members[i].VM
	}
	f := New(Options{Self: members[0], Incarnation: 1, Node: n, Log: zap.NewNop()})
	for _, m := range members[1:] {
		p := f.ensurePeer(m.Address, now)
		p.Member, p.lastRelayed = m, now
	}
	return f
}

func memberOf(f *Fleet, vm string) Member { return f.peers[vm].Member }

// useFrom returns a digest of a VM of zone a that has acknowledged the uses up to a position.
func useFrom(f *Fleet, vm, part string, heard int64) Digest {
	d := Digest{From: memberOf(f, vm), Incarnation: 5, NewsTo: 1, Heard: NewsMark{Incarnation: 1, To: heard}}
	if part != "" {
		d.Report.Uses = []placement.CacheUse{{Upstream: "u", Model: "m", Part: part}}
		d.Report.Sessions = []rollout.SessionUse{{Session: uint64(len(part)), New: true, Order: 3}}
	}
	return d
}

func parts(d Digest) string {
	text := ""
	for _, u := range d.Report.Uses {
		text += u.Part + " "
	}
	return text
}

// Guards against uses that are told to a peer again and again, that are lost with a digest that
// did not arrive, and that are told to the VM that reported them.
func TestEachUseIsToldOnce(t *testing.T) {
	now := time.Now()
	f := delegateOf(&node{}, now)
	f.applyDigest(useFrom(f, "a-05", "x", 0), now)
	first := f.digest(memberOf(f, "a-06"), now)
	assert.Equal(t, parts(first), "x ")
	assert.Equal(t, len(first.Report.Sessions), 1)
	assert.Equal(t, parts(f.digest(memberOf(f, "a-05"), now)), "", "a VM is told its own use")
	assert.Equal(t, parts(f.digest(memberOf(f, "a-01"), now)), "", "the other delegate is told the use by its VM")
	assert.Equal(t, parts(f.digest(memberOf(f, "b-00"), now)), "x ")

	now = now.Add(exchangeInterval)
	assert.Equal(t, parts(f.digest(memberOf(f, "a-06"), now)), "x ", "not acknowledged yet")
	f.applyDigest(useFrom(f, "a-06", "", first.NewsTo), now)
	f.applyDigest(useFrom(f, "a-07", "yy", 0), now)
	second := f.digest(memberOf(f, "a-06"), now)
	assert.Equal(t, parts(second), "yy ")
	assert.Equal(t, second.Heard, NewsMark{Incarnation: 5, To: 1})
	assert.Equal(t, len(second.Report.Sessions), 1)

	restarted := useFrom(f, "a-06", "", 0)
	restarted.Heard = NewsMark{}
	f.applyDigest(restarted, now)
	assert.Equal(t, parts(f.digest(memberOf(f, "a-06"), now)), "yy x ", "a new process knows no uses")
}

// Guards against a VM of an earlier build, which acknowledges nothing, that is no longer told of
// recent uses, or is told of old ones.
func TestUsesAreRepeatedToEarlierBuilds(t *testing.T) {
	now := time.Now()
	f := delegateOf(&node{}, now)
	f.applyDigest(useFrom(f, "a-05", "x", 0), now)
	for range 3 {
		earlier := useFrom(f, "a-06", "", 0)
		earlier.NewsTo, earlier.Heard = 0, NewsMark{}
		f.applyDigest(earlier, now)
		d := f.digest(memberOf(f, "a-06"), now)
		assert.Equal(t, parts(d), "x ")
		assert.Equal(t, d.Report.Uses[0].Age, now.Sub(f.reportStore.uses.order[0].at))
		now = now.Add(newsWindow / 3)
	}
	assert.Equal(t, parts(f.digest(memberOf(f, "a-06"), now.Add(exchangeInterval))), "")
}

// Guards against a VM that becomes a delegate and does not tell its peers of the uses that
// others have reported to it before.
func TestNewDelegateTellsWhatItKnows(t *testing.T) {
	now := time.Now()
	f := delegateOf(&node{}, now)
	f.opts.Self.Capacity = 0.5
	f.applyDigest(useFrom(f, "a-05", "x", 0), now)
	to := memberOf(f, "a-06")
	before := f.digest(to, now)
	assert.Assert(t, before.Scope == OwnScope && parts(before) == "", "%+v", before)
	f.opts.Self.Capacity = 20
	now = now.Add(membersInterval)
	f.applyDigest(useFrom(f, "a-06", "", before.NewsTo), now)
	after := f.digest(to, now)
	assert.Assert(t, after.Scope == OthersScope && parts(after) == "x ", "%+v", after)
	f.applyDigest(useFrom(f, "a-06", "", before.NewsTo), now)
	assert.Equal(t, parts(f.digest(to, now)), "x ", "the acknowledgement is that of the scope before")
	f.applyDigest(useFrom(f, "a-06", "", after.NewsTo), now)
	assert.Equal(t, parts(f.digest(to, now)), "")
}

// Guards against logs of uses that grow without bound, and against uses of one part in quick
// succession that each go to all peers.
func TestUsesAreBounded(t *testing.T) {
	now := time.Now()
	rs := newReportStore()
	for range 100 {
		r := Report{
			Uses:     []placement.CacheUse{{Upstream: "u", Model: "m", Part: "x"}},
			Sessions: []rollout.SessionUse{{Session: 1, New: true, Order: 3}},
		}
		rs.recordUses("vm", &r, now)
		now = now.Add(usesGap / 5)
		rs.expire(now)
	}
	told := Report{}
	rs.addNews(&told, OthersScope, "other", 0, now.Add(-newsLifetime), now)
	assert.Equal(t, len(told.Uses), 1)
	assert.Equal(t, len(told.Sessions), 1)
	assert.Assert(t, told.Uses[0].Age <= usesGap && told.Sessions[0].Age <= usesGap/5, "%+v", told)
	assert.Assert(t, len(rs.uses.order) <= int(newsLifetime/usesGap)+1, "%d", len(rs.uses.order))
	rs.expire(now.Add(newsLifetime))
	assert.Equal(t, len(rs.uses.order)+len(rs.uses.latest)+len(rs.sessions.order)+len(rs.sessions.latest), 0)
}

// Guards against a delegate that exchanges digests with its whole zone for each long prompt, and
// against VMs of a small fleet, or other delegates, that are not told at once.
func TestAnnouncementsGoToDelegates(t *testing.T) {
	now := time.Now()
	announced := func(f *Fleet) (names []string) {
		for _, p := range f.peers {
			p.lastExchange, p.nextExchange, p.inExchange = now, now.Add(time.Minute), false
		}
		f.Announce()
		for _, p := range f.due(now) {
			names = append(names, p.VM)
		}
		slices.Sort(names)
		return names
	}
	f := delegateOf(&node{}, now)
	assert.DeepEqual(t, announced(f), []string{"a-01", "b-00", "b-01"})
	f.opts.Self = Member{VM: "a-10", AvailabilityZone: "a", Address: "a-10"} // without a-00, its successor is a delegate
	f.members = nil
	assert.DeepEqual(t, announced(f), []string{"a-01", "a-02"})
	small := delegateOf(&node{}, now)
	for address := range small.peers {
		if address > "b-04" {
			delete(small.peers, address)
		}
	}
	assert.Equal(t, len(announced(small)), 14)
}
