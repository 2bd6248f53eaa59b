package engine

import (
	"maps"
	"net/http"
	"time"

	"github.com/savoryshift/savoryshift/standin/endless"
)

// Faults is the set of injected faults; the zero value injects none.
type Faults struct {
	// ErrorRate is added to the error rate of the version's profile: the share of
	// calls that fail after they have started.
	ErrorRate float64 `json:"error_rate"`
	// Versions overrides the error rate and quality of individual versions.
	Versions map[string]VersionFaults `json:"versions,omitempty"`
	// Malformed writes an invalid line before every part of a stream, and corrupts
	// the JSON of non-streamed answers.
	Malformed bool `json:"malformed"`
	// WrongIDs returns a request id and attempt id that differ from the call's.
	WrongIDs bool `json:"wrong_ids"`
	// WrongVersion returns a version that differs from the call's.
	WrongVersion bool `json:"wrong_version"`
	// CutAfterPart breaks the connection of a stream after the part with this
	// number; 0 means never. A non-streamed answer is cut off in the middle.
	CutAfterPart int `json:"cut_after_part"`
	// FatalText, if not empty, ends the engine before it answers a prompt with a message
	// that contains the text.
	FatalText string `json:"fatal_text,omitempty"`
	// FatalAfterParts, if not 0, makes the engine end only after so many parts of a stream.
	FatalAfterParts int `json:"fatal_after_parts,omitempty"`
	// Endless, if not empty, is the response without end to every request, except
	// below /standin/.
	Endless endless.Kind `json:"endless,omitempty"`
	// Frozen stops all progress, except below /standin/, until it is unset.
	Frozen bool `json:"frozen"`
	// Slow divides the token rate and multiplies the time to the first token; 0
	// means no change.
	Slow float64 `json:"slow"`
	// Leaving rejects new calls with the header that announces the shutdown, and
	// reports the shutdown in load reports.
	Leaving bool `json:"leaving"`
}

// VersionFaults overrides values of a version's profile; nil keeps the profile's
// value.
type VersionFaults struct {
	ErrorRate *float64 `json:"error_rate,omitempty"`
	Quality   *float64 `json:"quality,omitempty"`
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	f.Versions = maps.Clone(f.Versions)
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Frozen && !e.faults.Frozen {
		e.unfrozen = make(chan struct{})
	}
	if !f.Frozen && e.faults.Frozen {
		close(e.unfrozen)
	}
	e.faults = f
}

// Faults returns the injected faults.
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

// waitWhileFrozen blocks while the engine is frozen. It reports false when done
// is closed first.
func (e *Engine) waitWhileFrozen(done <-chan struct{}) bool {
	for {
		e.mu.Lock()
		unfrozen := e.unfrozen
		e.mu.Unlock()
		select {
		case <-unfrozen:
		case <-done:
			return false
		}
		if !e.Faults().Frozen {
			return true
		}
	}
}

// profile returns the profile of a version with the injected faults applied.
func (e *Engine) profile(version string) Profile {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.opts.Versions[version]
	if !ok {
		p = *e.opts.Fallback
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

// draw returns true with the given probability.
func (e *Engine) draw(probability float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() < probability
}
