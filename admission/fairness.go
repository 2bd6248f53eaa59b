package admission

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// useWindow is the time in which the use of engine time by an organisation falls to 1/e.
	// It is a few times the time in which a queue at the engines builds up.
	useWindow = 3 * time.Second
	// fairQuantum is the share of its fair part by which an organisation may exceed it, so
	// that organisations with about equal use are not told apart by single requests.
	fairQuantum = 0.1
	// peerUseLifetime is the age at which the report of a peer expires. Peers report every
	// 0.7 s, and delegates pass their reports on at the same interval.
	peerUseLifetime = 3 * time.Second
	// maxReportedUses bounds the organisations in a report. Those with the largest use are
	// reported; the others are hardly beyond a fair part.
	maxReportedUses = 16
	// minUse is the engine time in seconds below which an organisation is not active.
	minUse = 0.001
)

// Use is the engine time that an organisation used within the window, as VMs tell it each
// other. Organisation is a hash of its name, which takes fewer bytes.
type Use struct {
	Organisation uint32
	Ms           int
}

// Report is what VMs tell each other of the use of engine time.
type Report struct {
	// Uses are the largest uses, in an order that depends on nothing else.
	Uses []Use
	// ServedMs is the engine time of the calls that engines have begun to answer, of all
	// organisations.
	ServedMs int
}

// SumReports returns the sum of reports.
func SumReports(reports ...Report) Report {
	var out Report
	sums := map[uint32]int{}
	for _, r := range reports {
		out.ServedMs += r.ServedMs
		for _, u := range r.Uses {
			sums[u.Organisation] += u.Ms
		}
	}
	for o, ms := range sums {
		out.Uses = append(out.Uses, Use{o, ms})
	}
	out.Uses = largest(out.Uses)
	return out
}

// largest sorts uses and returns the largest ones, at most maxReportedUses.
func largest(uses []Use) []Use {
	slices.SortFunc(uses, func(a, b Use) int {
		if a.Ms != b.Ms {
			return b.Ms - a.Ms
		}
		return int(int64(a.Organisation) - int64(b.Organisation))
	})
	return uses[:min(len(uses), maxReportedUses)]
}

// decaying is an amount that decays with useWindow.
type decaying struct {
	amount float64
	at     time.Time
}

func (d decaying) value(now time.Time) float64 {
	if now.Before(d.at) {
		return d.amount
	}
	return d.amount * math.Exp(-now.Sub(d.at).Seconds()/useWindow.Seconds())
}

// Fairness knows how much engine time each organisation has used lately, over all VMs. It
// handles load of one organisation, or of its clients that repeat at once, which would keep
// the requests of the others waiting: each call is paid by the part of its organisation. It
// is safe for concurrent use.
type Fairness struct {
	mu    sync.Mutex
	own   map[uint32]decaying
	peers map[string]peerReport
	// served is the engine time of the calls of this VM that engines have begun to answer.
	served decaying
	// sums are the sums over peers, and peersServed that of their served engine time.
	sums        map[uint32]float64
	peersServed float64
	// uses is the buffer of the last decision.
	uses []float64
}

type peerReport struct {
	Report
	at time.Time
}

// NewFairness returns a Fairness that has seen no call.
func NewFairness() *Fairness {
	return &Fairness{own: map[uint32]decaying{}, peers: map[string]peerReport{}, sums: map[uint32]float64{}}
}

func hashOf(organisation string) uint32 { return uint32(xxhash.Sum64String(organisation)) }

// Charge adds engine time in seconds to the use of an organisation. A negative one takes back
// the charge for a call that has not run. Calls without an organisation are not charged.
func (f *Fairness) Charge(organisation string, engineTime float64, now time.Time) {
	if organisation == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	o := hashOf(organisation)
	f.own[o] = decaying{max(0, f.own[o].value(now)+engineTime), now}
}

// Serve records that an engine has begun to answer a call of an organisation.
func (f *Fairness) Serve(organisation string, engineTime float64, now time.Time) {
	if organisation == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.served = decaying{f.served.value(now) + engineTime, now}
}

// Report returns the uses by calls of this VM.
func (f *Fairness) Report(now time.Time) Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(now)
	out := make([]Use, 0, len(f.own))
	for o, d := range f.own {
		out = append(out, Use{o, int(1000 * d.value(now))})
	}
	return Report{largest(out), int(1000 * f.served.value(now))}
}

// SetPeer replaces the report of a peer.
func (f *Fairness) SetPeer(source string, r Report, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(source)
	f.expire(now)
	r.Uses = r.Uses[:min(len(r.Uses), maxReportedUses)]
	f.peers[source] = peerReport{r, now}
	f.peersServed += float64(r.ServedMs) / 1000
	for _, u := range r.Uses {
		f.sums[u.Organisation] += float64(u.Ms) / 1000
	}
}

// remove forgets the report of a peer.
func (f *Fairness) remove(source string) {
	f.peersServed -= float64(f.peers[source].ServedMs) / 1000
	for _, u := range f.peers[source].Uses {
		f.sums[u.Organisation] -= float64(u.Ms) / 1000
		if f.sums[u.Organisation] < minUse/2 {
			delete(f.sums, u.Organisation)
		}
	}
	delete(f.peers, source)
	if len(f.peers) == 0 {
		f.peersServed = 0
	}
}

// expire forgets old reports and organisations that are not active any more.
func (f *Fairness) expire(now time.Time) {
	for source, p := range f.peers {
		if now.Sub(p.at) > peerUseLifetime {
			f.remove(source)
		}
	}
	for o, d := range f.own {
		if d.value(now) < minUse {
			delete(f.own, o)
		}
	}
}

// Standing compares the use of an organisation with its fair part.
type Standing struct {
	// Over is set if the use exceeds the fair part, so that calls are to be served after
	// those of organisations within theirs.
	Over bool
	// Use and Fair are in seconds of engine time within the window, Fair is 0 without
	// saturation. Organisations is the number of active ones.
	Use, Fair     float64
	Organisations int
}

// Standing returns how an organisation stands while calls are in flight at engines with a
// number of slots. Without saturation no organisation is over its part.
func (f *Fairness) Standing(organisation string, calls, slots int, now time.Time) Standing {
	if organisation == "" || calls <= slots || slots <= 0 {
		return Standing{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Standing{}
	self := hashOf(organisation)
	f.uses = f.uses[:0]
	add := func(o uint32, use float64) {
		if use < minUse {
			return
		}
		if o == self {
			s.Use = use
		}
		f.uses = append(f.uses, use)
	}
	for o, d := range f.own {
		add(o, d.value(now)+f.sums[o])
	}
	for o, use := range f.sums {
		if _, counted := f.own[o]; !counted {
			add(o, use)
		}
	}
	s.Organisations = len(f.uses)
	// Saturated engines serve what they can.
	s.Fair = fairPart(f.uses, f.served.value(now)+f.peersServed)
	s.Over = s.Organisations > 1 && s.Use > (1+fairQuantum)*s.Fair
	return s
}

// fairPart returns the max-min fair part: the largest use that can be granted to all which
// want it, if those who want less get what they want. It sorts uses.
func fairPart(uses []float64, capacity float64) float64 {
	slices.Sort(uses)
	for i, use := range uses {
		part := capacity / float64(len(uses)-i)
		if use >= part {
			return part
		}
		capacity -= use
	}
	return math.Inf(1)
}
