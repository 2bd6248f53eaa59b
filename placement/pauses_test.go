package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// emulatedStream is a request at an emulated engine.
type emulatedStream struct {
	call      *Call
	sentAt    time.Time
	reading   time.Duration
	eventsDue int
	lastEvent time.Time
	late      bool
}

// emulatedEngine reads one prompt after the other. Its streams get no event while it reads,
// and one between two prompts.
type emulatedEngine struct {
	queue   []*emulatedStream
	reading *emulatedStream
	streams []*emulatedStream
}

// played counts the streams that callers got in time, and those that were late by their
// first event or by a pause.
type played struct{ streams, lateFirst, latePause int }

func (p played) late() int { return p.lateFirst + p.latePause }

const (
	emulationStep     = 20 * time.Millisecond
	eventInterval     = 2 * emulationStep
	allowedPause      = 1200 * time.Millisecond
	allowedFirstEvent = 3 * time.Second
)

func (e *emulatedEngine) step(now time.Time, learns bool, out *played) {
	if e.reading == nil && len(e.queue) > 0 {
		e.reading, e.queue = e.queue[0], e.queue[1:]
	}
	if s := e.reading; s != nil {
		if s.reading -= emulationStep; s.reading > 0 {
			return
		}
		e.reading = nil
		s.call.FirstEvent(now)
		s.late = now.Sub(s.sentAt) > allowedFirstEvent
		if s.late {
			out.lateFirst++
		}
		s.lastEvent = now
		e.streams = append(e.streams, s)
	} else if len(e.streams) == 0 || now.Sub(e.streams[0].lastEvent) < eventInterval {
		return
	}
	kept := e.streams[:0]
	for _, s := range e.streams {
		gap := now.Sub(s.lastEvent)
		if learns {
			s.call.RecordEvent(gap, allowedPause, now)
		}
		if gap > allowedPause && !s.late {
			s.late = true
			out.latePause++
		}
		s.lastEvent = now
		if s.eventsDue--; s.eventsDue > 0 {
			kept = append(kept, s)
			continue
		}
		s.call.End(Answered, now)
	}
	e.streams = kept
}

// playPauses plays 40 s of short prompts of the small model and of long ones of the large
// model, which the engines read for more than the allowed pause. Without learning, the
// streams' pauses cost nothing.
func playPauses(seed uint64, learns bool) played {
	const n = 8
	r := rand.New(rand.NewPCG(seed, 1))
	b := engines(n)
	emulated := map[string]*emulatedEngine{}
	for id := range b.upstreams {
		emulated[id] = &emulatedEngine{}
	}
	var out played
	for at := time.Duration(0); at < 40*time.Second; at += emulationStep {
		t := after(at)
		for _, kind := range []struct {
			rate         float64
			tokens, rank int
		}{{12, 3000, 0}, {1.2, 23000, 2}} {
			if r.Float64() >= kind.rate*emulationStep.Seconds() {
				continue
			}
			q := &Query{Service: "s", Model: string(rune('a' + kind.rank)), Rank: kind.rank, Tokens: kind.tokens, MaxPause: allowedPause, Now: t}
			c, _ := b.Choose(q)
			s := &emulatedStream{call: b.Start(c, q), sentAt: t, eventsDue: 50 + r.IntN(100), reading: time.Duration(c.PrefillSeconds * float64(time.Second))}
			emulated[c.ID].queue = append(emulated[c.ID].queue, s)
			out.streams++
		}
		for id := range n {
			emulated[engineID(id)].step(t, learns, &out)
		}
	}
	return out
}

func engineID(n int) string { return "e" + string(rune('0'+n)) }

// Load answered: long prompts for the large model beside many streams. Guards against
// streams that pause for longer than allowed at a few engines while others could read the
// prompts, and against first events that are late instead.
func TestLongPromptsLeaveStreamsInTime(t *testing.T) {
	var before, with played
	for seed := range uint64(5) {
		for learns, sum := range map[bool]*played{false: &before, true: &with} {
			p := playPauses(seed, learns)
			sum.streams += p.streams
			sum.lateFirst += p.lateFirst
			sum.latePause += p.latePause
		}
	}
	t.Logf("before %+v, with the cost of pauses %+v", before, with)
	assert.Assert(t, before.latePause*100 >= 5*before.streams, "the load makes no stream late: %+v", before)
	assert.Assert(t, with.late()*10 <= 7*before.late(), "%+v, before %+v", with, before)
	assert.Assert(t, with.lateFirst*100 <= with.streams+100*before.lateFirst, "%+v, before %+v", with, before)
}

// Guards against a VM that does not know of the pauses that the streams of its peers have,
// and against pauses of one VM that weigh as much as those of all.
func TestPausesOfPeersCount(t *testing.T) {
	b := engines(2)
	b.SetPeer("p", map[string]Load{"e0": {Calls: 20, Streams: 20, Paused: 20}, "e1": {Calls: 20, Streams: 20, Paused: 2}}, now)
	_, c := place(t, b, query(20000))
	assert.Equal(t, c.ID, "e1")
	assert.Assert(t, c.PauseLevel == 0.1 && c.Streams == 20, "%+v", c)
}

// Guards against a cost of pauses that outlasts the streams: an engine without streams is
// free, however long the last ones paused.
func TestPausesCostNothingWithoutStreams(t *testing.T) {
	b := engines(1)
	call, _ := place(t, b, query(100))
	call.FirstEvent(now)
	at := now
	for range 10 {
		at = at.Add(2 * allowedPause)
		call.RecordEvent(2*allowedPause, allowedPause, at)
	}
	q := query(20000)
	c, _ := b.Choose(q)
	assert.Assert(t, c.PauseLevel > 0.6 && c.Streams == 1, "%+v", c)
	assert.Assert(t, b.Loads()["e0"].Paused > 0.6)
	call.End(Answered, at)
	c, _ = b.Choose(q)
	assert.Assert(t, c.PauseLevel == 0 && c.Streams == 0, "%+v", c)
	assert.Equal(t, len(b.Loads()), 0)
}
