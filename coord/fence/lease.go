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

	// driftDivisor adds 1/20 of the duration before a take-over, for clocks
	// that run at different rates.
	driftDivisor = 20
	// renewalsPerLease leaves room for two failed renewals.
	renewalsPerLease = 3
	callTries        = 3 // of one commit with an unknown outcome

	rowPrefix = "lease/"
)

var (
	// ErrHeld reports a lease that another holder may still have.
	ErrHeld = errors.New("lease held by another daemon")
	// ErrNotHeld reports an operation that needs the lease.
	ErrNotHeld = errors.New("lease not held")
)

// Options configures a Lease. Zero values mean the defaults.
type Options struct {
	Table store.Table
	// Name is the name of the lease; all candidates use the same one.
	Name string
	// Holder names this incarnation of this daemon.
	Holder string
	// Duration is the time for which one renewal counts.
	Duration time.Duration
	// MaxCall is the longest call that is started under the lease.
	MaxCall time.Duration
	// Clock measures the own lease; default SystemClock. It may run ahead.
	Clock Clock
	// WaitClock measures the lease and the calls of another holder; default
	// BootClock. It must not run ahead: a step forward would shorten the wait.
	WaitClock Clock
}

// row is the value of the table row.
type row struct {
	Holder string `json:"holder"`
	// Number is the fencing number.
	Number int64 `json:"number"`
	// Nonce is new for each write, so that a lost reply can be resolved.
	Nonce string `json:"nonce"`
	// DurationMs is the lease duration of the holder in milliseconds.
	DurationMs int64 `json:"duration_ms"`
	// MaxCallMs is the longest call of this and all earlier holders in
	// milliseconds.
	MaxCallMs int64 `json:"max_call_ms"`
	// Released says that the holder gave the lease back.
	Released bool `json:"released,omitempty"`
}

// Lease is one candidate for a lease. It is safe for concurrent use.
type Lease struct {
	o Options

	calls sync.Mutex // one table operation at a time

	mu        sync.Mutex
	version   int64         // of the row as last seen
	seen      time.Duration // when version was first seen, after the reply; WaitClock
	last      row
	number    int64
	until     time.Duration // the lease is held before this time; Clock
	safeAfter time.Duration // WaitClock
}

// New returns a Lease that is not held.
func New(o Options) *Lease {
	o.Duration = cmp.Or(o.Duration, DefaultDuration)
	o.MaxCall = cmp.Or(o.MaxCall, DefaultMaxCall)
	if o.Clock == nil {
		o.Clock = SystemClock()
	}
	if o.WaitClock == nil {
		o.WaitClock = BootClock
	}
	return &Lease{o: o}
}

// Held reports whether this candidate holds the lease now. It is checked right
// before each use.
func (l *Lease) Held() bool {
	_, held := l.Number()
	return held
}

// Number returns the fencing number, and whether the lease is held now.
func (l *Lease) Number() (number int64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.number, l.o.Clock() < l.until
}

// Remaining returns how long the lease is still held without a renewal; 0 when
// it is not held.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.until-l.o.Clock())
}

// SafeAfter returns how long to wait before a call to an upstream that ignores
// fencing numbers. It is 0 once no earlier holder can have a call in flight.
func (l *Lease) SafeAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.safeAfter-l.o.WaitClock())
}

