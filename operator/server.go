package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/tree"
)

// DefaultMaxBodyBytes bounds the body of a request. The merge patch of a whole
// tree with 3,300 upstreams has 480 kB.
const DefaultMaxBodyBytes = 4 << 20

// ChangeLog is the log of changes of the settings tree. Package coord/changelog
// implements it.
type ChangeLog interface {
	// Append adds a change on top of its base. If the log already contains a
	// change with the same id, Append returns that change. The error is a
	// *changelog.ConflictError when the base is not the head.
	Append(ctx context.Context, c changelog.Change) (changelog.Change, error)
	Head(ctx context.Context) (changelog.Head, error)
	// Changes returns up to limit changes above revision after, in order.
	Changes(ctx context.Context, after int64, limit int) ([]changelog.Change, error)
}

// Acceptance tracks which daemons have acknowledged a revision.
type Acceptance interface {
	// Missing returns the zones and VMs that have not acknowledged a revision. It
	// returns none when the revision is in force everywhere.
	Missing(revision int64) (zones, vms []string)
}

// Halter distributes halt marks to all daemons.
type Halter interface {
	Halt(ctx context.Context, h Halt, reason string) error
}

// StatusSource returns the status of the daemon.
type StatusSource interface {
	Status() Status
}

// Options configures a Server. All interfaces are required.
type Options struct {
	Log        ChangeLog
	Acceptance Acceptance
	Halter     Halter
	Status     StatusSource
	// Snapshot returns the configuration in force, or nil. Reads of the head use
	// it while the log is unreachable. Optional.
	Snapshot func() *tree.Snapshot
	// Ready returns the reason why the daemon is not ready, or nil. Default:
	// always nil.
	Ready func() error
	// Tokens lists the tokens of the operators that may use the API.
	Tokens []settings.OperatorToken
	// MaxBodyBytes defaults to DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Vars answers GET /debug/vars; default expvar.Handler.
	Vars http.Handler
	// Counters counts edits, conflicts, refusals and halts. Default: a map that
	// isn't published.
	Counters *expvar.Map
	// Logger defaults to a logger that discards its output.
	Logger *zap.Logger
	// Now defaults to time.Now, and NewID to uuid.NewString.
	Now   func() time.Time
	NewID func() string
}

// Names of the counters.
const (
	countEdits     = "edits"
	countConflicts = "conflicts"
	countRefused   = "refused"
	countHalts     = "halts"
)

// Server serves the operator API. It is safe for concurrent use.
type Server struct {
	options   Options
	tokens    map[[sha256.Size]byte]settings.OperatorToken
	treeCache *treeCache
	// patching lets one patch be applied at a time: a decoded one takes many times its bytes.
	patching sync.Mutex
	mux      *http.ServeMux
}

// New returns a server.
func New(o Options) *Server {
	if o.Snapshot == nil {
		o.Snapshot = func() *tree.Snapshot { return nil }
	}
	if o.Ready == nil {
		o.Ready = func() error { return nil }
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if o.Vars == nil {
		o.Vars = expvar.Handler()
	}
	if o.Counters == nil {
		o.Counters = new(expvar.Map)
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	s := &Server{options: o, tokens: map[[sha256.Size]byte]settings.OperatorToken{}, treeCache: newTreeCache(o.Log), mux: http.NewServeMux()}
	for _, token := range o.Tokens {
		var digest [sha256.Size]byte
		if n, err := hex.Decode(digest[:], []byte(token.SHA256)); err == nil && n == len(digest) {
			s.tokens[digest] = token
		}
	}
	s.registerRoutes()
	return s
}

func (s *Server) registerRoutes() {
	s.mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "live") })
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("GET /debug/vars", s.withRole(settings.Viewer, func(w http.ResponseWriter, r *http.Request, _ string) error {
		s.options.Vars.ServeHTTP(w, r)
		return nil
	}))
	s.handleRead("GET /v1/tree", s.getTree)
	s.handleRead("GET /v1/effective", s.getEffective)
	s.handleRead("GET /v1/diff", s.getDiff)
	s.handleRead("GET /v1/changes", s.getChanges)
	s.handleRead("GET /v1/changes/{revision}/status", s.getChangeStatus)
	s.handleRead("GET /v1/status", func(*http.Request) (any, error) { return s.options.Status.Status(), nil })
	s.handleEdit("POST /v1/changes", s.postChange)
	s.handleEdit("POST /v1/versions/{id}/withdraw", s.action(withdraw))
	s.handleEdit("POST /v1/rollouts/{id}/start", s.action(startRollout))
	s.handleEdit("POST /v1/rollouts/{id}/pause", s.action(rolloutTransition(tree.RolloutPaused, tree.RolloutRunning)))
	s.handleEdit("POST /v1/rollouts/{id}/continue", s.action(rolloutTransition(tree.RolloutRunning, tree.RolloutPaused)))
	s.handleEdit("POST /v1/rollouts/{id}/abort", s.action(rolloutTransition(tree.RolloutAborted, tree.RolloutRunning, tree.RolloutPaused, tree.RolloutDone)))
	s.handleEdit("POST /v1/upstreams/{id}/drain", s.action(drain))
	s.handleEdit("POST /v1/halts", s.postHalt)
}

// handleRead registers a handler that requires the role viewer.
func (s *Server) handleRead(pattern string, h func(*http.Request) (any, error)) {
	s.mux.HandleFunc(pattern, s.withRole(settings.Viewer, func(w http.ResponseWriter, r *http.Request, _ string) error {
		value, err := h(r)
		if err == nil {
			writeJSON(w, http.StatusOK, value)
		}
		return err
	}))
}

// handleEdit registers a handler that requires the role editor. It counts
// conflicts and other refusals.
func (s *Server) handleEdit(pattern string, h func(r *http.Request, author string) (any, error)) {
	s.mux.HandleFunc(pattern, s.withRole(settings.Editor, func(w http.ResponseWriter, r *http.Request, author string) error {
		value, err := h(r, author)
		if err == nil {
			writeJSON(w, http.StatusOK, value)
			return nil
		}
		if _, conflict := errors.AsType[*changelog.ConflictError](err); conflict {
			s.options.Counters.Add(countConflicts, 1)
		} else {
			s.options.Counters.Add(countRefused, 1)
		}
		return err
	}))
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.options.Ready(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, "ready")
}
