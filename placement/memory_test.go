package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// playMemory plays 30 s of requests of very different lengths that two VMs place at six
// engines. It returns the requests and how many of them made an engine hold more than its
// memory. With checks, the VMs know the memory. They tell each other their loads every 0.3 s.
func playMemory(seed uint64, checks bool) (requests, over int) {
	const n, memory = 6, 100_000
	r := rand.New(rand.NewPCG(seed, 4))
	vms := []*Balancer{engines(n), engines(n)}
	type running struct {
		call *Call
		end  time.Duration
		id   string
		q    *Query
	}
	var calls []running
	held := map[string]int{}
	for at := time.Duration(0); at < 30*time.Second; at += 20 * time.Millisecond {
		kept := calls[:0]
		for _, c := range calls {
			if c.end > at {
				kept = append(kept, c)
				continue
			}
			c.call.End(Answered, after(at))
			held[c.id] -= c.q.memory()
		}
		calls = kept
		if at%(300*time.Millisecond) == 0 {
			for i, vm := range vms {
				vms[1-i].SetPeer("peer", vm.Loads(), after(at))
			}
		}
		if r.Float64() > 0.2 {
			continue
		}
		q := query(2000 + int(r.ExpFloat64()*8000))
		if q.OutputTokens, q.Now = 500, after(at); r.IntN(12) == 0 {
			q.Tokens = 40_000
		}
		if checks {
			q.KVTokens = memory
		}
		vm := vms[r.IntN(2)]
		c, _ := vm.Choose(q)
		requests++
		held[c.ID] += q.memory()
		if held[c.ID] > memory {
			over++
		}
		call := vm.Start(c, q)
		call.FirstEvent(after(at + 100*time.Millisecond))
		calls = append(calls, running{call, at + time.Duration(2+3*r.Float64())*time.Second, c.ID, q})
	}
	return requests, over
}

// Load answered: long prompts that together exceed the memory of an engine, which ends it.
// Guards against calls that are placed there while another engine has room.
func TestCallsGoWhereMemoryHoldsThem(t *testing.T) {
	requests, before, with := 0, 0, 0
	for seed := range uint64(10) {
		n, over := playMemory(seed, false)
		requests, before = requests+n, before+over
		_, over = playMemory(seed, true)
		with += over
	}
	t.Logf("%d requests, %d over the memory before, %d with checks", requests, before, with)
	assert.Assert(t, before*100 >= requests, "the load exceeds no memory: %d of %d", before, requests)
	assert.Assert(t, with*10 <= before, "%d, before %d", with, before)
}

// Guards against requests that are refused although an engine may hold them later, calls that
// wait elsewhere although the memory of a busier engine has room, and tokens that stay when
// their call has ended.
func TestMemoryOfEngines(t *testing.T) {
	b := engines(2)
	q := query(5000)
	q.OutputTokens, q.KVTokens = 1000, 20_000
	b.SetPeer("p", map[string]Load{"e0": {Tokens: 14_001}, "e1": {Tokens: 14_000, PrefillSeconds: 2}}, now)
	call, c := place(t, b, q)
	assert.Assert(t, c.ID == "e1" && !c.OverMemory, "%+v", c)
	assert.Equal(t, b.Loads()["e1"].Tokens, 6000)
	next, c := place(t, b, q)
	assert.Assert(t, c.ID == "e0" && c.OverMemory, "all are full: %+v", c)
	call.FirstEvent(now)
	assert.Equal(t, b.Loads()["e1"].Tokens, 6000)
	call.End(Answered, now)
	next.End(Answered, now)
	assert.Assert(t, b.upstreams["e1"].own == Load{} && b.upstreams["e0"].own == Load{})

	for tokens, fits := range map[int]bool{19_999: true, 20_000: false, 30_000: false} {
		q.Tokens = tokens
		assert.Equal(t, q.FitsMemory(), fits, "%d", tokens)
	}
	q.KVTokens = 0
	assert.Assert(t, q.FitsMemory() && b.upstreams["e0"].hasMemoryFor(q), "the memory is not known")
}
