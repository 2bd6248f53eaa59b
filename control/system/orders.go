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
	// OrderTimeout bounds the duration of one order. The next holder of the lease
	// waits that long for orders of the previous one.
	OrderTimeout = 2 * time.Second
	// OrderRetry is the backoff after an order or transfer request that failed.
	OrderRetry = time.Second
	// OrderRepeat is the time after which an accepted order is repeated to an
	// engine that does not report the versions in it, for example after a
	// restart.
	OrderRepeat = 60 * time.Second
	// TransferTimeout bounds one request to the weight store.
	TransferTimeout = 2 * time.Second
	// upstreamsPerTick bounds the upstreams that Orders visits in one tick. The
	// next tick continues after them, so that 3,300 upstreams are visited once a
	// second, which is short compared with the duration of a transfer.
	upstreamsPerTick = 330
	// DefaultLeaseTime is the lease time assumed for a previous holder whose
	// lease is unknown.
	DefaultLeaseTime = 10 * time.Second
)

// Transfer asks the weight store to send a version to an engine. Its result is
// a TransferResult.
type Transfer struct {
	Upstream, Version string
	Timeout           time.Duration
}

func (Transfer) effect() {}

// TransferResult is the result of a Transfer effect.
type TransferResult struct {
	Upstream, Version string
	Admitted          bool
	// RetryAfter is the time that the weight store asks to wait after a refusal.
	RetryAfter time.Duration
	// Failed reports whether the request to the weight store failed.
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

// OrderResult is the result of a SendOrder effect.
type OrderResult struct {
	Upstream string
	Order    upstream.Order
	// Kind is the kind of the error, empty for a success.
	Kind errkind.Kind
}

// Orders reconciles the versions that each engine holds with those that the
// settings tree assigns to it, while this daemon holds the lease. An order lists
// the versions that the engine has and those whose transfer the weight store has
// admitted, so that a removal does not wait for a transfer. Orders carry the
// fencing token of the lease; staleOrdersExcluded covers the engines that ignore
// it.
func Orders(t *table.Tables, now time.Time, in *Inputs) []Effect {
	applyTransferResults(t, now, in.Transfers)
	applyOrderResults(t, now, in.Orders)
	lease := in.OrderLease
	if !lease.usable(now, OrderTimeout) || lease.Fencing <= t.Orders.Superseded {
		return nil
	}
	var effects []Effect
	visited, cursor := 0, t.Orders.Cursor
	t.Orders.Cursor = ""
	for id, u := range t.Upstreams.All() {
		if id <= cursor && cursor != "" {
			continue
		}
		effects = append(effects, reconcileEngine(t, id, u, lease, now)...)
		if visited++; visited == upstreamsPerTick {
			t.Orders.Cursor = id
			break
		}
	}
	return effects
}

// reconcileEngine requests the next transfer to one engine and sends the engine
// an order when one is due.
func reconcileEngine(t *table.Tables, id string, u *table.Upstream, lease Lease, now time.Time) []Effect {
	if u.Settings.Kind != tree.EngineUpstream || u.Leaving.Any() || u.Load.AsOf.IsZero() {
		return nil
	}
	want := desiredVersions(t, u)
	effects := requestTransfer(t, id, u, want, now)
	hold := loadableVersions(u, want)
	if !staleOrdersExcluded(u, lease, now) || !orderDue(u, hold, lease, now) {
		return effects
	}
	u.Order.Pending = true
	return append(effects, SendOrder{
		Upstream: id, URL: u.Settings.URL, Order: upstream.Order{Fencing: lease.Fencing, Hold: hold}, Timeout: OrderTimeout,
	})
}

// desiredVersions returns the sorted versions that the settings assign to the
// engine, without withdrawn and unknown ones.
func desiredVersions(t *table.Tables, u *table.Upstream) []string {
	var want []string
	for _, id := range u.Settings.Versions {
		if v := t.Versions.Get(id); v != nil && v.State != tree.VersionWithdrawn {
			want = append(want, id)
		}
	}
	slices.Sort(want)
	return slices.Compact(want)
}

// loadableVersions returns the versions of want that the engine holds or whose
// transfer the weight store has admitted.
func loadableVersions(u *table.Upstream, want []string) []string {
	hold := []string{}
	for _, id := range want {
		if slices.Contains(u.Load.Report.Held, id) || u.Order.Admitted[id] {
			hold = append(hold, id)
		}
	}
	return hold
}

// requestTransfer requests the transfer of the first version of want that the
// engine lacks and that was not admitted yet, one request at a time and no
// sooner than the weight store allows.
func requestTransfer(t *table.Tables, id string, u *table.Upstream, want []string, now time.Time) []Effect {
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

// staleOrdersExcluded reports whether no order of a previous lease holder can
// take effect any more. An engine that checks fencing tokens refuses such an
// order itself. For other engines this daemon waits until the previous lease has
// expired and the longest call of its holder has timed out.
func staleOrdersExcluded(u *table.Upstream, lease Lease, now time.Time) bool {
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

// orderDue reports whether an order should be sent: because it differs from the
// last accepted one, because that one has not taken effect within OrderRepeat,
// or because it is the first under this lease.
func orderDue(u *table.Upstream, hold []string, lease Lease, now time.Time) bool {
	o := &u.Order
	if o.Pending || now.Before(o.RetryAt) {
		return false
	}
	if o.AcceptedFencing != lease.Fencing {
		// The first order under a lease also confirms an unchanged set of
		// versions. An engine without versions needs none.
		return len(hold) > 0 || len(u.Load.Report.Held) > 0
	}
	if !slices.Equal(o.Accepted, hold) {
		return true
	}
	return now.Sub(o.AcceptedAt) >= OrderRepeat && !slices.Equal(u.Load.Report.Held, hold)
}

func applyTransferResults(t *table.Tables, now time.Time, results []TransferResult) {
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

func applyOrderResults(t *table.Tables, now time.Time, results []OrderResult) {
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
