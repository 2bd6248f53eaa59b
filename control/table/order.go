package table

import "time"

// Order is the state of the orders to one engine. An order tells the engine
// which model versions to hold.
type Order struct {
	// Admitted contains the versions whose transfer the weight store has
	// admitted and that the engine does not report as held yet.
	Admitted map[string]bool
	// TransferPending is the version of the transfer request in flight, if any.
	TransferPending string
	// TransferAt is the earliest time of the next transfer request for this
	// engine.
	TransferAt time.Time
	// Accepted lists the versions in the last order that the engine accepted.
	// AcceptedFencing is the fencing token of that order, and AcceptedAt the
	// time of its result.
	Accepted        []string
	AcceptedFencing int64
	AcceptedAt      time.Time
	// Pending reports whether an order is in flight. The next attempt is made
	// no earlier than RetryAt.
	Pending bool
	RetryAt time.Time
}

// Orders is the state shared by the orders to all engines.
type Orders struct {
	// Superseded is the highest fencing token of this daemon that an engine has
	// refused. Leases with this or a lower token are not used.
	Superseded int64
	// TransferAt is the earliest time of the next transfer request for any
	// engine.
	TransferAt time.Time
	// Cursor is the id of the last upstream visited in the previous tick when
	// the tick stopped at its bound. Empty means to start at the first.
	Cursor string
}
