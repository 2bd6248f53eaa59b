package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a roster that loses VMs which are dead or cut off before a minute has
// passed, keeps them longer, or counts addresses behind which no VM is known; and against a
// VM that takes itself for the only one, or its first roster for complete.
func TestRosterKeepsLostVMs(t *testing.T) {
	begin := time.Now()
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	f := New(Options{Self: Member{VM: "b", Address: "1.1.1.1:1"}, Node: &node{}, Seeds: []string{"1.1.1.2:1", "1.1.1.3:1"}})
	assert.DeepEqual(t, f.Roster(begin), []string{"b"})
	assert.Equal(t, f.Contact(begin), NoContact)

	p := f.peers["1.1.1.2:1"]
	p.VM, p.lastExchange = "c", begin
	f.recordRelayed(Member{VM: "a", Address: "1.1.1.4:1", Age: 10 * time.Second}, begin)
	assert.Equal(t, f.Contact(begin), NewContact)
	assert.DeepEqual(t, f.Roster(begin), []string{"a", "b", "c"})
	assert.Equal(t, f.Contact(at(rosterSettleTime)), InContact)

	f.due(at(forgetAfter + time.Second))
	assert.Assert(t, f.peers["1.1.1.4:1"] == nil)
	assert.DeepEqual(t, f.Roster(at(50*time.Second)), []string{"a", "b", "c"})
	assert.DeepEqual(t, f.Roster(at(51*time.Second)), []string{"b", "c"})
	assert.Equal(t, f.Contact(at(rosterLifetime)), InContact)
	assert.DeepEqual(t, f.Roster(at(61*time.Second)), []string{"b"})
	assert.Equal(t, f.Contact(at(61*time.Second)), NoContact, "no peer was heard for a minute")

	p.lastExchange = at(70 * time.Second)
	assert.Equal(t, f.Contact(at(70*time.Second)), NewContact)
	single := New(Options{Self: Member{VM: "b", Address: "1.1.1.1:1"}})
	assert.Equal(t, single.Contact(begin), InContact)
}
