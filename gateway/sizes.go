package gateway

import "sync"

const (
	// outputWeight is the size of a generated token in tokens that are read.
	outputWeight = 10
	// sizeGain is the weight of one request in the mean size of a route.
	sizeGain = 0.02
)

// sizes keeps the mean size of the requests of each route. It is safe for
// concurrent use.
type sizes struct {
	mu    sync.Mutex
	means map[string]*meanSize
}

type meanSize struct {
	mean float64
	n    float64
}

// mean notes a size and returns the mean of its route.
func (s *sizes) mean(route string, size float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.means[route]
	if m == nil {
		m = &meanSize{}
		s.means[route] = m
	}
	m.n++
	m.mean += max(sizeGain, 1/m.n) * (size - m.mean)
	return m.mean
}
