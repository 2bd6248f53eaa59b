package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/settings"
)

const (
	// registryPrefix starts the table rows that hold the addresses of daemons.
	registryPrefix = "peer/"
	// registryPeriod is the time between two tries to register, and between two
	// reads of one row.
	registryPeriod = time.Second
	// registryPage bounds the rows read at once.
	registryPage = 100
)

// registration is the row of one daemon.
type registration struct {
	Address     string `json:"address"`
	Incarnation int64  `json:"incarnation"`
}

// registry knows the peer addresses of other daemons: those of the settings,
// and those that the daemons have written to the platform's table. It reads the
// rows of the daemons that this one talks to and no others: a scan of all rows
// grows with each VM that was ever replaced. It is safe for concurrent use.
type registry struct {
	table   store.Table
	self    member.VM
	address string
	wake    chan struct{} // capacity 1

	mu        sync.Mutex
	addresses map[string]string
	// wanted holds the daemons whose rows are to be read, askedAt when each was
	// last asked for.
	wanted  map[string]bool
	askedAt map[string]time.Time
}

func newRegistry(table store.Table, self member.VM, address string, seeds []settings.SeedPeer) *registry {
	r := &registry{
		table: table, self: self, address: address, wake: make(chan struct{}, 1),
		addresses: make(map[string]string), wanted: make(map[string]bool), askedAt: make(map[string]time.Time),
	}
	for _, s := range seeds {
		r.addresses[member.JoinID(s.AvailabilityZone, s.VM)] = s.Address
	}
	return r
}

// known lists the other daemons with an address.
func (r *registry) known() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id := range r.addresses {
		if id != r.self.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

// addressOf returns the peer address of a daemon. The row of an unknown one is
// read soon.
func (r *registry) addressOf(id string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	address, ok := r.addresses[id]
	if !ok {
		r.wantLocked(id)
	}
	return address, ok
}

// unreachable notes that nothing answers at the known address of a daemon, which
// may have moved.
func (r *registry) unreachable(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wantLocked(id)
}

func (r *registry) wantLocked(id string) {
	now := time.Now()
	if now.Sub(r.askedAt[id]) < registryPeriod || len(r.askedAt) >= member.MaxMembers {
		return
	}
	r.wanted[id], r.askedAt[id] = true, now
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run registers this daemon and reads the rows of others that it needs until
// ctx ends.
func (r *registry) Run(ctx context.Context) error {
	ticker := time.NewTicker(registryPeriod)
	defer ticker.Stop()
	registered := false
	for {
		if !registered {
			registered = r.register(ctx) == nil
		}
		r.read(ctx, r.takeWanted())
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-ticker.C:
		}
	}
}

// takeWanted returns the ids to read, and forgets when the others were asked for
// once that is no longer needed.
func (r *registry) takeWanted() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := slices.Sorted(maps.Keys(r.wanted))
	clear(r.wanted)
	maps.DeleteFunc(r.askedAt, func(_ string, at time.Time) bool { return time.Since(at) >= registryPeriod })
	return ids
}

// errReplaced reports that a later incarnation of this VM has registered.
var errReplaced = errors.New("a later incarnation is registered")

// register writes the row of this daemon.
func (r *registry) register(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	key := registryPrefix + r.self.ID
	rows, err := r.table.Get(limited, key)
	if err != nil {
		return err
	}
	var old registration
	if rows[0].Version > 0 && json.Unmarshal(rows[0].Value, &old) == nil && old.Incarnation > r.self.Incarnation {
		return errReplaced
	}
	value, err := json.Marshal(registration{Address: r.address, Incarnation: r.self.Incarnation})
	if err != nil {
		return err
	}
	return r.table.Commit(limited, []store.Op{{Key: key, Expect: rows[0].Version, Value: value}})
}

// registeredVMs returns the rows of all registered daemons by VM.
func registeredVMs(ctx context.Context, table store.Table) (map[string]store.Row, error) {
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	found := make(map[string]store.Row)
	after := ""
	for {
		rows, err := table.Scan(limited, registryPrefix, after, registryPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			found[strings.TrimPrefix(row.Key, registryPrefix)] = row
		}
		if len(rows) < registryPage {
			return found, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// read takes the addresses of the given daemons. Those that a failed call leaves
// out are asked for again by the next message to them.
func (r *registry) read(ctx context.Context, ids []string) {
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	for page := range slices.Chunk(ids, registryPage) {
		keys := make([]string, len(page))
		for i, id := range page {
			keys[i] = registryPrefix + id
		}
		rows, err := r.table.Get(limited, keys...)
		if err != nil {
			return
		}
		r.take(rows)
	}
}

func (r *registry) take(rows []store.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		var reg registration
		if row.Version > 0 && json.Unmarshal(row.Value, &reg) == nil && reg.Address != "" {
			r.addresses[strings.TrimPrefix(row.Key, registryPrefix)] = reg.Address
		}
	}
}
