package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/settings"
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

// Guards against an odd row that ends the reading of registrations, replaces a good
// address or keeps a daemon from registering.
func TestOddRegistrations(t *testing.T) {
	const good = "10.0.0.7:1"
	now := time.Now().UnixNano()
	for name, value := range map[string]string{
		"deeply nested":         `{"address":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`,
		"number too large":      `{"address":"10.0.0.8:1","incarnation":1e40}`,
		"port out of range":     `{"address":"10.0.0.8:99999","incarnation":1}`,
		"port 0":                `{"address":"10.0.0.8:0","incarnation":1}`,
		"negative port":         `{"address":"10.0.0.8:-1","incarnation":1}`,
		"port is a name":        `{"address":"10.0.0.8:http","incarnation":1}`,
		"no port":               `{"address":"10.0.0.8","incarnation":1}`,
		"no host":               `{"address":":80","incarnation":1}`,
		"list":                  `["10.0.0.8:1"]`,
		"no JSON":               "\xff",
		"incarnation far ahead": `{"address":"10.0.0.8:1","incarnation":9223372036854775807}`,
	} {
		t.Run(name, func(t *testing.T) {
			m := memstore.New()
			put := func(id, value string) {
				assert.NilError(t, m.Commit(t.Context(), []store.Op{{Key: registryPrefix + id, Expect: store.AnyVersion, Value: []byte(value)}}))
			}
			put("a/odd", value)
			put("a/other", `{"address":"10.0.0.9:1","incarnation":1}`)
			r := newRegistry(m, member.VM{ID: "a/self", Incarnation: now}, "10.0.0.2:1", []settings.SeedPeer{{VM: "odd", AvailabilityZone: "a", Address: good}})
			r.readAddresses(t.Context(), []string{"a/odd", "a/other"})
			address, _ := r.addressOf("a/odd")
			assert.Check(t, address == good || name == "incarnation far ahead", "address %s", address)
			address, _ = r.addressOf("a/other")
			assert.Check(t, address == "10.0.0.9:1", "address %q", address)
			registered, err := registeredVMs(t.Context(), m)
			assert.Check(t, err == nil && len(registered) == 2, "%v", err)

			put("a/self", value)
			assert.Check(t, r.register(t.Context()))
			put("a/self", fmt.Sprintf(`{"address":"10.0.0.8:1","incarnation":%d}`, now+int64(time.Hour)))
			assert.ErrorIs(t, r.register(t.Context()), errReplaced)
		})
	}
}
