package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/savoryshift/savoryshift/workload"
)

// arrival is one request as generated, independent of the router.
type arrival struct {
	id           int
	at           time.Duration
	class        int
	organisation int
	session      *session
	daemon       int
	prompt       float64 // prompt length in tokens
	output       float64 // answer length in tokens
	deadline     time.Duration
	abandonDelay time.Duration // how long the client waits after the deadline
	prefix       uint64
	prefixShare  float64 // share of the prompt that belongs to the prefix
}

// session is a sequence of requests that stay on one version of each model.
type session struct {
	id           int
	started      time.Duration
	organisation int
	prefixGroup  int
	remaining    int // requests still to come
}

// prefixStride is the distance between the prefix numbers of two classes, so that
// the prefix groups of different classes have different numbers.
const prefixStride = 1 << 20

// uniformDraw returns a number in [0, 1) that depends only on its arguments,
// so that all routers see the same outcome for the same key.
func uniformDraw(seed uint64, keys ...uint64) float64 {
	h := seed
	for _, k := range keys {
		h = mix(h ^ mix(k))
	}
	return float64(h>>11) / (1 << 53)
}

// mix hashes x with the output function of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func drawLognormal(d workload.Lognormal, rng *rand.Rand) float64 {
	return d.Median * math.Exp(d.Sigma*rng.NormFloat64())
}

// weightedIndex draws an index from 0 to n-1 with a probability in proportion to
// its weight.
func weightedIndex(rng *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	x := rng.Float64() * total
	for i := range n {
		x -= weight(i)
		if x < 0 {
			return i
		}
	}
	return n - 1
}

// generateArrivals returns the arrivals of one run in order of time. They follow
// a Poisson process with the given rate per second.
func generateArrivals(w *Workload, rate func(time.Duration) float64, duration time.Duration, daemons int, seed uint64) []*arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	openSessions := make([][]*session, len(w.Classes))
	var list []*arrival
	sessions := 0
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate(at) * float64(time.Second))
		if at >= duration {
			return list
		}
		k := weightedIndex(rng, len(w.Classes), func(i int) float64 { return w.Classes[i].Share })
		c := &w.Classes[k]
		s := nextSession(w, c, rng, &openSessions[k], at, &sessions)
		list = append(list, &arrival{
			id: len(list), at: at, class: k, organisation: s.organisation, session: s,
			daemon:       rng.IntN(daemons),
			prompt:       math.Max(1, math.Round(drawLognormal(c.PromptTokens, rng))),
			output:       math.Max(1, math.Round(drawLognormal(c.OutputTokens, rng))),
			deadline:     time.Duration(drawLognormal(c.DeadlineMs, rng) * float64(time.Millisecond)),
			abandonDelay: time.Duration(c.CallerLeavesMs * float64(time.Millisecond)),
			prefix:       uint64(k*prefixStride + s.prefixGroup + 1),
			prefixShare:  c.PrefixShare,
		})
	}
}

// nextSession continues a random open session or starts a new one, so that
// sessions have the mean length of the class.
func nextSession(w *Workload, c *workload.Class, rng *rand.Rand, openSessions *[]*session, at time.Duration, count *int) *session {
	length := math.Max(1, c.SessionLengthRequests)
	if len(*openSessions) > 0 && rng.Float64() >= 1/length {
		i := rng.IntN(len(*openSessions))
		s := (*openSessions)[i]
		s.remaining--
		if s.remaining <= 0 {
			*openSessions = append((*openSessions)[:i], (*openSessions)[i+1:]...)
		}
		return s
	}
	s := &session{
		id: *count, started: at,
		organisation: weightedIndex(rng, len(w.Organisations), func(i int) float64 { return w.Organisations[i].Share }),
		prefixGroup:  rng.IntN(max(1, c.PrefixGroups)),
		remaining:    int(math.Round(length)) - 1,
	}
	*count++
	if s.remaining > 0 {
		*openSessions = append(*openSessions, s)
	}
	return s
}
