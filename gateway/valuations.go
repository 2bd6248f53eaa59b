package gateway

import (
	"sync"

	"github.com/savoryshift/savoryshift/cascade"
	"github.com/savoryshift/savoryshift/routing"
)

// valuations holds what was learned of the value of answers, by service. It is safe for
// concurrent use.
type valuations struct {
	mu        sync.Mutex
	byService map[string]*cascade.Valuation
}

// of returns the valuation of a service.
func (v *valuations) of(service string) *cascade.Valuation {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byService[service] == nil {
		v.byService[service] = cascade.NewValuation()
	}
	return v.byService[service]
}

// keep forgets the services that the snapshot does not have, and the routes for which
// exists returns false.
func (v *valuations) keep(s *routing.Snapshot, exists func(route string) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, valuation := range v.byService {
		if s.Service(name) == nil {
			delete(v.byService, name)
			continue
		}
		valuation.Keep(exists)
	}
}
