package daemontest_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/daemon/daemontest"
)

// run starts a system in a bubble of virtual time.
func run(t *testing.T, o daemontest.Options, f func(t *testing.T, s *daemontest.System)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := daemontest.New(t, o)
		defer s.Close()
		f(t, s)
	})
}

// Guards against a support package in which nothing works, which would make the
// checks of the other tests pass without meaning.
func TestSystemServes(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		for _, d := range s.Daemons {
			a := d.Chat(daemontest.Chat{Prompt: "kit list", Stream: true})
			assert.Assert(t, a.Whole, "%+v", a)
			assert.Equal(t, a.Version, daemontest.Base)
			a = d.Chat(daemontest.Chat{Prompt: "kit list"})
			assert.Assert(t, a.Whole, "%+v", a)
			b := d.Book("key-"+d.ID, 0)
			assert.Assert(t, b.Whole, "%+v", b)
		}
		assert.Equal(t, len(s.Bookings()), len(s.Daemons))
		time.Sleep(10 * time.Second)
		assert.Equal(t, s.Billed(), 3*len(s.Daemons))
	})
}
