package spread

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/coord/member"
)

// SyncRequest returns a request to a peer. The caller sends it at once, because
// the age of evidence in the reply counts from now.
func (n *Node) SyncRequest(to string) Call {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.call(to, false, nil)
}

func (n *Node) call(to string, summary bool, want []string) Call {
	r := SyncRequest{
		From: n.self.ID, Incarnation: n.self.Incarnation,
		Revision: n.follower.Head().Revision, Halts: n.halts.digest, Want: want,
	}
	r.Behind = n.behind(r.Revision)
	zone := member.ZoneOf(to)
	if known, ok := n.reports[zone]; ok {
		r.Known = uint32(known.digest())
	}
	if summary {
		r.Summary = true
		r.Reports = n.reports.combined(zone, n.self.AvailabilityZone())
	}
	return Call{To: to, Request: r, sentAt: n.lease.Now(), sent: n.o.Now()}
}

// behind returns how many of the revisions up to head are not yet in force.
func (n *Node) behind(head int64) int64 { return max(0, head-n.lease.Applied()) }

// HandleSync answers a request. A request that is malformed or of an old
// incarnation changes nothing and returns an error.
func (n *Node) HandleSync(r SyncRequest) (SyncReply, Effects, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	vm := member.VM{ID: r.From, Incarnation: r.Incarnation}
	now := n.o.Now()
	if err := n.admit(vm, r.check()); err != nil {
		return SyncReply{}, Effects{}, err
	}
	n.acks.merge(vm, r.Revision-r.Behind)
	head := n.follower.Head()
	reply := SyncReply{
		Incarnation: n.self.Incarnation,
		Revision:    head.Revision, Behind: n.behind(head.Revision), Check: hashStart(head.Hash),
	}
	if revision, ageMs, ok := n.evidence(); ok {
		reply.HasEvidence, reply.Ahead, reply.AgeMs = true, revision-head.Revision, ageMs
	}
	if r.Halts != n.halts.digest {
		reply.Halts = n.halts.page()
	}
	if r.Revision < head.Revision {
		reply.Changes = n.missing(r.Revision)
		reply.Snapshot = n.snapshot(r, len(reply.Changes))
	}
	n.addReports(&reply, r, now)
	var e Effects
	if r.Revision > head.Revision {
		e.Calls = n.pull(r.From, r.Revision, now)
	}
	return reply, e, nil
}

// evidence returns the newest evidence with its age rounded up. Evidence that is
// too old for any use is left out.
func (n *Node) evidence() (revision, ageMs int64, ok bool) {
	revision, age, ok := n.lease.Evidence()
	if !ok || age > time.Duration(maxAgeMs-1)*time.Millisecond {
		return 0, 0, false
	}
	return revision, ceilMs(age), true
}

// admit checks the sender of a message and records that it lives.
func (n *Node) admit(vm member.VM, malformed error) error {
	if malformed != nil {
		n.counters.BadMessages++
		return malformed
	}
	err := n.members.RecordMessage(vm)
	if vm.ID == n.self.ID {
		err = fmt.Errorf("%w: sender has the id of this VM, %s", ErrBadMessage, vm.ID)
	}
	if err != nil {
		n.counters.OldMessages++
	}
	return err
}

// missing returns changes after a revision, bounded by number and size.
func (n *Node) missing(after int64) []changelog.Change {
	changes, _ := n.follower.Since(after, maxChanges)
	size := 0
	for i, c := range changes {
		size += len(c.Patch) + len(c.ID) + len(c.Author) + len(c.Reason)
		if i > 0 && size > maxChangeBytes {
			return changes[:i]
		}
	}
	return changes
}

// addReports adds what the requester asked for of the zone reports.
func (n *Node) addReports(reply *SyncReply, r SyncRequest, now time.Time) {
	own, from := n.self.AvailabilityZone(), member.ZoneOf(r.From)
	for _, zone := range r.Want {
		if z, ok := n.held(zone, now); ok {
			reply.Zones = append(reply.Zones, z)
		}
	}
	if from != own && !slices.Contains(r.Want, own) {
		if z := n.ownReport(now); uint32(z.digest()) != r.Known {
			z.Rows = nil
			reply.Zones = append(reply.Zones, z)
		}
	}
	if !r.Summary {
		return
	}
	agree := r.Reports == n.reports.combined(own, from)
	for _, zone := range n.reports.zones(own, from) {
		z, _ := n.held(zone, now)
		if agree {
			reply.Ages = append(reply.Ages, z.AgeMs)
		} else {
			z.Rows = nil
			reply.Zones = append(reply.Zones, z)
		}
	}
}

// HandleReply takes the reply to a call. A reply that is malformed, of an old
// incarnation or with changes that do not prove themselves changes nothing and
// returns an error.
func (n *Node) HandleReply(c Call, r SyncReply) (Effects, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	vm := member.VM{ID: c.To, Incarnation: r.Incarnation}
	if err := r.check(); err != nil {
		n.counters.BadMessages++
		return Effects{}, err
	}
	if err := n.members.Check(vm); err != nil {
		n.counters.OldMessages++
		return Effects{}, err
	}
	before := n.follower.Head().Revision
	if err := n.prove(r.Revision, r.Check, r.Changes); err != nil {
		return Effects{}, err
	}
	n.adopt(c, r)
	now := n.o.Now()
	// Check has passed, so the only error is a full view. It must not hide the
	// changes taken above.
	_ = n.members.RecordMessage(vm)
	n.acks.merge(vm, r.Revision-r.Behind)
	fresh := n.mergeHalts(r.Halts)
	if r.HasEvidence {
		// check has ruled out the values that Observe refuses.
		_ = n.lease.Observe(r.Revision+r.Ahead, c.sentAt, time.Duration(r.AgeMs)*time.Millisecond)
	}
	want := n.takeReports(c, r)
	e := n.news(before, fresh, c.To)
	head := n.follower.Head().Revision
	switch {
	case len(want) > 0 || head < r.Revision && head > before:
		e.Calls = append(e.Calls, n.call(c.To, false, want))
	case head < r.Revision && len(r.Changes) == 0:
		e.Load = true // the peer no longer keeps the changes
		e.Calls = append(e.Calls, n.fetch(c, now)...)
	}
	return e, nil
}

