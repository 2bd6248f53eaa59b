package gateway

import "sync"

const (
	// outputTokenWeight is the size of a generated token relative to a prompt token.
	outputTokenWeight = 10
	// sizeGain is the smallest weight of one request in the moving mean of a route.
	sizeGain = 0.02
)

// requestSizes keeps a moving mean of the request sizes of each route. It is
// safe for concurrent use.
type requestSizes struct {
	mu    sync.Mutex
	means map[string]*meanSize
}

type meanSize struct {
	mean float64
	n    float64
}

// observe records the size of a request and returns the mean size of its route.
func (s *requestSizes) observe(route string, size float64) float64 {
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
