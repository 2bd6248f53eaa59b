package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/savoryshift/savoryshift/coord/claim"
	"github.com/savoryshift/savoryshift/errkind"
)

// TableClaims implements Claims with a claim.Claimer.
type TableClaims struct{ Claimer *claim.Claimer }

// claimWriteTimeout bounds how long a request waits for its outcome or the
// release of its claim to be stored. After it the claimer continues in the
// background.
const claimWriteTimeout = 250 * time.Millisecond

// Acquire implements Claims.
func (c TableClaims) Acquire(ctx context.Context, organisation, key string, fingerprint [32]byte) (Claim, *StoredOutcome, error) {
	k := claim.Key{Organisation: organisation, IdempotencyKey: key}
	for {
		acquired, err := c.Claimer.Acquire(ctx, k, claim.Fingerprint(fingerprint))
		if err != nil {
			return nil, nil, claimError(err)
		}
		switch acquired.State() {
		case claim.Won:
			return wonClaim{acquired}, nil, nil
		case claim.Done:
			return nil, toStoredOutcome(acquired.Outcome()), nil
		}
		outcome, err := c.Claimer.Wait(ctx, k, claim.Fingerprint(fingerprint))
		switch {
		case err == nil:
			return nil, toStoredOutcome(outcome), nil
		case errors.Is(err, claim.ErrReleased):
			continue // the claim was released, so the key can be claimed again
		}
		return nil, nil, claimError(err)
	}
}

// claimError maps the errors of package claim to error kinds of package
// errkind.
func claimError(err error) error {
	switch {
	case errors.Is(err, claim.ErrFingerprintMismatch):
		return errkind.Wrap(errkind.IdempotencyMismatch, err)
	case errors.Is(err, claim.ErrNotRun):
		return errkind.New(errkind.ClaimUnavailable, "this attempt was not run; whether an earlier one under the same key was, the platform could not be asked: %w", err)
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err)
}

func toStoredOutcome(o claim.Outcome) *StoredOutcome {
	return &StoredOutcome{Status: o.Status, Header: o.Header, Body: o.Body, At: time.UnixMilli(o.AtMs), Truncated: o.Truncated}
}

// wonClaim implements Claim for an attempt that won its claim.
type wonClaim struct{ claim *claim.Claim }

func (w wonClaim) BeginDispatch() error { return w.claim.BeginDispatch() }

func (w wonClaim) Complete(o StoredOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), claimWriteTimeout)
	defer cancel()
	// The claimer retries and counts a write that does not finish in time.
	_ = w.claim.Complete(ctx, claim.Outcome{Status: o.Status, Header: o.Header, Body: o.Body, AtMs: o.At.UnixMilli(), Truncated: o.Truncated})
}

func (w wonClaim) Release() {
	ctx, cancel := context.WithTimeout(context.Background(), claimWriteTimeout)
	defer cancel()
	_ = w.claim.Release(ctx) // retried by the claimer, as in Complete
}
