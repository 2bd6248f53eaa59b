package engine

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/upstream"
)

// applyOrder handles an order: it replaces the set of held versions. A version
// that was not held becomes usable after Options.LoadTime; a version that the
// order does not list accepts no new calls.
func (e *Engine) applyOrder(w http.ResponseWriter, r *http.Request) {
	var o upstream.Order
	if !decode(w, r, &o) {
		return
	}
	e.mu.Lock()
	if e.opts.ChecksFencing && o.Fencing < e.fencing {
		seen := e.fencing
		e.mu.Unlock()
		refuse(w, http.StatusConflict, errkind.Conflict, fmt.Sprintf("fencing number %d is below %d", o.Fencing, seen))
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.anyVersion = false
	next := map[string]time.Time{}
	for _, version := range o.Hold {
		ready, ok := e.loadedAt[version]
		if !ok {
			ready = time.Now().Add(e.opts.LoadTime)
		}
		next[version] = ready
	}
	e.loadedAt = next
	e.mu.Unlock()
	reply(w, struct{}{})
}

func (e *Engine) listHeld(w http.ResponseWriter, _ *http.Request) { reply(w, e.loadedVersions()) }

// loadedVersions returns the held versions that have finished loading, sorted.
func (e *Engine) loadedVersions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, held := time.Now(), []string{}
	for version, ready := range e.loadedAt {
		if !ready.After(now) {
			held = append(held, version)
		}
	}
	slices.Sort(held)
	return held
}

// canServe reports whether the version has finished loading or the engine serves
// any version.
func (e *Engine) canServe(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ready, ok := e.loadedAt[version]
	return e.anyVersion || ok && !ready.After(time.Now())
}

// KVState describes the exported KV cache of one request.
type KVState struct {
	RequestID string `json:"request_id"`
	Version   string `json:"version"`
	// Parts is the number of answer parts that the state covers.
	Parts int `json:"parts"`
}

// kvExport is the body of POST /v1/kv/export.
type kvExport struct {
	RequestID string `json:"request_id"`
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var req kvExport
	if !decode(w, r, &req) {
		return
	}
	for _, run := range slices.Backward(e.Runs()) {
		if run.RequestID == req.RequestID {
			reply(w, KVState{RequestID: run.RequestID, Version: run.Version, Parts: run.Parts})
			return
		}
	}
	refuse(w, http.StatusNotFound, errkind.NotFound, "no run of request "+req.RequestID)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var state KVState
	if !decode(w, r, &state) {
		return
	}
	e.mu.Lock()
	e.importedKVParts[state.RequestID+"/"+state.Version] = state.Parts
	e.mu.Unlock()
	reply(w, struct{}{})
}

// consumeKV reports whether the KV state imported for a request covers at least
// the given number of parts, and deletes that state.
func (e *Engine) consumeKV(requestID, version string, parts int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := requestID + "/" + version
	covered, ok := e.importedKVParts[key]
	delete(e.importedKVParts, key)
	return ok && covered >= parts
}
