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

// microsPerUnit converts costs to the micro-units of the ledger.
const microsPerUnit = 1e6

// biller implements proxy.Biller on coord/ledger.
type biller struct{ ledger *ledger.Ledger }

// Reserve implements proxy.Biller.
func (b biller) Reserve() (proxy.Reservation, error) {
	reserved, err := b.ledger.Reserve()
	switch {
	case errors.Is(err, ledger.ErrDraining):
		return nil, errkind.Wrap(errkind.ShuttingDown, err)
	case err != nil:
		return nil, errkind.Wrap(errkind.LedgerFull, err)
	}
	return reservation{reserved}, nil
}

// reservation implements proxy.Reservation.
type reservation struct{ reserved *ledger.Reservation }

// Cancel implements proxy.Reservation.
func (r reservation) Cancel() { r.reserved.Cancel() }

// Add implements proxy.Reservation. An entry that is recorded locally but has no
// confirmed copy is not an error, because the answer must not be withheld. The
// ledger counts such entries and continues to copy them.
func (r reservation) Add(ctx context.Context, u proxy.Usage) error {
	err := r.reserved.Add(ctx, ledger.Entry{
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

// ledgerID identifies one incarnation of a VM in the ledger, because a restarted
// daemon has lost the entries that its earlier incarnation held.
func ledgerID(vm member.VM) string { return vm.ID + "/" + strconv.FormatInt(vm.Incarnation, 10) }

// ledgerPeers lists the other live daemons, which can hold copies of ledger
// entries.
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
