package entry

import "github.com/savoryshift/savoryshift/routing"

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
