package daemon

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/ledger"
	"github.com/savoryshift/savoryshift/coord/member"
)

// Guards against a restarted daemon that confirms a copy which was meant for its
// earlier incarnation: the owner would count on copies that are gone.
func TestCopiesForAnotherIncarnationAreRefused(t *testing.T) {
	self := member.VM{ID: "a/vm1", Incarnation: 6}
	earlier := member.VM{ID: "a/vm1", Incarnation: 5}
	p := peerLedger{self: ledgerID(self), ledger: ledger.New(ledger.Options{})}
	assert.ErrorIs(t, p.CopyEntries(ledgerID(earlier), nil), errOtherIncarnation)
	// Meant for this incarnation, it reaches the ledger, which finds it damaged.
	err := p.CopyEntries(ledgerID(self), nil)
	assert.Assert(t, err != nil && !errors.Is(err, errOtherIncarnation))
	assert.Equal(t, vmOfLedgerID(ledgerID(self)), self.ID)
}