// Acquire takes the lease when it is free or has lapsed. It returns ErrHeld
// until the row has not changed for the duration of its holder, and must be
// called repeatedly to find that out.
func (l *Lease) Acquire(ctx context.Context) error {
	l.calls.Lock()
	defer l.calls.Unlock()
	if l.Held() {
		return nil
	}
	if err := l.read(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	earlier, version, now := l.last, l.version, l.o.WaitClock()
	lapse := l.lapse()
	if now >= lapse && version != 0 {
		l.safeAfter = now + milliseconds(earlier.MaxCallMs)
	}
	l.mu.Unlock()
	if now < lapse {
		return fmt.Errorf("%w: %s, at least %v left", ErrHeld, earlier.Holder, lapse-now)
	}
	next := row{
		Holder:     l.o.Holder,
		Number:     earlier.Number + 1,
		DurationMs: l.o.Duration.Milliseconds(),
		MaxCallMs:  max(earlier.MaxCallMs, l.o.MaxCall.Milliseconds()),
	}
	return l.write(ctx, version, next)
}

// lapse returns when the lease of the row's holder has lapsed for certain. The
// caller holds mu.
func (l *Lease) lapse() time.Duration {
	if l.version == 0 || l.last.Released || l.last.Holder == l.o.Holder {
		// The last case is this process, which knows that it does not act.
		return 0
	}
	duration := milliseconds(l.last.DurationMs)
	return l.seen + duration + duration/driftDivisor
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Renew extends a held lease from the moment before the call.
func (l *Lease) Renew(ctx context.Context) error {
	l.calls.Lock()
	defer l.calls.Unlock()
	if !l.Held() {
		return ErrNotHeld
	}
	l.mu.Lock()
	next, version := l.last, l.version
	l.mu.Unlock()
	return l.write(ctx, version, next)
}

// Release gives the lease back, so that another candidate need not wait. The
// lease is not held any more when Release is called, whatever it returns.
func (l *Lease) Release(ctx context.Context) error {
	l.calls.Lock()
	defer l.calls.Unlock()
	l.mu.Lock()
	held := l.o.Clock() < l.until
	l.until = 0
	next, version := l.last, l.version
	l.mu.Unlock()
	if !held {
		return nil
	}
	next.Released = true
	return l.write(ctx, version, next)
}

// read notes the current row.
func (l *Lease) read(ctx context.Context) error {
	rows, err := l.o.Table.Get(ctx, rowPrefix+l.o.Name)
	if err != nil {
		return err
	}
	return l.note(rows[0])
}

// note remembers a row that was just read. Its age counts from now.
func (l *Lease) note(r store.Row) error {
	var value row
	if r.Version != 0 {
		if err := json.Unmarshal(r.Value, &value); err != nil {
			return fmt.Errorf("lease row %q is damaged: %w", r.Key, err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Version != l.version {
		l.version, l.seen = r.Version, l.o.WaitClock()
	}
	l.last = value
	if value.Holder != l.o.Holder || value.Number != l.number {
		l.until = 0 // another candidate took the lease over
	}
	return nil
}

// write replaces the row at version and, unless it is released, holds the lease
// for the duration from before the first attempt. After a lost reply it reads
// the row back and looks for its nonce.
func (l *Lease) write(ctx context.Context, version int64, next row) error {
	next.Nonce = rand.Text()
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	sent := l.o.Clock()
	op := store.Op{Key: rowPrefix + l.o.Name, Expect: version, Value: value}
	for range callTries {
		err = l.o.Table.Commit(ctx, []store.Op{op})
		conflict, isConflict := errors.AsType[*store.ConflictError](err)
		if isConflict {
			err = l.note(conflict.Current)
		} else if err == nil || !errors.Is(err, store.ErrUnavailable) {
			// The new version is known only after a read.
			err = l.read(ctx)
		}
		if err != nil {
			continue
		}
		if l.wrote(next, sent) {
			return nil
		}
		if isConflict {
			return ErrHeld
		}
	}
	return cmp.Or(err, error(store.ErrUnknown))
}

// wrote reports whether the row carries the nonce, and starts the lease if so.
func (l *Lease) wrote(next row, sent time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.Nonce != next.Nonce {
		return false
	}
	if !next.Released {
		l.number, l.until = next.Number, sent+l.o.Duration
	}
	return true
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (l *Lease) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.o.Duration / renewalsPerLease)
	defer ticker.Stop()
	for {
		// Errors are not final: the next tick tries again, and Held tells.
		if l.Held() {
			_ = l.Renew(ctx)
		} else {
			_ = l.Acquire(ctx)
		}
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.o.Duration)
			defer cancel()
			return l.Release(last)
		case <-ticker.C:
		}
	}
}
