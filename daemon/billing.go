package daemon

import (
	"context"
	"errors"
	"math"
	"strconv"

	"github.com/savoryshift/savoryshift/coord/ledger"
	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/proxy"
)

// microsPerUnit converts costs to the ledger's unit.
const microsPerUnit = 1e6

// biller implements proxy.Biller on coord/ledger.
type biller struct{ ledger *ledger.Ledger }

// Reserve implements proxy.Biller.
func (b biller) Reserve() (proxy.Reservation, error) {
	room, err := b.ledger.Reserve()
	switch {
	case errors.Is(err, ledger.ErrDraining):
		return nil, errkind.Wrap(errkind.ShuttingDown, err)
	case err != nil:
		return nil, errkind.Wrap(errkind.LedgerFull, err)
	}
	return reservation{room}, nil
}

// reservation implements proxy.Reservation.
type reservation struct{ room *ledger.Reservation }

// Cancel implements proxy.Reservation.
func (r reservation) Cancel() { r.room.Cancel() }

// Add implements proxy.Reservation. An entry that is recorded here but not yet
// confirmed by its holders does not withhold the answer: the copies go on, and
// the ledger counts it.
func (r reservation) Add(ctx context.Context, u proxy.Usage) error {
	err := r.room.Add(ctx, ledger.Entry{
		Organisation:     u.Organisation,
		RequestKey:       u.RequestKey,
		Model:            u.Model,
		Version:          u.Version,
		PromptTokens:     int64(u.PromptTokens),
		CompletionTokens: int64(u.CompletionTokens),
		CostMicros:       int64(math.Round(u.Cost * microsPerUnit)),
		Time:             u.Time,
	})
	if errors.Is(err, ledger.ErrNotCopied) {
		return nil
	}
	return errkind.Wrap(errkind.Internal, err)
}

// ledgerID names one incarnation of a VM, because a restarted daemon has lost
// the entries that the earlier one held.
func ledgerID(vm member.VM) string { return vm.ID + "/" + strconv.FormatInt(vm.Incarnation, 10) }

// ledgerPeers lists the daemons that can hold copies.
func (c *configuration) ledgerPeers() []ledger.Peer {
	self := c.members.Self().ID
	var peers []ledger.Peer
	for _, vm := range c.members.Live() {
		if vm.ID != self {
			peers = append(peers, ledger.Peer{ID: ledgerID(vm), AvailabilityZone: vm.AvailabilityZone()})
		}
	}
	return peers
}
