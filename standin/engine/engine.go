package engine

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/standin/endless"
	"github.com/savoryshift/savoryshift/upstream"
)

// Defaults of Options.
const (
	DefaultSlots         = 8
	DefaultQueueLimit    = 1024
	DefaultCacheTokens   = 200_000
	DefaultLoadLag       = 200 * time.Millisecond
	DefaultCacheEventLag = time.Second

	maxBodyBytes = 8 << 20
)

// HeaderOrganisation carries the organisation of a call. The engine records it in
// Run and does not use it otherwise.
const HeaderOrganisation = "X-Organisation"

// Profile describes how one version behaves.
type Profile struct {
	// TokensPerSecond is the output rate of one slot; 0 means no delay between
	// tokens.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// FirstToken is the time to the first token with a cold prefix cache, in
	// nanoseconds in JSON.
	FirstToken time.Duration `json:"first_token"`
	// ErrorRate is the share of calls that fail after they have started.
	ErrorRate float64 `json:"error_rate"`
	// Quality is the share of good answers; a poor one contains PoorMarker.
	Quality float64 `json:"quality"`
}

// Options configures an Engine.
type Options struct {
	// Versions holds the profiles of the known versions.
	Versions map[string]Profile
	// Fallback is the profile of every other version. By default it has no
	// delays, no errors and only good answers.
	Fallback *Profile
	// Hold lists the versions loaded at the start; default every version of
	// Versions. If both are empty, the engine serves any version until the first
	// order.
	Hold []string
	// Slots is the number of requests that run concurrently; default DefaultSlots.
	Slots int
	// QueueLimit bounds the number of queued requests; default
	// DefaultQueueLimit.
	QueueLimit int
	// CacheTokens is the capacity of the prefix cache in tokens; default
	// DefaultCacheTokens.
	CacheTokens int
	// ChecksFencing makes the engine reject orders whose fencing token is below
	// the highest one seen.
	ChecksFencing bool
	// End is called to end the process of the engine; see Faults.FatalText.
	End func()
	// LoadLag is the delay of load reports: a report describes the load LoadLag
	// ago. Default DefaultLoadLag.
	LoadLag time.Duration
	// CacheEventLag is the delay before a cache event is published; default
	// DefaultCacheEventLag.
	CacheEventLag time.Duration
	// CacheEventLoss is the share of cache events that are never published.
	CacheEventLoss float64
	// LoadTime is the time that a version takes to load after an order.
	LoadTime time.Duration
	// Seed seeds the random choice of errors, lost cache events, answer quality
	// and answer text.
	Seed uint64
}

// Engine is an emulated model engine. It is safe for concurrent use.
type Engine struct {
	opts  Options
	mux   *http.ServeMux
	sched *scheduler
	cache *prefixCache
	runs  *runLog
	load  *loadHistory

	mu              sync.Mutex
	rng             *rand.Rand
	faults          Faults
	unfrozen        chan struct{}        // closed while the engine is not frozen
	loadedAt        map[string]time.Time // held version to the time at which its loading ends
	anyVersion      bool                 // serves every version
	fencing         int64                // highest fencing token seen
	importedKVParts map[string]int       // request ID + "/" + version to the parts that the imported KV state covers
}

// New returns an engine that has the versions of o.Hold loaded.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		opts: o, mux: http.NewServeMux(), runs: newRunLog(), load: &loadHistory{},
		rng:      rand.New(rand.NewPCG(o.Seed, 1)),
		unfrozen: make(chan struct{}), loadedAt: map[string]time.Time{}, importedKVParts: map[string]int{},
	}
	close(e.unfrozen)
	e.sched = newScheduler(o.Slots, o.QueueLimit, e.recordLoad)
	e.cache = newPrefixCache(o.CacheTokens)
	for _, version := range o.Hold {
		e.loadedAt[version] = time.Time{}
	}
	e.anyVersion = len(o.Hold) == 0
	e.recordLoad(0, 0)
	e.routes()
	return e
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = DefaultQueueLimit
	}
	if o.CacheTokens == 0 {
		o.CacheTokens = DefaultCacheTokens
	}
	if o.LoadLag == 0 {
		o.LoadLag = DefaultLoadLag
	}
	if o.CacheEventLag == 0 {
		o.CacheEventLag = DefaultCacheEventLag
	}
	if o.Fallback == nil {
		o.Fallback = &Profile{Quality: 1}
	}
	if o.Hold == nil {
		for version := range o.Versions {
			o.Hold = append(o.Hold, version)
		}
	}
	return o
}

func (e *Engine) routes() {
	e.mux.HandleFunc("POST "+upstream.PathCompletions, e.complete)
	e.mux.HandleFunc("DELETE "+upstream.PathAttempts+"{attempt}", e.cancelAttempt)
	e.mux.HandleFunc("GET "+upstream.PathLoad, e.reportLoad)
	e.mux.HandleFunc("GET "+upstream.PathCacheEvents, e.listCacheEvents)
	e.mux.HandleFunc("POST "+upstream.PathOrders, e.applyOrder)
	e.mux.HandleFunc("GET "+upstream.PathHeld, e.listHeld)
	e.mux.HandleFunc("POST /v1/kv/export", e.exportKV)
	e.mux.HandleFunc("POST /v1/kv/import", e.importKV)
	e.mux.HandleFunc("GET /standin/runs", e.listRuns)
	e.mux.HandleFunc("POST /standin/faults", e.postFaults)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	// While the engine is frozen, a completion waits in accept, after its body has
	// been read, because net/http detects a disconnected client only from then on.
	waits := !strings.HasPrefix(r.URL.Path, "/standin/") && r.URL.Path != upstream.PathCompletions
	if waits && !e.waitWhileFrozen(r.Context().Done()) {
		return
	}
	if kind := e.endless(); kind != "" && !strings.HasPrefix(r.URL.Path, "/standin/") {
		endless.Write(w, kind, responseHeader(r))
		return
	}
	e.mux.ServeHTTP(w, r)
}

// endless returns the kind of response without end that is injected, or "".
func (e *Engine) endless() endless.Kind {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Endless
}

// responseHeader returns the header fields by which a client knows the response to its call.
func responseHeader(r *http.Request) http.Header {
	h := http.Header{}
	for _, name := range []string{upstream.HeaderRequestID, upstream.HeaderAttemptID, upstream.HeaderVersion} {
		h.Set(name, r.Header.Get(name))
	}
	return h
}

// Runs returns the recorded runs in the order in which they started.
func (e *Engine) Runs() []Run { return e.runs.list() }

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		refuse(w, http.StatusBadRequest, errkind.BadRequest, "request body: "+err.Error())
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeError writes an OpenAI-compatible error that does not state whether the
// call ran.
func writeError(w http.ResponseWriter, status int, kind errkind.Kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody(kind, message))
}

func errorBody(kind errkind.Kind, message string) any {
	return map[string]any{"error": map[string]any{
		"message": message, "type": errkind.AnswerFor(kind).Type, "code": kind, "param": nil,
	}}
}

// refuse writes an OpenAI-compatible error with the header that states that the
// call did not run.
func refuse(w http.ResponseWriter, status int, kind errkind.Kind, message string) {
	w.Header().Set(upstream.HeaderRan, string(errkind.RanNo))
	writeError(w, status, kind, message)
}
