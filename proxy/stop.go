package proxy

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
)

// errStopped is the cancellation cause of the requests that a planned stop ends.
var errStopped = errors.New("the daemon stopped before the answer was complete")

// plannedStop is the planned stop of a daemon, if one has begun.
type plannedStop struct {
	end atomic.Pointer[time.Time]
	// base is the parent of the contexts of all requests.
	base   context.Context
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// running holds the ids of the requests that are not answered yet.
	running map[string]struct{}
}

// init prepares the context of the requests.
func (p *plannedStop) init() {
	p.base, p.cancel = context.WithCancelCause(context.Background())
	p.running = make(map[string]struct{})
}

// StopBy begins a planned stop, which ends requests that still run at the given
// time. From then on a request whose deadline is later is refused before it is passed
// on, so that another daemon can run it.
func (s *Server) StopBy(end time.Time) { s.stop.end.Store(&end) }

// BaseContext is for the field of http.Server, so that EndRequests reaches the
// requests of the server.
func (s *Server) BaseContext(net.Listener) context.Context { return s.stop.base }

// EndRequests ends the requests that still run. Each gets an error answer, or its
// stream ends with an error event.
func (s *Server) EndRequests() { s.stop.cancel(errStopped) }

// Running returns the ids of the requests that are not answered yet.
func (s *Server) Running() []string {
	s.stop.mu.Lock()
	defer s.stop.mu.Unlock()
	ids := make([]string, 0, len(s.stop.running))
	for id := range s.stop.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (p *plannedStop) add(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[id] = struct{}{}
}

func (p *plannedStop) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, id)
}

// refuse returns an error if a request with the deadline may outlast the stop.
func (p *plannedStop) refuse(deadline time.Time) error {
	if end := p.end.Load(); end != nil && deadline.After(*end) {
		return errkind.New(errkind.ShuttingDown, "this daemon stops %s before the deadline of the request", deadline.Sub(*end).Round(time.Millisecond))
	}
	return nil
}

// endedByStop reports whether EndRequests ended a request.
func endedByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopped) }

// stopError replaces the kind of the error of a request that EndRequests ended by
// ShuttingDown. It keeps what is known of the execution, and errors that say that a
// repeat is of no use.
func (s *Server) stopError(ctx context.Context, id string, err error) error {
	if err == nil || !endedByStop(ctx) {
		return err
	}
	ran := errkind.RanOf(err)
	s.options.Log.Warn("request ended by the planned stop", zap.String("request", id), zap.String("ran", string(ran)), zap.Error(err))
	if !errkind.AnswerFor(errkind.Of(err)).Retry {
		return err
	}
	return errkind.WithRan(errkind.Wrap(errkind.ShuttingDown, err), ran)
}
