package daemon

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/policy/guard"
	"github.com/savoryshift/savoryshift/quarantine"
)

// Guards against accepting messages that are damaged, too large or from an earlier
// incarnation, and against ignoring the counts of another daemon.
func TestLearnedMessagesAreChecked(t *testing.T) {
	halted := false
	routing, _ := newTestRouting(t, nil)
	routing.guards = newGuards(func(string, string, string) { halted = true })
	routing.guards.update(rolloutSnapshot(t, "running"))
	members := member.New(member.Options{Self: member.VM{ID: "a/vm0", Incarnation: 1}})
	assert.NilError(t, members.RecordAlive(member.VM{ID: "a/vm1", Incarnation: 5}, time.Now()))
	l := &learning{config: &configuration{members: members}, routing: routing, quarantine: quarantine.New(quarantine.Options{})}

	counts := guard.Counts{
		Base:      map[guard.Stratum]guard.Tally{{Signal: guard.Errors}: {N: 100}},
		Candidate: map[guard.Stratum]guard.Tally{{Signal: guard.Errors}: {N: 100, Bad: 60}},
	}
	var message bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&message).Encode(learned{Guards: map[string]guard.Counts{"r": counts}}))
	for name, c := range map[string]struct {
		incarnation int64
		data        []byte
	}{
		"garbage":             {5, []byte("garbage")},
		"truncated":           {5, message.Bytes()[:message.Len()/2]},
		"too large":           {5, make([]byte, maxLearnedBytes+1)},
		"earlier incarnation": {4, message.Bytes()},
	} {
		assert.Assert(t, l.HandleLearned("a/vm1", c.incarnation, c.data) != nil, name)
		assert.Assert(t, !halted, name)
	}
	assert.NilError(t, l.HandleLearned("a/vm1", 5, message.Bytes()))
	assert.Assert(t, halted)
}
