package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/savoryshift/savoryshift/coord/claim"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/session"
)

// claims implements proxy.Claims on coord/claim.
type claims struct{ claimer *claim.Claimer }

// settleTimeout is how long an answer waits for its outcome to be stored before
// the write goes on in the background.
const settleTimeout = 250 * time.Millisecond

// Acquire implements proxy.Claims.
func (c claims) Acquire(ctx context.Context, organisation, key string, fingerprint [32]byte) (proxy.Claim, *proxy.StoredOutcome, error) {
	k := claim.Key{Organisation: organisation, IdempotencyKey: key}
	for {
		won, err := c.claimer.Acquire(ctx, k, claim.Fingerprint(fingerprint))
		if err != nil {
			return nil, nil, claimError(err)
		}
		switch won.State() {
		case claim.Won:
			return wonClaim{won}, nil, nil
		case claim.Done:
			return nil, stored(won.Outcome()), nil
		}
		outcome, err := c.claimer.Wait(ctx, k, claim.Fingerprint(fingerprint))
		switch {
		case err == nil:
			return nil, stored(outcome), nil
		case errors.Is(err, claim.ErrReleased):
			continue // the key is free again
		}
		return nil, nil, claimError(err)
	}
}

// claimError maps the errors of package claim to the closed list.
func claimError(err error) error {
	switch {
	case errors.Is(err, claim.ErrFingerprintMismatch):
		return errkind.Wrap(errkind.IdempotencyMismatch, err)
	case errors.Is(err, claim.ErrNotRun):
		return errkind.Wrap(errkind.ClaimUnavailable, err)
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err)
}

func stored(o claim.Outcome) *proxy.StoredOutcome {
	return &proxy.StoredOutcome{Status: o.Status, Header: o.Header, Body: o.Body, Truncated: o.Truncated}
}

// wonClaim implements proxy.Claim.
type wonClaim struct{ c *claim.Claim }

func (w wonClaim) BeginDispatch() error { return w.c.BeginDispatch() }

func (w wonClaim) Complete(o proxy.StoredOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	// A deferred write is retried and counted by the claimer.
	_ = w.c.Complete(ctx, claim.Outcome{Status: o.Status, Header: o.Header, Body: o.Body, Truncated: o.Truncated})
}

func (w wonClaim) Release() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_ = w.c.Release(ctx) // as in Complete
}

// sessions implements proxy.Sessions on package session.
type sessions struct{ ring *session.Ring }

// rater implements proxy.Rater on the platform's rating service.
type rater struct{ platform *platform.Client }

// Rate implements proxy.Rater.
func (r rater) Rate(ctx context.Context, j proxy.Judgement) (bool, error) {
	reply, err := r.platform.Rate(ctx, platform.RatingRequest{
		RequestID: j.RequestID,
		Model:     j.Model,
		Version:   j.Version,
		Class:     j.Class,
		Prompt:    j.Prompt,
		Answer:    j.Answer,
	})
	return reply.Good, err
}

// Sign implements proxy.Sessions.
func (s sessions) Sign(p proxy.SessionPin) (string, error) {
	return s.ring.Issue(session.Token{
		Organisation: p.Organisation,
		Service:      p.Service,
		Session:      p.ID,
		Name:         p.Name,
		Versions:     p.Versions,
	})
}

// Verify implements proxy.Sessions.
func (s sessions) Verify(token, organisation string) (proxy.SessionPin, error) {
	t, err := s.ring.Verify(token, organisation)
	if err != nil {
		return proxy.SessionPin{}, err
	}
	return proxy.SessionPin{
		Organisation: t.Organisation,
		Service:      t.Service,
		ID:           t.Session,
		Name:         t.Name,
		Versions:     t.Versions,
	}, nil
}
