package placement

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// heldLoad is a load on a fleet of VMs that hear of each other with a delay. The engines read
// prompts one after the other and evict the least recently used parts.
type heldLoad struct {
	vms, engines, sessions, memory int
	// rate is the number of requests a second, popular the share of them that uses one of ten
	// sessions.
	rate, popular float64
	rank          int
	// unevenness is the share of speed that every other engine lacks.
	unevenness float64
	// ignoreHeld removes what is known of prompt parts from the decisions.
	ignoreHeld bool
	// restarts is the interval at which an engine loses what it holds, 0 if none does.
	restarts time.Duration
	seed     uint64
}

// heldResult counts tokens and times. again are tokens of shared parts that are read although
// an engine has read them within the last 10 s.
type heldResult struct {
	requests, late      int
	found, again, total float64
	wait, first         time.Duration
}

func (r *heldResult) add(o heldResult) {
	r.requests, r.late = r.requests+o.requests, r.late+o.late
	r.found, r.again, r.total = r.found+o.found, r.again+o.again, r.total+o.total
	r.wait, r.first = r.wait+o.wait, r.first+o.first
}

func (r heldResult) String() string {
	n := time.Duration(r.requests)
	return fmt.Sprintf("%d requests, %.2fM tokens, %.2fM found, %.2fM read again, mean wait %v, first event %v, %d late",
		r.requests, r.total/1e6, r.found/1e6, r.again/1e6, (r.wait / n).Round(time.Millisecond), (r.first / n).Round(time.Millisecond), r.late)
}

// fakeEngine is an engine with an LRU cache of prompt parts.
type fakeEngine struct {
	freeAt time.Time
	speed  float64
	parts  []Part
	used   int
}

// read returns the number of leading tokens that are held, and uses all parts.
func (e *fakeEngine) read(parts []Part, memory int) int {
	held, leading := 0, true
	for _, p := range parts {
		at := -1
		for i := range e.parts {
			if e.parts[i].ID == p.ID {
				at = i
			}
		}
		if leading = leading && at >= 0; leading {
			held += p.Tokens
		}
		if at >= 0 {
			e.used -= p.Tokens
			e.parts = append(e.parts[:at], e.parts[at+1:]...)
		}
	}
	for i := len(parts) - 1; i >= 0; i-- {
		e.parts = append(e.parts, parts[i])
		e.used += parts[i].Tokens
	}
	for e.used > memory {
		e.used -= e.parts[0].Tokens
		e.parts = e.parts[1:]
	}
	return held
}

// timeline holds functions by time.
type timeline []timedFunc

type timedFunc struct {
	at time.Time
	do func(time.Time)
}

