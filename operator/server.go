package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"expvar"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/tree"
)

// DefaultMaxBodyBytes bounds the body of a request; the merge patch of a whole
// tree with 3,300 upstreams has 480 kB.
const DefaultMaxBodyBytes = 4 << 20

// ChangeLog is the log of accepted changes (coord/changelog).
type ChangeLog interface {
	// Append adds a change on top of its base. A repeated id returns the
	// change that is already in the log. The error is a
	// *changelog.ConflictError when the base is not the head.
	Append(ctx context.Context, c changelog.Change) (changelog.Change, error)
	Head(ctx context.Context) (changelog.Head, error)
	// Changes returns up to limit changes above revision after, in order.
	Changes(ctx context.Context, after int64, limit int) ([]changelog.Change, error)
}

// Acceptance knows which daemons have a revision in force.
type Acceptance interface {
	// Missing returns the zones and VMs whose acknowledgement is missing; none
	// when the revision is in force everywhere.
	Missing(revision int64) (zones, vms []string)
}

// Halter spreads halt marks.
type Halter interface {
	Halt(ctx context.Context, h Halt, reason string) error
}

// StatusSource describes the daemon.
type StatusSource interface {
	Status() Status
}

// Options configures a Server. All interfaces are required.
type Options struct {
	Log        ChangeLog
	Acceptance Acceptance
	Halter     Halter
	Status     StatusSource
	// Snapshot returns the configuration in force, or nil. It answers reads
	// while the log is unreachable. Optional.
	Snapshot func() *tree.Snapshot
	// Ready returns why the daemon is not ready, or nil. Default: always nil.
	Ready func() error
	// Tokens lists who may use the API.
	Tokens []settings.OperatorToken
	// MaxBodyBytes defaults to DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Vars answers GET /debug/vars; default expvar.Handler.
	Vars http.Handler
	// Counters counts edits, conflicts, refusals and halts; default a map that
	// isn't published.
	Counters *expvar.Map
	// Logger defaults to none.
	Logger *zap.Logger
	// Now defaults to time.Now, NewID to a new UUID.
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
	o      Options
	tokens map[[sha256.Size]byte]settings.OperatorToken
	trees  *trees
	mux    *http.ServeMux
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
	s := &Server{o: o, tokens: map[[sha256.Size]byte]settings.OperatorToken{}, trees: newTrees(o.Log), mux: http.NewServeMux()}
	for _, token := range o.Tokens {
		var digest [sha256.Size]byte
		if n, err := hex.Decode(digest[:], []byte(token.SHA256)); err == nil && n == len(digest) {
			s.tokens[digest] = token
		}
	}
	s.routes()
	return s
}

func (s *Server) routes() {
	s.mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "live") })
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("GET /debug/vars", s.withRole(settings.Viewer, func(w http.ResponseWriter, r *http.Request, _ string) error {
		s.o.Vars.ServeHTTP(w, r)
		return nil
	}))
	s.read("GET /v1/tree", s.getTree)
	s.read("GET /v1/effective", s.getEffective)
	s.read("GET /v1/diff", s.getDiff)
	s.read("GET /v1/changes", s.getChanges)
	s.read("GET /v1/changes/{revision}/status", s.getChangeStatus)
	s.read("GET /v1/status", func(*http.Request) (any, error) { return s.o.Status.Status(), nil })
	s.edit("POST /v1/changes", s.postChange)
	s.edit("POST /v1/versions/{id}/withdraw", s.action(withdraw))
	s.edit("POST /v1/rollouts/{id}/start", s.action(startRollout))
	s.edit("POST /v1/rollouts/{id}/pause", s.action(rolloutStep(tree.RolloutPaused, tree.RolloutRunning)))
	s.edit("POST /v1/rollouts/{id}/continue", s.action(rolloutStep(tree.RolloutRunning, tree.RolloutPaused)))
	s.edit("POST /v1/rollouts/{id}/abort", s.action(rolloutStep(tree.RolloutAborted, tree.RolloutRunning, tree.RolloutPaused, tree.RolloutDone)))
	s.edit("POST /v1/upstreams/{id}/drain", s.action(drain))
	s.edit("POST /v1/halts", s.postHalt)
}

// read registers a handler that needs the role viewer.
func (s *Server) read(pattern string, h func(*http.Request) (any, error)) {
	s.mux.HandleFunc(pattern, s.withRole(settings.Viewer, func(w http.ResponseWriter, r *http.Request, _ string) error {
		value, err := h(r)
		if err == nil {
			answer(w, http.StatusOK, value)
		}
		return err
	}))
}

// edit registers a handler that needs the role editor.
func (s *Server) edit(pattern string, h func(r *http.Request, author string) (any, error)) {
	s.mux.HandleFunc(pattern, s.withRole(settings.Editor, func(w http.ResponseWriter, r *http.Request, author string) error {
		value, err := h(r, author)
		if err == nil {
			answer(w, http.StatusOK, value)
			return nil
		}
		if _, conflict := errors.AsType[*changelog.ConflictError](err); conflict {
			s.o.Counters.Add(countConflicts, 1)
		} else {
			s.o.Counters.Add(countRefused, 1)
		}
		return err
	}))
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, s.o.MaxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.o.Ready(); err != nil {
		answer(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	answer(w, http.StatusOK, "ready")
}
