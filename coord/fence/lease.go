package fence

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

// Defaults of Options.
const (
	DefaultDuration = 10 * time.Second
	DefaultMaxCall  = 30 * time.Second

	// driftDivisor sets the drift allowance: a candidate waits for an additional
	// 1/20 of the duration before a take-over, because clocks may run at
	// different rates.
	driftDivisor = 20
	// renewalsPerLease is the number of renewals per lease duration; with 3 the
	// lease survives two failed renewals.
	renewalsPerLease = 3
	// maxCommitAttempts bounds the attempts of one write to the lease row.
	maxCommitAttempts = 3

	rowPrefix = "lease/"
)

var (
	// ErrHeld reports a lease that another candidate may still hold.
	ErrHeld = errors.New("lease held by another daemon")
	// ErrNotHeld reports an operation that requires the lease, called by a
	// candidate that does not hold it.
	ErrNotHeld = errors.New("lease not held")
)

// Options configures a Lease. Zero values mean the defaults.
type Options struct {
	// Table holds the row of the lease. It is required.
	Table store.Table
	// Name is the name of the lease; all candidates use the same name.
	Name string
	// Holder identifies this incarnation of this daemon.
	Holder string
	// Duration is the time for which an acquisition or renewal is valid; default
	// DefaultDuration.
	Duration time.Duration
	// MaxCall is the duration of the longest call made under the lease; default
	// DefaultMaxCall.
	MaxCall time.Duration
	// Clock measures the lease while this candidate holds it; default
	// SystemClock. It may run ahead.
	Clock Clock
	// WaitClock measures the lease and the calls of another holder; default
	// BootClock. It must not run ahead: a step forward would shorten the wait.
	WaitClock Clock
}

// row is the value of the table row.
type row struct {
	Holder string `json:"holder"`
	// Number is the fencing token.
	Number int64 `json:"number"`
	// Nonce is unique to each write. After a lost reply, the writer reads the row
	// back and compares the nonce to find out whether the write took effect.
	Nonce string `json:"nonce"`
	// DurationMs is the lease duration of the holder in milliseconds.
	DurationMs int64 `json:"duration_ms"`
	// MaxCallMs is the duration of the longest call of this and all earlier
	// holders in milliseconds.
	MaxCallMs int64 `json:"max_call_ms"`
	// Released is true when the holder has released the lease.
	Released bool `json:"released,omitempty"`
}

// Lease is the access of one candidate to a lease. It is safe for concurrent use.
type Lease struct {
	options Options

	tableMu sync.Mutex // serialises operations on the table

	mu            sync.Mutex
	version       int64         // version of lastRow
	versionSeenAt time.Duration // time after the reply that first showed version; on WaitClock
	lastRow       row
	number        int64         // fencing token of the last acquisition
	heldUntil     time.Duration // the lease is held before this time; on Clock
	safeAfter     time.Duration // end of the wait that SafeAfter reports; on WaitClock
}

// New returns a Lease that is not held.
func New(options Options) *Lease {
	options.Duration = cmp.Or(options.Duration, DefaultDuration)
	options.MaxCall = cmp.Or(options.MaxCall, DefaultMaxCall)
	if options.Clock == nil {
		options.Clock = SystemClock()
	}
	if options.WaitClock == nil {
		options.WaitClock = BootClock
	}
	return &Lease{options: options}
}

// Held reports whether this candidate holds the lease at this moment. The caller
// must check it right before each use.
func (l *Lease) Held() bool {
	_, held := l.Number()
	return held
}

// Number returns the fencing token, and whether the lease is held at this
// moment.
func (l *Lease) Number() (number int64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.number, l.options.Clock() < l.heldUntil
}

// Remaining returns how long the lease remains held without a renewal, or 0 when
// it is not held.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.heldUntil-l.options.Clock())
}

// SafeAfter returns how long to wait before a call to an upstream that ignores
// fencing tokens. It returns 0 when no earlier holder can have a call in flight.
func (l *Lease) SafeAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.safeAfter-l.options.WaitClock())
}

