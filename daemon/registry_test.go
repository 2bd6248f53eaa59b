package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/memstore"
)

// Guards against a registry that reads the rows of all daemons, that keeps the
// old address of a daemon that has moved, or that reads the row of an unreachable
// daemon more than once per period.
func TestRegistryReadsNeededRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memstore.New()
		register := func(id, address string, incarnation int64) {
			assert.NilError(t, newRegistry(m, member.VM{ID: id, Incarnation: incarnation}, address, nil).register(t.Context()))
		}
		for i := range 320 {
			register(fmt.Sprint("a/vm", i), fmt.Sprint("10.0.0.1:", i), 1)
		}
		ctx, stop := context.WithCancel(t.Context())
		r := newRegistry(m, member.VM{ID: "a/self", Incarnation: 1}, "10.0.0.2:1", nil)
		go func() { _ = r.Run(ctx) }()
		synctest.Wait()
		reads := m.Counts().Reads
		dialed := ""
		dial := dialPeer(r, func(_ context.Context, _, address string) (net.Conn, error) {
			dialed = address
			return nil, errors.New("nothing listens")
		})
		_, err := dial(ctx, "a/vm7")
		assert.ErrorIs(t, err, errUnknownPeer)
		synctest.Wait()
		assert.Equal(t, m.Counts().Reads, reads+1)
		assert.Equal(t, len(r.knownPeers()), 1)

		register("a/vm7", "10.0.0.9:1", 2) // register reads once itself
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			_, _ = dial(ctx, "a/vm7")
			synctest.Wait()
		}
		assert.Equal(t, dialed, "10.0.0.9:1")
		perSecond := (m.Counts().Reads - reads - 2) / 10
		assert.Assert(t, perSecond <= 1, "%d reads a second", perSecond)
		stop()
	})
}
