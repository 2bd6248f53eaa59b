package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/quarantine"
	"github.com/savoryshift/savoryshift/upstream"
)

// endInterval is the time within which two ends of one upstream count as the same: daemons
// see the end of its process at about the same time.
const endInterval = 2 * time.Second

// maxExaminationWait bounds the wait of a request for the examination of an upstream whose
// response broke.
const maxExaminationWait = 100 * time.Millisecond

// promptParts identifies the messages of a prompt. All of them count: a caller that
// repeats a prompt repeats its last message too.
func promptParts(messages []chatMessage) []quarantine.Part {
	// One more than are tracked shows that there are more.
	messages = messages[:min(len(messages), quarantine.MaxParts+1)]
	ids := make([]string, 0, len(messages)+1)
	for _, m := range messages {
		ids = append(ids, m.Role+"\x00"+string(json.RawMessage(m.Content)))
	}
	return quarantine.HashParts(append(ids, ""))
}

// quarantinedError is the cause of the refusal of a request whose prompt has a part that
// ends upstreams.
type quarantinedError struct{ quarantine.Decision }

func (e *quarantinedError) Error() string {
	return fmt.Sprintf("prompts with a message of this one have ended %d upstreams", e.Upstreams)
}

// refuseQuarantined returns an error of kind Quarantined if the prompt of a new request must
// not be sent to an upstream.
func (s *Server) refuseQuarantined(m *modelRequest) error {
	d := s.options.Quarantine.Check(m.chat.parts, time.Now())
	m.tests.Store(d.Test)
	return quarantineError(d)
}

// checkQuarantine is like refuseQuarantined for a further call, and right before a call is
// written.
func (s *Server) checkQuarantine(m *modelRequest) error {
	if m.tests.Load() {
		return nil
	}
	return quarantineError(s.options.Quarantine.Accuses(m.chat.parts, time.Now()))
}

// reconsiderQuarantine is like checkQuarantine after a call has failed, whose upstream may have
// ended.
func (s *Server) reconsiderQuarantine(m *modelRequest) error {
	m.tests.Store(false)
	return quarantineError(s.options.Quarantine.Reconsider(m.chat.parts, time.Now()))
}

func quarantineError(d quarantine.Decision) error {
	if !d.Refused {
		return nil
	}
	return errkind.Wrap(errkind.Quarantined, &quarantinedError{d})
}

// startPrompt returns what tells the quarantine what a target does with the prompt, in a call
// that starts after part number from.
func (s *Server) startPrompt(m *modelRequest, target Target, from int) *quarantine.Call {
	return s.options.Quarantine.Start(target.Upstream, quarantine.HashRequest(m.route.RequestID), m.chat.parts, from > 0, time.Now())
}

// recordCall records what the end of a call says about the prompt: an upstream has
// answered it, or may have ended under it. It waits for a short time until that is known,
// because a further upstream may end by the same prompt.
func (s *Server) recordCall(ctx context.Context, m *modelRequest, target Target, prompt *quarantine.Call, err error) {
	at := time.Now()
	switch {
	case err == nil:
		prompt.Finish(at)
	case ctx.Err() == nil && errkind.Of(err) == errkind.UpstreamFailed && errkind.RanOf(err) != errkind.RanNo && !reported(err):
		examined := make(chan struct{})
		s.inBackground(m.route.RequestID, func() {
			defer close(examined)
			s.examineEnd(m, target, prompt, at)
		})
		awaitExamination(ctx, examined)
	}
}

// awaitExamination waits for the end of an examination, for maxExaminationWait at most.
func awaitExamination(ctx context.Context, examined <-chan struct{}) {
	timer := time.NewTimer(maxExaminationWait)
	defer timer.Stop()
	select {
	case <-examined:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// reported reports whether an upstream that is alive has said that the call failed.
func reported(err error) bool {
	_, ok := errors.AsType[*upstream.ReportedError](err)
	return ok
}

// examineEnd records the end of an upstream whose response broke, if its host refuses
// connections.
func (s *Server) examineEnd(m *modelRequest, target Target, prompt *quarantine.Call, at time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if !s.options.Upstream.Refuses(ctx, target.URL) {
		return
	}
	prompt.EndOf(fmt.Sprintf("%s@%d", target.Upstream, at.UnixNano()/int64(endInterval)), at)
	s.options.Log.Info("upstream ended", zap.String("request", m.route.RequestID), zap.String("upstream", target.Upstream), zap.Int("messages", len(m.chat.parts)), zap.Duration("writing", prompt.Writing(at)))
}
