package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against events that are lost or repeated where a stream is continued, and against
// sound streams that are taken for broken ones.
func TestEventSequence(t *testing.T) {
	for _, c := range []struct {
		name    string
		before  []string
		next    string
		resumed bool
		want    bool
	}{
		{"first", nil, "1", false, true},
		{"successor", []string{"1", "2"}, "3", true, true},
		{"repeated", []string{"1", "2"}, "2", false, false},
		{"earlier", []string{"1", "2"}, "1", true, false},
		{"missing", []string{"1", "2"}, "4", true, false},
		{"missing after one event", []string{"1"}, "3", true, false},
		{"gap in the response of one upstream", []string{"1", "2"}, "4", false, true},
		{"wider steps", []string{"10", "20"}, "30", true, true},
		{"one event of unknown step", []string{"10"}, "20", true, true},
		{"gaps before", []string{"1", "2", "4"}, "6", true, true},
		{"no number", []string{"1", "2"}, "x", true, false},
		{"names", []string{"a", "b"}, "c", true, true},
		{"no ID", []string{"1", "2"}, "", true, false},
		{"no ID in the response of one upstream", []string{"1", "2"}, "", false, true},
		{"no IDs at all", []string{"", ""}, "", true, true},
		{"number too large", []string{"1", "2"}, "99999999999999999999", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newEventSequence("")
			for _, id := range c.before {
				assert.Assert(t, s.accept([]byte("data: x\n\n"), id, false))
			}
			assert.Equal(t, s.accept([]byte("data: x\n\n"), c.next, c.resumed), c.want)
		})
	}
	s := newEventSequence("3")
	assert.Assert(t, s.accept([]byte(": ping\n\n"), "", true))
	for id, want := range map[int]bool{3: false, 4: true} {
		s := newEventSequence("3")
		assert.Equal(t, s.accept([]byte("data: x\n\n"), fmt.Sprint(id), false), want)
	}
}
