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

// SyncRequest returns a call to a peer. The caller must send it at once, because
// the age of the evidence in the reply is counted from the time of SyncRequest.
func (n *Node) SyncRequest(to string) Call {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newCall(to, false, nil)
}

func (n *Node) newCall(to string, summary bool, want []string) Call {
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
		r.Reports = n.reports.combinedDigest(zone, n.self.AvailabilityZone())
	}
	return Call{To: to, Request: r, sentInstant: n.lease.Now(), sentTime: n.options.Now()}
}

// behind returns how many of the revisions up to head are not yet in force on
// this node.
func (n *Node) behind(head int64) int64 { return max(0, head-n.lease.Applied()) }

// HandleSync handles a request and returns the reply to it. A request that is
// malformed or of an old incarnation has no effect and returns an error.
func (n *Node) HandleSync(r SyncRequest) (SyncReply, Effects, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	vm := member.VM{ID: r.From, Incarnation: r.Incarnation}
	now := n.options.Now()
	if err := n.acceptSender(vm, r.check()); err != nil {
		return SyncReply{}, Effects{}, err
	}
	n.acks.merge(vm, r.Revision-r.Behind)
	head := n.follower.Head()
	reply := SyncReply{
		Incarnation: n.self.Incarnation,
		Revision:    head.Revision, Behind: n.behind(head.Revision), Check: hashPrefix(head.Hash),
	}
	if revision, ageMs, ok := n.evidence(); ok {
		reply.HasEvidence, reply.Ahead, reply.AgeMs = true, revision-head.Revision, ageMs
	}
	if r.Halts != n.halts.digest {
		reply.Halts = n.halts.page()
	}
	if r.Revision < head.Revision {
		reply.Changes = n.changesAfter(r.Revision)
		reply.Snapshot = n.snapshotFor(r, len(reply.Changes))
	}
	n.addReports(&reply, r, now)
	var e Effects
	if r.Revision > head.Revision {
		e.Calls = n.pull(r.From, r.Revision, now)
	}
	return reply, e, nil
}

// evidence returns the newest evidence with its age rounded up to milliseconds. It
// returns false when there is none or its age is at least maxAgeMs.
func (n *Node) evidence() (revision, ageMs int64, ok bool) {
	revision, age, ok := n.lease.Evidence()
	if !ok || age > time.Duration(maxAgeMs-1)*time.Millisecond {
		return 0, 0, false
	}
	return revision, ceilMs(age), true
}

