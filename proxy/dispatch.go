package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/upstream"
)

// callUnary gets a complete, non-streamed response from the target.
func (s *Server) callUnary(ctx context.Context, m *modelRequest, target Target, priority int) (resp reply, err error) {
	defer s.recoverCall(m, &err)
	resp.target = target
	call, err := s.newCall(m, target, priority, false)
	if err != nil {
		return resp, err
	}
	s.options.Router.Started(m.route, target)
	prompt := s.startPrompt(m, target, 0)
	resp.result, err = s.options.Upstream.Complete(ctx, call)
	s.recordCall(ctx, m, target, prompt, err)
	s.reportFinished(ctx, m, target, resp.result, err)
	s.cancelAbandoned(ctx, call, err)
	if err == nil {
		err = holdResponse(m.request.Context(), resp.result.Body)
	}
	if err == nil {
		resp.text = string(resp.result.Body)
	}
	return resp, err
}

// recoverCall makes a panic of a call its error. Calls have goroutines of their own, whose
// panics would end the process.
func (s *Server) recoverCall(m *modelRequest, err *error) {
	if cause := recover(); cause != nil {
		s.options.Log.Error("call panicked", zap.String("request", m.route.RequestID), zap.Any("cause", cause), zap.Stack("stack"))
		*err = errkind.New(errkind.Internal, "a call failed by a fault of this daemon")
	}
}

// cancelTimeout bounds the request that cancels a call on its engine.
const cancelTimeout = time.Second

// cancelAbandoned tells the engine to stop a call whose context has ended,
// because an engine may continue to generate after its connection is closed.
func (s *Server) cancelAbandoned(ctx context.Context, call upstream.Call, err error) {
	if err == nil || ctx.Err() == nil {
		return
	}
	s.inBackground(call.RequestID, func() {
		limited, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if s.options.Upstream.Cancel(limited, call.URL, call.AttemptID) != nil {
			s.counters.cancelsFailed.Add(1)
		}
	})
}

// inBackground runs work that no response waits for. A panic ends only the work.
func (s *Server) inBackground(requestID string, work func()) {
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				s.options.Log.Error("background work panicked", zap.String("request", requestID), zap.Any("cause", cause), zap.Stack("stack"))
			}
		}()
		work()
	}()
}

// newCall prepares a call to an engine. Its BeforeWrite check keeps a daemon
// that was suspended between the plan and the write from sending by an outdated
// decision.
func (s *Server) newCall(m *modelRequest, target Target, priority int, stream bool) (upstream.Call, error) {
	body, err := m.chat.bodyFor(target.Model, stream)
	if err != nil {
		return upstream.Call{}, err
	}
	return upstream.Call{
		URL:         target.URL,
		RequestID:   m.route.RequestID,
		AttemptID:   uuid.NewString(),
		Model:       target.Model,
		Version:     target.Version,
		Deadline:    m.route.Deadline,
		Priority:    priority,
		Body:        body,
		BeforeWrite: func() error { return s.checkDispatch(m, target) },
	}, nil
}

// checkDispatch returns an error unless the version may run the request by the
// current configuration, halts and evidence.
func (s *Server) checkDispatch(m *modelRequest, target Target) error {
	if !time.Now().Before(m.route.Deadline) {
		return errkind.New(errkind.DeadlinePassed, "the deadline passed before the request was sent")
	}
	if err := s.checkQuarantine(m); err != nil {
		return err
	}
	if !s.options.Router.Usable(target) {
		return errkind.New(errkind.UpstreamRefused, "upstream %q takes no new work", target.Upstream)
	}
	allowed, err := s.allowedVersions(m.route.Organisation, m.route.Service, m.session.name)
	if err != nil {
		return err
	}
	if !slices.Contains(allowed, target.Version) {
		return errkind.New(errkind.NoAllowedVersion, "version %q may not be used any more", target.Version)
	}
	return nil
}

// reportFinished reports the end of a call to the Router.
func (s *Server) reportFinished(ctx context.Context, m *modelRequest, target Target, result upstream.Result, err error) {
	s.options.Router.Finished(Outcome{
		Request:          m.route,
		Target:           target,
		FirstToken:       result.FirstToken,
		Total:            result.Total,
		PromptTokens:     result.PromptTokens,
		CompletionTokens: result.CompletionTokens,
		Err:              err,
		Cancelled:        err != nil && ctx.Err() != nil && !errors.Is(err, upstream.ErrStreamIdle),
	})
}