func (t timeline) Len() int           { return len(t) }
func (t timeline) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timeline) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)        { *t = append(*t, x.(timedFunc)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// heldObjective is the latency objective of the load.
const heldObjective = 1500 * time.Millisecond

func (l heldLoad) run(length time.Duration) (r heldResult) {
	rng := rand.New(rand.NewPCG(l.seed, 1))
	var events timeline
	schedule := func(at time.Time, do func(time.Time)) { heap.Push(&events, timedFunc{at, do}) }
	vms := make([]*Balancer, l.vms)
	list := make([]Upstream, l.engines)
	for i := range list {
		list[i] = Upstream{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("a", i), AvailabilityZone: fmt.Sprint("z", i%3), Release: "v1", Slots: 64}
	}
	for v := range vms {
		vms[v] = NewBalancer(Options{AvailabilityZone: fmt.Sprint("z", v%3)})
		vms[v].SetUpstreams(list, now, now)
		vms[v].SetRoster(fmt.Sprint("vm", v), make([]string, l.vms), RosterKnown)
		vms[v].SetMemory(map[string]int{"s": l.memory})
		// The order among equal upstreams is that of a map. Here it follows from the seed.
		order := vms[v].service["s"]
		slices.SortFunc(order, func(a, b *upstreamState) int { return cmp.Compare(a.ID, b.ID) })
		rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	}
	fakes := map[string]*fakeEngine{}
	for i, u := range list {
		fakes[u.ID] = &fakeEngine{speed: 1 - l.unevenness*float64(i%2)}
	}
	readAt := map[string]time.Time{}
	request := func(at time.Time) {
		session, own := fmt.Sprint("s", rng.IntN(l.sessions)), fmt.Sprint("own", r.requests)
		if rng.Float64() < l.popular {
			session = fmt.Sprint("s", rng.IntN(10))
		}
		tail := 500 + rng.IntN(12000)
		parts := []Part{{"all", 512}, {session, 4870}, {own, tail}}
		q := &Query{Service: "s", Model: "m", Rank: l.rank, Tokens: 5382 + tail, Parts: parts, Now: at}
		if l.ignoreHeld {
			q.Parts = nil
		}
		vm := vms[rng.IntN(l.vms)]
		c, _ := vm.Choose(q)
		call := vm.Start(c, q)
		call.Admit(at)
		e := fakes[c.ID]
		held := e.read(parts, l.memory)
		start := at
		if e.freeAt.After(at) {
			start = e.freeAt
		}
		e.freeAt = start.Add(time.Duration(prefillSeconds(float64(q.Tokens-held), l.rank) / e.speed * float64(time.Second)))
		first := e.freeAt.Add(time.Duration(firstEventFloor * float64(time.Second)))
		r.requests++
		r.total += float64(q.Tokens)
		r.found += float64(held)
		tokens := 0
		for _, p := range parts[:2] {
			if tokens += p.Tokens; tokens > held && at.Sub(readAt[p.ID]) <= 10*time.Second {
				r.again += float64(p.Tokens)
			}
			readAt[p.ID] = first
		}
		r.wait += start.Sub(at)
		r.first += first.Sub(at)
		if first.Sub(at) > heldObjective {
			r.late++
		}
		schedule(first, call.FirstEvent)
		schedule(first.Add(time.Second), func(at time.Time) { call.End(Answered, at) })
	}
	// Each VM hears of the loads and uses of the others 200 to 600 ms later.
	const interval = 200 * time.Millisecond
	var exchange func(at time.Time)
	exchange = func(at time.Time) {
		for v, vm := range vms {
			loads, uses := vm.Loads(), vm.RecentUses(interval-1, at)
			schedule(at.Add(interval+time.Duration(rng.IntN(200))*time.Millisecond), func(at time.Time) {
				for w, peer := range vms {
					if w != v {
						peer.SetPeer(fmt.Sprint("vm", v), loads, at)
						peer.AddUses(uses, at)
					}
				}
			})
			vm.Sweep(at)
		}
		schedule(at.Add(interval), exchange)
	}
	schedule(now, exchange)
	var arrive func(at time.Time)
	arrive = func(at time.Time) {
		request(at)
		schedule(at.Add(time.Duration(rng.ExpFloat64()/l.rate*float64(time.Second))), arrive)
	}
	schedule(now, arrive)
	if l.restarts > 0 {
		var restart func(at time.Time)
		restart = func(at time.Time) {
			fakes[list[rng.IntN(l.engines)].ID].parts = nil
			schedule(at.Add(l.restarts), restart)
		}
		schedule(now.Add(l.restarts), restart)
	}
	for len(events) > 0 && events[0].at.Before(now.Add(length)) {
		e := heap.Pop(&events).(timedFunc)
		e.do(e.at)
	}
	return r
}

// Guards against decisions by which parts that an engine holds are read again elsewhere, or by
// which requests queue for what is held while other engines are idle: at most half as many
// tokens are read again as by a choice that ignores what is held, and neither the times nor the
// late first events grow.
func TestHeldPartsUnderLoad(t *testing.T) {
	for name, l := range map[string]heldLoad{
		"calm":              {rate: 19, sessions: 140, rank: 1, memory: 550_000},
		"busy":              {rate: 50, sessions: 375, rank: 1, memory: 550_000},
		"small model":       {rate: 150, sessions: 1100, memory: 550_000},
		"little memory":     {rate: 50, sessions: 375, rank: 1, memory: 100_000},
		"uneven engines":    {rate: 38, sessions: 280, rank: 1, memory: 550_000, unevenness: 0.5},
		"popular parts":     {rate: 50, sessions: 375, rank: 1, memory: 550_000, popular: 0.5},
		"engines restarted": {rate: 50, sessions: 375, rank: 1, memory: 550_000, restarts: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			l.vms, l.engines = 30, 30
			var with, without heldResult
			for l.seed = range 4 {
				l.ignoreHeld = false
				with.add(l.run(15 * time.Second))
				l.ignoreHeld = true
				without.add(l.run(15 * time.Second))
			}
			t.Logf("with what is held:    %v", with)
			t.Logf("without what is held: %v", without)
			assert.Assert(t, with.again <= without.again/2)
			assert.Assert(t, with.first <= without.first)
			assert.Assert(t, with.late <= without.late)
		})
	}
}