// Acquire takes the lease when it is free or has expired. It returns ErrHeld
// until it has seen the same version of the row for the lease duration of the
// holder, so the caller must call it repeatedly.
func (l *Lease) Acquire(ctx context.Context) error {
	l.tableMu.Lock()
	defer l.tableMu.Unlock()
	if l.Held() {
		return nil
	}
	if err := l.readRow(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	earlier, version, now := l.lastRow, l.version, l.options.WaitClock()
	expiresAt := l.expiresAt()
	if now >= expiresAt && version != 0 {
		l.safeAfter = now + milliseconds(earlier.MaxCallMs)
	}
	l.mu.Unlock()
	if now < expiresAt {
		return fmt.Errorf("%w: %s, at least %v left", ErrHeld, earlier.Holder, expiresAt-now)
	}
	next := row{
		Holder:     l.options.Holder,
		Number:     earlier.Number + 1,
		DurationMs: l.options.Duration.Milliseconds(),
		MaxCallMs:  max(earlier.MaxCallMs, l.options.MaxCall.Milliseconds()),
	}
	return l.writeRow(ctx, version, next)
}

// expiresAt returns the time, on WaitClock, at which the lease of the row's
// holder has certainly expired. The caller must hold mu.
func (l *Lease) expiresAt() time.Duration {
	if l.version == 0 || l.lastRow.Released || l.lastRow.Holder == l.options.Holder {
		// A row of this holder does not block: Acquire has checked that the lease
		// is not held, so this process makes no calls under it.
		return 0
	}
	duration := milliseconds(l.lastRow.DurationMs)
	return l.versionSeenAt + duration + duration/driftDivisor
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Renew extends a held lease by its duration, counted from the start of the call.
func (l *Lease) Renew(ctx context.Context) error {
	l.tableMu.Lock()
	defer l.tableMu.Unlock()
	if !l.Held() {
		return ErrNotHeld
	}
	l.mu.Lock()
	next, version := l.lastRow, l.version
	l.mu.Unlock()
	return l.writeRow(ctx, version, next)
}

// Release releases the lease, so that another candidate can acquire it without
// waiting. This candidate stops holding the lease even if Release returns an
// error.
func (l *Lease) Release(ctx context.Context) error {
	l.tableMu.Lock()
	defer l.tableMu.Unlock()
	l.mu.Lock()
	held := l.options.Clock() < l.heldUntil
	l.heldUntil = 0
	next, version := l.lastRow, l.version
	l.mu.Unlock()
	if !held {
		return nil
	}
	next.Released = true
	return l.writeRow(ctx, version, next)
}

// readRow reads the row of the lease and records it.
func (l *Lease) readRow(ctx context.Context) error {
	rows, err := l.options.Table.Get(ctx, rowPrefix+l.options.Name)
	if err != nil {
		return err
	}
	return l.observeRow(rows[0])
}

// observeRow records a row that was just read. A version that is seen for the
// first time is counted as unchanged since this moment.
func (l *Lease) observeRow(r store.Row) error {
	var value row
	if r.Version != 0 {
		if err := json.Unmarshal(r.Value, &value); err != nil {
			return fmt.Errorf("lease row %q is damaged: %w", r.Key, err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Version != l.version {
		l.version, l.versionSeenAt = r.Version, l.options.WaitClock()
	}
	l.lastRow = value
	if value.Holder != l.options.Holder || value.Number != l.number {
		l.heldUntil = 0 // another candidate has taken the lease over
	}
	return nil
}

// writeRow replaces the row at version. Unless next releases the lease, the lease
// is then held for its duration, counted from before the first attempt. After a
// lost reply writeRow reads the row back and looks for its nonce.
func (l *Lease) writeRow(ctx context.Context, version int64, next row) error {
	next.Nonce = rand.Text()
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	sent := l.options.Clock()
	op := store.Op{Key: rowPrefix + l.options.Name, Expect: version, Value: value}
	for range maxCommitAttempts {
		err = l.options.Table.Commit(ctx, []store.Op{op})
		conflict, isConflict := errors.AsType[*store.ConflictError](err)
		if isConflict {
			err = l.observeRow(conflict.Current)
		} else if err == nil || !errors.Is(err, store.ErrUnavailable) {
			// Commit does not return the new version, so the row is read back.
			err = l.readRow(ctx)
		}
		if err != nil {
			continue
		}
		if l.confirmWrite(next, sent) {
			return nil
		}
		if isConflict {
			return ErrHeld
		}
	}
	return cmp.Or(err, error(store.ErrUnknown))
}

// confirmWrite reports whether the row read last has the nonce of next. If so, it
// starts or extends the lease, unless next releases it.
func (l *Lease) confirmWrite(next row, sent time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastRow.Nonce != next.Nonce {
		return false
	}
	if !next.Released {
		l.number, l.heldUntil = next.Number, sent+l.options.Duration
	}
	return true
}

// Run acquires and renews the lease until ctx is done, and then releases it.
func (l *Lease) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.options.Duration / renewalsPerLease)
	defer ticker.Stop()
	for {
		// Errors are ignored: the next tick tries again, and callers check Held.
		if l.Held() {
			_ = l.Renew(ctx)
		} else {
			_ = l.Acquire(ctx)
		}
		select {
		case <-ctx.Done():
			releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.options.Duration)
			defer cancel()
			return l.Release(releaseCtx)
		case <-ticker.C:
		}
	}
}
