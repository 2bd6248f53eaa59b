package engine

import (
	"maps"
	"net/http"
	"time"
)

// Faults is the set of faults in force; the zero value means none.
type Faults struct {
	// ErrorRate is the share of calls that fail after they have started, on
	// top of the rate of the version.
	ErrorRate float64 `json:"error_rate"`
	// Versions replaces error rate and quality of single versions.
	Versions map[string]VersionFaults `json:"versions,omitempty"`
	// Malformed puts an invalid line into every stream and breaks the JSON of
	// whole answers.
	Malformed bool `json:"malformed"`
	// WrongIDs echoes other ids than those of the call.
	WrongIDs bool `json:"wrong_ids"`
	// WrongVersion echoes another version than that of the call.
	WrongVersion bool `json:"wrong_version"`
	// CutAfterPart breaks the connection after the part with this number;
	// 0 means never. A whole answer is cut in the middle.
	CutAfterPart int `json:"cut_after_part"`
	// Frozen stops all progress until it is unset.
	Frozen bool `json:"frozen"`
	// Slow divides the speed; 0 means 1.
	Slow float64 `json:"slow"`
	// Leaving refuses new work and says so.
	Leaving bool `json:"leaving"`
}

// VersionFaults replaces values of a version's profile.
type VersionFaults struct {
	ErrorRate *float64 `json:"error_rate,omitempty"`
	Quality   *float64 `json:"quality,omitempty"`
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	f.Versions = maps.Clone(f.Versions)
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Frozen && !e.faults.Frozen {
		e.thawed = make(chan struct{})
	}
	if !f.Frozen && e.faults.Frozen {
		close(e.thawed)
	}
	e.faults = f
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decode(w, r, &f) {
		e.SetFaults(f)
		reply(w, struct{}{})
	}
}

// thaw waits while the engine is frozen; it reports false when done is closed
// first.
func (e *Engine) thaw(done <-chan struct{}) bool {
	for {
		e.mu.Lock()
		thawed := e.thawed
		e.mu.Unlock()
		select {
		case <-thawed:
		case <-done:
			return false
		}
		if !e.Faults().Frozen {
			return true
		}
	}
}

// profile returns the profile of a version with the faults applied.
func (e *Engine) profile(version string) Profile {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.o.Versions[version]
	if !ok {
		p = *e.o.Fallback
	}
	if v, ok := e.faults.Versions[version]; ok {
		if v.ErrorRate != nil {
			p.ErrorRate = *v.ErrorRate
		}
		if v.Quality != nil {
			p.Quality = *v.Quality
		}
	}
	p.ErrorRate += e.faults.ErrorRate
	if e.faults.Slow > 0 {
		p.TokensPerSecond /= e.faults.Slow
		p.FirstToken = time.Duration(float64(p.FirstToken) * e.faults.Slow)
	}
	return p
}

// draw reports true with the given probability.
func (e *Engine) draw(probability float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() < probability
}