// acceptSender checks the sender of a message and records that it is alive. It
// returns malformed, the result of checking the message itself, if that is not
// nil.
func (n *Node) acceptSender(vm member.VM, malformed error) error {
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

// changesAfter returns the retained changes after a revision, bounded by
// maxChanges and maxChangeBytes.
func (n *Node) changesAfter(after int64) []changelog.Change {
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

// addReports adds the zone reports that the requester asked for to the reply.
func (n *Node) addReports(reply *SyncReply, r SyncRequest, now time.Time) {
	ownZone, requesterZone := n.self.AvailabilityZone(), member.ZoneOf(r.From)
	for _, zone := range r.Want {
		if z, ok := n.reportFor(zone, now); ok {
			reply.Zones = append(reply.Zones, z)
		}
	}
	if requesterZone != ownZone && !slices.Contains(r.Want, ownZone) {
		if z := n.ownReport(now); uint32(z.digest()) != r.Known {
			z.Rows = nil
			reply.Zones = append(reply.Zones, z)
		}
	}
	if !r.Summary {
		return
	}
	sameReports := r.Reports == n.reports.combinedDigest(ownZone, requesterZone)
	for _, zone := range n.reports.zones(ownZone, requesterZone) {
		z, _ := n.reportFor(zone, now)
		if sameReports {
			reply.Ages = append(reply.Ages, z.AgeMs)
		} else {
			z.Rows = nil
			reply.Zones = append(reply.Zones, z)
		}
	}
}

// HandleReply handles the reply to a call. A reply that is malformed, of an old
// incarnation or with changes that fail verification has no effect and returns an
// error. A reply with valid changes whose Check does not match also returns an
// error, but the follower keeps the changes.
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
	if err := n.verifyChain(r.Revision, r.Check, r.Changes); err != nil {
		return Effects{}, err
	}
	n.adoptSnapshot(c, r)
	now := n.options.Now()
	// The sender has passed the check above, so the only possible error is a full
	// view. It is ignored, because the caller must learn of the changes that the
	// follower has accepted.
	_ = n.members.RecordMessage(vm)
	n.acks.merge(vm, r.Revision-r.Behind)
	newMarks := n.mergeHalts(r.Halts)
	if r.HasEvidence {
		// r.check has rejected the values for which Observe returns an error.
		_ = n.lease.Observe(r.Revision+r.Ahead, c.sentInstant, time.Duration(r.AgeMs)*time.Millisecond)
	}
	want := n.storeReports(c, r)
	e := n.announce(before, newMarks, c.To)
	head := n.follower.Head().Revision
	switch {
	case len(want) > 0 || head < r.Revision && head > before:
		e.Calls = append(e.Calls, n.newCall(c.To, false, want))
	case head < r.Revision && len(r.Changes) == 0:
		e.Load = true // the peer does not retain the changes
		e.Calls = append(e.Calls, n.requestSnapshot(c, now)...)
	}
	return e, nil
}

// verifyChain offers changes to the follower. If the follower's head then has the
// sender's revision, verifyChain compares check with its hash, and returns a
// *changelog.ChainError when they differ. A *changelog.ApplyError is ignored,
// because the changes are valid parts of the chain.
func (n *Node) verifyChain(revision int64, check uint32, changes []changelog.Change) error {
	head, err := n.follower.Offer(changes)
	if _, refused := errors.AsType[*changelog.ApplyError](err); refused {
		err = nil
	}
	if err == nil && head.Revision == revision && hashPrefix(head.Hash) != check {
		err = &changelog.ChainError{Revision: revision, Err: changelog.ErrFork}
	}
	if err != nil {
		n.counters.BadChains++
	}
	return err
}

// hashPrefix returns the first 4 bytes of a hex hash, or 0 for an empty one.
func hashPrefix(hash string) uint32 {
	var b [4]byte
	if len(hash) >= 2*len(b) {
		_, _ = hex.Decode(b[:], []byte(hash[:2*len(b)]))
	}
	return binary.BigEndian.Uint32(b[:])
}

// storeReports stores the reports of a reply and returns the zones whose reports
// could not be stored because their rows are missing.
func (n *Node) storeReports(c Call, r SyncReply) []string {
	responderZone, ownZone := member.ZoneOf(c.To), n.self.AvailabilityZone()
	changed := slices.ContainsFunc(r.Zones, func(z ZoneReport) bool { return z.Zone == responderZone })
	if known, ok := n.reports[responderZone]; ok && !changed && uint32(known.digest()) == c.Request.Known {
		n.refreshMembers(responderZone, c.sentTime)
	}
	if c.Request.Summary && len(r.Ages) > 0 {
		n.applyReportAges(c, r.Ages, ownZone, responderZone)
	}
	var want []string
	for _, z := range r.Zones {
		asOf := c.sentTime.Add(-time.Duration(z.AgeMs) * time.Millisecond)
		if z.Zone != ownZone && !n.storeReport(z, asOf) {
			want = append(want, z.Zone)
		}
	}
	return want
}

// applyReportAges renews the reports of the other zones with the ages from a
// reply, which the responder sends when it holds the same reports.
func (n *Node) applyReportAges(c Call, ages []int64, excluded ...string) {
	zones := n.reports.zones(excluded...)
	if len(zones) != len(ages) || n.reports.combinedDigest(excluded...) != c.Request.Reports {
		return // the reports have changed since the request was sent
	}
	for i, zone := range zones {
		n.refreshMembers(zone, c.sentTime.Add(-time.Duration(ages[i])*time.Millisecond))
	}
}

// HandleNotify handles a notification. A notification that is malformed or of an
// old incarnation has no effect and returns an error.
func (n *Node) HandleNotify(m Notification) (Effects, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Now()
	if err := n.acceptSender(member.VM{ID: m.From, Incarnation: m.Incarnation}, m.check()); err != nil {
		return Effects{}, err
	}
	revision := n.follower.Head().Revision
	e := n.announce(revision, n.mergeHalts(m.Halts), m.From)
	if m.Revision > revision {
		e.Calls = n.pull(m.From, m.Revision, now)
	}
	return e, nil
}

// HandleHead handles the head of the change log as read from the platform, and
// the changes after the follower's head. sentAt is the reading of the lease's
// clock taken before the read was sent. changes may be empty or end before the
// head.
func (n *Node) HandleHead(head changelog.Head, changes []changelog.Change, sentAt evidence.Instant) (Effects, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.follower.Head().Revision
	if err := n.verifyChain(head.Revision, hashPrefix(head.Hash), changes); err != nil {
		return Effects{}, err
	}
	if err := n.lease.Observe(head.Revision, sentAt, 0); err != nil {
		n.counters.BadMessages++
		return Effects{}, err
	}
	e := n.announce(before, nil, "")
	e.Load = n.follower.Head().Revision < head.Revision
	return e, nil
}

// Halt sets a halt mark that originates on this node.
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
	return n.announce(n.follower.Head().Revision, []Mark{m}, ""), nil
}

// mergeHalts adds the relevant marks of a message and returns the new ones.
func (n *Node) mergeHalts(marks []Mark) []Mark {
	var newMarks []Mark
	for _, m := range marks {
		if !n.options.Relevant(m.Key) {
			continue
		}
		isNew, err := n.halts.add(m)
		if err != nil {
			n.counters.HaltsRejected++
		}
		if isNew {
			newMarks = append(newMarks, m)
		}
	}
	return newMarks
}

// announce returns the effects of a head above the revision before and of new
// marks. All peers of the zone except source are notified; a delegate also
// notifies the delegates of the other zones.
func (n *Node) announce(before int64, newMarks []Mark, source string) Effects {
	head := n.follower.Head().Revision
	if head <= before && len(newMarks) == 0 {
		return Effects{}
	}
	peers := n.members.Contacts(n.self.AvailabilityZone())
	if n.isDelegate() {
		peers = append(peers, n.foreignDelegates()...)
	}
	peers = slices.DeleteFunc(peers, func(id string) bool { return id == source })
	n.counters.Notifications += int64(len(peers))
	return Effects{
		Advanced:     head > before,
		Notify:       peers,
		Notification: Notification{From: n.self.ID, Incarnation: n.self.Incarnation, Revision: head, Halts: newMarks},
	}
}
