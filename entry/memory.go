package entry

import (
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/routing"
)

const (
	// heldShare is the fraction of the VM's memory for what is known of the prompt parts that
	// upstreams hold.
	heldShare = 0.05
	// heldBytes is the memory for a part that one upstream holds: its names and its entry in a
	// map that doubles.
	heldBytes = 256
)

// logEvictedParts logs that prompt parts were forgotten since the last call.
func (e *Entry) logEvictedParts() {
	uses, evicted := e.balancer.Held()
	if n := evicted - e.evictedParts; n > 0 {
		e.log.Warn("no room for prompt parts", zap.Uint64("evicted", n), zap.Int("uses", uses))
	}
	e.evictedParts = evicted
}

// engineMemory returns the memory of engines for tokens by service.
func engineMemory(s *routing.Snapshot) map[string]int {
	memory := map[string]int{}
	for _, service := range s.Services {
		if service.KVTokens > 0 {
			memory[service.Name] = service.KVTokens
		}
	}
	return memory
}