// prove offers changes to the follower and compares the head of the sender
// with a known revision. An ApplyError is no reason to reject the sender.
func (n *Node) prove(revision int64, check uint32, changes []changelog.Change) error {
	head, err := n.follower.Offer(changes)
	if _, refused := errors.AsType[*changelog.ApplyError](err); refused {
		err = nil
	}
	if err == nil && head.Revision == revision && hashStart(head.Hash) != check {
		err = &changelog.ChainError{Revision: revision, Err: changelog.ErrFork}
	}
	if err != nil {
		n.counters.BadChains++
	}
	return err
}

// hashStart returns the first 4 bytes of a hex hash, 0 for an empty one.
func hashStart(hash string) uint32 {
	var b [4]byte
	if len(hash) >= 2*len(b) {
		_, _ = hex.Decode(b[:], []byte(hash[:2*len(b)]))
	}
	return binary.BigEndian.Uint32(b[:])
}

// takeReports stores the reports of a reply and returns the zones whose rows
// are missing.
func (n *Node) takeReports(c Call, r SyncReply) []string {
	zone, own := member.ZoneOf(c.To), n.self.AvailabilityZone()
	changed := slices.ContainsFunc(r.Zones, func(z ZoneReport) bool { return z.Zone == zone })
	if known, ok := n.reports[zone]; ok && !changed && uint32(known.digest()) == c.Request.Known {
		n.refresh(zone, c.sent)
	}
	if c.Request.Summary && len(r.Ages) > 0 {
		n.takeAges(c, r.Ages, own, zone)
	}
	var want []string
	for _, z := range r.Zones {
		asOf := c.sent.Add(-time.Duration(z.AgeMs) * time.Millisecond)
		if z.Zone != own && !n.takeReport(z, asOf) {
			want = append(want, z.Zone)
		}
	}
	return want
}

// takeAges renews the reports when the responder holds the same ones.
func (n *Node) takeAges(c Call, ages []int64, without ...string) {
	zones := n.reports.zones(without...)
	if len(zones) != len(ages) || n.reports.combined(without...) != c.Request.Reports {
		return // the reports changed while the request was under way
	}
	for i, zone := range zones {
		n.refresh(zone, c.sent.Add(-time.Duration(ages[i])*time.Millisecond))
	}
}

// HandleNotify takes a notification. A notification that is malformed or of an
// old incarnation changes nothing and returns an error.
func (n *Node) HandleNotify(m Notification) (Effects, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.o.Now()
	if err := n.admit(member.VM{ID: m.From, Incarnation: m.Incarnation}, m.check()); err != nil {
		return Effects{}, err
	}
	revision := n.follower.Head().Revision
	e := n.news(revision, n.mergeHalts(m.Halts), m.From)
	if m.Revision > revision {
		e.Calls = n.pull(m.From, m.Revision, now)
	}
	return e, nil
}

// HandleHead takes the head of the log as read from the platform by a request
// sent at sentAt (from the lease's clock), and the changes after the follower's
// head. changes may be empty or stop short of the head.
func (n *Node) HandleHead(head changelog.Head, changes []changelog.Change, sentAt evidence.Instant) (Effects, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.follower.Head().Revision
	if err := n.prove(head.Revision, hashStart(head.Hash), changes); err != nil {
		return Effects{}, err
	}
	if err := n.lease.Observe(head.Revision, sentAt, 0); err != nil {
		n.counters.BadMessages++
		return Effects{}, err
	}
	e := n.news(before, nil, "")
	e.Load = n.follower.Head().Revision < head.Revision
	return e, nil
}

// Halt sets a halt mark on local evidence.
func (n *Node) Halt(m Mark) (Effects, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := m.check(); err != nil {
		return Effects{}, err
	}
	isNew, err := n.halts.add(m)
	if err != nil || !isNew {
		return Effects{}, err
	}
	return n.news(n.follower.Head().Revision, []Mark{m}, ""), nil
}

// mergeHalts returns the marks that are new.
func (n *Node) mergeHalts(marks []Mark) []Mark {
	var fresh []Mark
	for _, m := range marks {
		if !n.o.Relevant(m.Key) {
			continue
		}
		isNew, err := n.halts.add(m)
		if err != nil {
			n.counters.HaltsRejected++
		}
		if isNew {
			fresh = append(fresh, m)
		}
	}
	return fresh
}

// news returns the effects of a revision above before and of new marks: all
// peers of the zone are notified and, by a delegate, those of other zones.
func (n *Node) news(before int64, fresh []Mark, source string) Effects {
	head := n.follower.Head().Revision
	if head <= before && len(fresh) == 0 {
		return Effects{}
	}
	peers := n.members.Contacts(n.self.AvailabilityZone())
	if n.delegate() {
		peers = append(peers, n.foreignDelegates()...)
	}
	peers = slices.DeleteFunc(peers, func(id string) bool { return id == source })
	n.counters.Notifications += int64(len(peers))
	return Effects{
		Advanced:     head > before,
		Notify:       peers,
		Notification: Notification{From: n.self.ID, Incarnation: n.self.Incarnation, Revision: head, Halts: fresh},
	}
}
