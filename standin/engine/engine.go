package engine

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
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

// HeaderOrganisation names the organisation of a call; it is only recorded.
const HeaderOrganisation = "X-Organisation"

// Profile describes how one version behaves.
type Profile struct {
	// TokensPerSecond is the speed of one slot; 0 means without delay.
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
	// Fallback is the profile of every other version; default no delay, no
	// errors and good answers.
	Fallback *Profile
	// Hold lists the versions held at the start; default every version of
	// Versions. An engine without either serves any version.
	Hold []string
	// Slots is how many requests run at once; default DefaultSlots.
	Slots int
	// QueueLimit bounds the waiting requests; default DefaultQueueLimit.
	QueueLimit int
	// CacheTokens is the memory of the prefix cache; default
	// DefaultCacheTokens.
	CacheTokens int
	// ChecksFencing refuses orders with a fencing number below the highest one
	// seen.
	ChecksFencing bool
	// LoadLag is the age of load reports; default DefaultLoadLag.
	LoadLag time.Duration
	// CacheEventLag is the age at which cache events are published; default
	// DefaultCacheEventLag.
	CacheEventLag time.Duration
	// CacheEventLoss is the share of cache events that are never published.
	CacheEventLoss float64
	// LoadTime is how long a version takes to load after an order.
	LoadTime time.Duration
	// Seed determines errors, lost events and the text of answers.
	Seed uint64
}

// Engine is the emulator. It is safe for concurrent use.
type Engine struct {
	o     Options
	mux   *http.ServeMux
	sched *scheduler
	cache *prefixCache
	runs  *runLog
	load  *loadHistory

	mu      sync.Mutex
	rng     *rand.Rand
	faults  Faults
	thawed  chan struct{} // closed while not frozen
	holding map[string]time.Time
	any     bool  // serves every version
	fencing int64 // highest fencing number seen
	kv      map[string]int
}

// New returns an engine that holds its first versions.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		o: o, mux: http.NewServeMux(), runs: newRunLog(), load: &loadHistory{},
		rng:    rand.New(rand.NewPCG(o.Seed, 1)),
		thawed: make(chan struct{}), holding: map[string]time.Time{}, kv: map[string]int{},
	}
	close(e.thawed)
	e.sched = newScheduler(o.Slots, o.QueueLimit, e.recordLoad)
	e.cache = newPrefixCache(o.CacheTokens)
	for _, version := range o.Hold {
		e.holding[version] = time.Time{}
	}
	e.any = len(o.Hold) == 0
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
	e.mux.HandleFunc("GET "+upstream.PathCacheEvents, e.cacheEvents)
	e.mux.HandleFunc("POST "+upstream.PathOrders, e.order)
	e.mux.HandleFunc("GET "+upstream.PathHeld, e.held)
	e.mux.HandleFunc("POST /v1/kv/export", e.exportKV)
	e.mux.HandleFunc("POST /v1/kv/import", e.importKV)
	e.mux.HandleFunc("GET /standin/runs", e.listRuns)
	e.mux.HandleFunc("POST /standin/faults", e.postFaults)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	// A completion waits after its body was read: only then does net/http notice
	// that the client has left.
	waits := !strings.HasPrefix(r.URL.Path, "/standin/") && r.URL.Path != upstream.PathCompletions
	if waits && !e.thaw(r.Context().Done()) {
		return
	}
	e.mux.ServeHTTP(w, r)
}

// Runs returns what the engine ran, in the order of the starts.
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

// fail writes an OpenAI-compatible error that makes no promise.
func fail(w http.ResponseWriter, status int, kind errkind.Kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody(kind, message))
}

func errorBody(kind errkind.Kind, message string) any {
	return map[string]any{"error": map[string]any{
		"message": message, "type": errkind.AnswerFor(kind).Type, "code": kind, "param": nil,
	}}
}

// refuse writes an error with the promise that the call does not run.
func refuse(w http.ResponseWriter, status int, kind errkind.Kind, message string) {
	w.Header().Set(upstream.HeaderRan, string(errkind.RanNo))
	fail(w, status, kind, message)
}
