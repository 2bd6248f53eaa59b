package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/memstore"
)

// slowCopier counts the messages and confirms each one after a round trip.
type slowCopier struct{ messages atomic.Int64 }

const roundTrip = time.Millisecond

func (c *slowCopier) CopyEntries(context.Context, string, []byte) error {
	c.messages.Add(1)
	time.Sleep(roundTrip)
	return nil
}

func (*slowCopier) ReleaseEntries(context.Context, string, string, uint64) error { return nil }

// Guards against an Add that waits for more than the round trip of its own
// copies, and against one message per entry when many requests end at the same
// time.
func TestCopiesWaitForNothingAndAreGrouped(t *testing.T) {
	for _, tc := range []struct {
		entries  int
		longest  time.Duration
		messages int64
	}{
		{1, roundTrip, copiesPerEntry},
		{1000, 3 * roundTrip, copiesPerEntry * (2*maxConcurrentCopies + 1000/maxCopyGroup)},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			c := &slowCopier{}
			l := New(Options{Self: Peer{ID: "vm0/1"}, Objects: memstore.New().Objects(), Copier: c,
				Peers: func() []Peer { return []Peer{{ID: "vm1/1"}, {ID: "vm2/1", AvailabilityZone: "b"}} }})
			var all sync.WaitGroup
			all.Go(func() { _ = l.Run(ctx) })
			synctest.Wait()
			r, began := rand.New(rand.NewPCG(1, 1)), time.Now()
			var adds sync.WaitGroup
			for i := range tc.entries {
				e := typicalEntry(r, i)
				adds.Go(func() { assert.Check(t, l.Add(ctx, e)) })
			}
			adds.Wait()
			assert.Check(t, time.Since(began) <= tc.longest, "%d entries took %s", tc.entries, time.Since(began))
			assert.Check(t, c.messages.Load() <= tc.messages, "%d messages for %d entries", c.messages.Load(), tc.entries)
			cancel()
			all.Wait()
		})
	}
}
