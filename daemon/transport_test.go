package daemon

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/ledger"
	"github.com/savoryshift/savoryshift/coord/member"
)

// Guards against a restarted daemon that confirms a copy which was sent to its
// earlier incarnation: the owner would rely on earlier copies that are lost.
func TestCopiesForAnotherIncarnationAreRefused(t *testing.T) {
	self := member.VM{ID: "a/vm1", Incarnation: 6}
	earlier := member.VM{ID: "a/vm1", Incarnation: 5}
	p := peerLedger{self: ledgerID(self), ledger: ledger.New(ledger.Options{})}
	assert.ErrorIs(t, p.CopyEntries(ledgerID(earlier), nil), errOtherIncarnation)
	// A copy for this incarnation reaches the ledger, which rejects it as damaged.
	err := p.CopyEntries(ledgerID(self), nil)
	assert.Assert(t, err != nil && !errors.Is(err, errOtherIncarnation))
	assert.Equal(t, vmOfLedgerID(ledgerID(self)), self.ID)
}
