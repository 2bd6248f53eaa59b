package engine

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/upstream"
)

// order replaces the set of versions to hold. Versions not yet held become
// usable after the load time; versions no longer listed take no new calls.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o upstream.Order
	if !decode(w, r, &o) {
		return
	}
	e.mu.Lock()
	if e.o.ChecksFencing && o.Fencing < e.fencing {
		seen := e.fencing
		e.mu.Unlock()
		refuse(w, http.StatusConflict, errkind.Conflict, fmt.Sprintf("fencing number %d is below %d", o.Fencing, seen))
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.any = false
	next := map[string]time.Time{}
	for _, version := range o.Hold {
		ready, ok := e.holding[version]
		if !ok {
			ready = time.Now().Add(e.o.LoadTime)
		}
		next[version] = ready
	}
	e.holding = next
	e.mu.Unlock()
	reply(w, struct{}{})
}

func (e *Engine) held(w http.ResponseWriter, _ *http.Request) { reply(w, e.heldNow()) }

// heldNow lists the versions that are loaded.
func (e *Engine) heldNow() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, held := time.Now(), []string{}
	for version, ready := range e.holding {
		if !ready.After(now) {
			held = append(held, version)
		}
	}
	slices.Sort(held)
	return held
}

func (e *Engine) holds(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ready, ok := e.holding[version]
	return e.any || ok && !ready.After(time.Now())
}

// KVState is an exported KV cache of one request.
type KVState struct {
	RequestID string `json:"request_id"`
	Version   string `json:"version"`
	// Parts is how many parts the state covers.
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
	e.kv[state.RequestID+"/"+state.Version] = state.Parts
	e.mu.Unlock()
	reply(w, struct{}{})
}

// takeKV reports whether imported state covers the first parts of a request,
// and forgets the state.
func (e *Engine) takeKV(requestID, version string, parts int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := requestID + "/" + version
	covered, ok := e.kv[key]
	delete(e.kv, key)
	return ok && covered >= parts
}
