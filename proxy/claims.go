package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/savoryshift/savoryshift/coord/claim"
	"github.com/savoryshift/savoryshift/errkind"
)

// TableClaims implements Claims on coord/claim.
type TableClaims struct{ Claimer *claim.Claimer }

// settleTimeout is how long an answer waits for its outcome to be stored before
// the write goes on in the background.
const settleTimeout = 250 * time.Millisecond

// Acquire implements Claims.
func (c TableClaims) Acquire(ctx context.Context, organisation, key string, fingerprint [32]byte) (Claim, *StoredOutcome, error) {
	k := claim.Key{Organisation: organisation, IdempotencyKey: key}
	for {
		won, err := c.Claimer.Acquire(ctx, k, claim.Fingerprint(fingerprint))
		if err != nil {
			return nil, nil, claimError(err)
		}
		switch won.State() {
		case claim.Won:
			return wonClaim{won}, nil, nil
		case claim.Done:
			return nil, stored(won.Outcome()), nil
		}
		outcome, err := c.Claimer.Wait(ctx, k, claim.Fingerprint(fingerprint))
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
		return errkind.New(errkind.ClaimUnavailable, "this attempt was not run; whether an earlier one under the same key was, the platform could not be asked: %w", err)
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err)
}

func stored(o claim.Outcome) *StoredOutcome {
	return &StoredOutcome{Status: o.Status, Header: o.Header, Body: o.Body, At: time.UnixMilli(o.AtMs), Truncated: o.Truncated}
}

// wonClaim implements Claim.
type wonClaim struct{ c *claim.Claim }

func (w wonClaim) BeginDispatch() error { return w.c.BeginDispatch() }

func (w wonClaim) Complete(o StoredOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	// A deferred write is retried and counted by the claimer.
	_ = w.c.Complete(ctx, claim.Outcome{Status: o.Status, Header: o.Header, Body: o.Body, AtMs: o.At.UnixMilli(), Truncated: o.Truncated})
}

func (w wonClaim) Release() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_ = w.c.Release(ctx) // as in Complete
}
