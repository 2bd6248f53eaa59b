package table

import "time"

// Order is the state of the orders to one engine.
type Order struct {
	// Admitted lists the versions whose transfer the weight store admitted and
	// that the engine has not reported yet.
	Admitted map[string]bool
	// TransferPending is the version whose transfer is being asked for.
	TransferPending string
	// TransferAt bounds the next request to the weight store.
	TransferAt time.Time
	// Accepted is the content of the last order that the engine accepted, under
	// the fencing number AcceptedFencing at AcceptedAt.
	Accepted        []string
	AcceptedFencing int64
	AcceptedAt      time.Time
	// Pending says that an order is in flight; RetryAt bounds the next try.
	Pending bool
	RetryAt time.Time
}

// Orders is the state that the orders to all engines share.
type Orders struct {
	// Superseded is the highest fencing number of this daemon that an engine
	// has refused.
	Superseded int64
	// TransferAt bounds the next request to the weight store by any engine.
	TransferAt time.Time
	// After is the last engine looked at in the previous tick when there are
	// more than one tick takes; empty starts at the first.
	After string
}
