package system

import (
	"slices"
	"time"

	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
	"github.com/savoryshift/savoryshift/upstream"
)

const (
	// OrderTimeout bounds one order. The next holder of the lease relies on it.
	OrderTimeout = 2 * time.Second
	// OrderRetry is the time between two tries of an order that failed.
	OrderRetry = time.Second
	// OrderRepeat is when an order is repeated to an engine that does not
	// report what it was told to hold, for example after a restart.
	OrderRepeat = 60 * time.Second
	// TransferTimeout bounds one request to the weight store.
	TransferTimeout = 2 * time.Second
	// upstreamsPerTick bounds the upstreams that Orders looks at in one tick.
	// The next tick goes on behind them, so 3,300 are seen once a second, which
	// is short against the time that a transfer takes.
	upstreamsPerTick = 330
	// DefaultLeaseTime is assumed for an earlier holder whose lease is unknown.
	DefaultLeaseTime = 10 * time.Second
)

// Transfer asks the weight store to send a version to an engine. Its result is
// a TransferResult.
type Transfer struct {
	Upstream, Version string
	Timeout           time.Duration
}

func (Transfer) effect() {}

// TransferResult is the end of a Transfer effect.
type TransferResult struct {
	Upstream, Version string
	Admitted          bool
	// RetryAfter is the wait that the weight store asks for.
	RetryAfter time.Duration
	// Failed says that the weight store gave no answer.
	Failed bool
}

// SendOrder sends an order to an engine. The call ends after Timeout at the
// latest, whatever its outcome. Its result is an OrderResult.
type SendOrder struct {
	Upstream, URL string
	Order         upstream.Order
	Timeout       time.Duration
}

func (SendOrder) effect() {}

// OrderResult is the end of a SendOrder effect.
type OrderResult struct {
	Upstream string
	Order    upstream.Order
	// Kind is the kind of the error, empty for a success.
	Kind errkind.Kind
}

// Orders brings each engine to hold the versions that the tree wants, when this
// daemon holds the lease. An order lists the versions that the engine has and
// those whose transfer the weight store has admitted, so a removal does not
// wait for a transfer. Orders carry the fencing number of the lease; to engines
// that ignore it, see fenced.
func Orders(t *table.Tables, now time.Time, in *Inputs) []Effect {
	transferResults(t, now, in.Transfers)
	orderResults(t, now, in.Orders)
	lease := in.OrderLease
	if !lease.usable(now, OrderTimeout) || lease.Fencing <= t.Orders.Superseded {
		return nil
	}
	var effects []Effect
	seen, after := 0, t.Orders.After
	t.Orders.After = ""
	for id, u := range t.Upstreams.All() {
		if id <= after && after != "" {
			continue
		}
		effects = append(effects, orderOne(t, id, u, lease, now)...)
		if seen++; seen == upstreamsPerTick {
			t.Orders.After = id
			break
		}
	}
	return effects
}

// orderOne asks for the next transfer to one engine and sends it an order when
// one is due.
func orderOne(t *table.Tables, id string, u *table.Upstream, lease Lease, now time.Time) []Effect {
	if u.Settings.Kind != tree.EngineUpstream || u.Leaving.Any() || u.Load.AsOf.IsZero() {
		return nil
	}
	want := wanted(t, u)
	effects := askTransfer(t, id, u, want, now)
	hold := holdNow(u, want)
	if !fenced(u, lease, now) || !orderDue(u, hold, lease, now) {
		return effects
	}
	u.Order.Pending = true
	return append(effects, SendOrder{
		Upstream: id, URL: u.Settings.URL, Order: upstream.Order{Fencing: lease.Fencing, Hold: hold}, Timeout: OrderTimeout,
	})
}

// wanted lists the versions that the engine should hold, without withdrawn and
// unknown ones.
func wanted(t *table.Tables, u *table.Upstream) []string {
	var want []string
	for _, id := range u.Settings.Versions {
		if v := t.Versions.Get(id); v != nil && v.State != tree.VersionWithdrawn {
			want = append(want, id)
		}
	}
	slices.Sort(want)
	return slices.Compact(want)
}

// holdNow is the part of want that the engine has or may load now.
func holdNow(u *table.Upstream, want []string) []string {
	hold := []string{}
	for _, id := range want {
		if slices.Contains(u.Load.Report.Held, id) || u.Order.Admitted[id] {
			hold = append(hold, id)
		}
	}
	return hold
}

// askTransfer asks for the first missing version that was not admitted yet, one
// request at a time and no sooner than the weight store allows.
func askTransfer(t *table.Tables, id string, u *table.Upstream, want []string, now time.Time) []Effect {
	if u.Order.TransferPending != "" || now.Before(u.Order.TransferAt) || now.Before(t.Orders.TransferAt) {
		return nil
	}
	for _, version := range want {
		if slices.Contains(u.Load.Report.Held, version) {
			delete(u.Order.Admitted, version)
			continue
		}
		if u.Order.Admitted[version] {
			continue
		}
		u.Order.TransferPending = version
		return []Effect{Transfer{Upstream: id, Version: version, Timeout: TransferTimeout}}
	}
	return nil
}

// fenced says whether no order of an earlier holder can still arrive. An engine
// that checks fencing numbers refuses such an order itself. For the others the
// issuer waits until the earlier holder's lease and its longest call have run
// out.
func fenced(u *table.Upstream, lease Lease, now time.Time) bool {
	if u.Settings.ChecksFencing {
		return true
	}
	expires, call := lease.PreviousExpires, lease.PreviousCall
	if expires.IsZero() {
		expires = lease.AcquiredAt.Add(DefaultLeaseTime)
	}
	if call == 0 {
		call = OrderTimeout
	}
	return now.After(expires.Add(call))
}

// orderDue says whether the order differs from the last accepted one, or was
// not carried out for long.
func orderDue(u *table.Upstream, hold []string, lease Lease, now time.Time) bool {
	o := &u.Order
	if o.Pending || now.Before(o.RetryAt) {
		return false
	}
	if o.AcceptedFencing != lease.Fencing {
		// The first order under a lease confirms what the engine holds.
		return len(hold) > 0 || len(u.Load.Report.Held) > 0
	}
	if !slices.Equal(o.Accepted, hold) {
		return true
	}
	return now.Sub(o.AcceptedAt) >= OrderRepeat && !slices.Equal(u.Load.Report.Held, hold)
}

func transferResults(t *table.Tables, now time.Time, results []TransferResult) {
	for _, result := range results {
		u := t.Upstreams.Get(result.Upstream)
		if u == nil || u.Order.TransferPending != result.Version {
			continue
		}
		u.Order.TransferPending = ""
		switch {
		case result.Admitted:
			if u.Order.Admitted == nil {
				u.Order.Admitted = map[string]bool{}
			}
			u.Order.Admitted[result.Version] = true
		case result.Failed:
			u.Order.TransferAt = now.Add(OrderRetry)
		default:
			t.Orders.TransferAt = now.Add(max(TickInterval, result.RetryAfter))
		}
	}
}

func orderResults(t *table.Tables, now time.Time, results []OrderResult) {
	for _, result := range results {
		u := t.Upstreams.Get(result.Upstream)
		if u == nil {
			continue
		}
		u.Order.Pending = false
		switch result.Kind {
		case "":
			u.Order.Accepted, u.Order.AcceptedFencing, u.Order.AcceptedAt = result.Order.Hold, result.Order.Fencing, now
		case errkind.Conflict:
			t.Orders.Superseded = max(t.Orders.Superseded, result.Order.Fencing)
		default:
			u.Order.RetryAt = now.Add(OrderRetry)
		}
	}
}
