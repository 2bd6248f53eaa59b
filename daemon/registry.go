package daemon

import (
	"context"
	"encoding/json"
	"errors"
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
	// registryPeriod is the time between two reads of all rows. A daemon that
	// is not known yet causes a read at once, at most each registryMinimum.
	registryPeriod  = 30 * time.Second
	registryMinimum = time.Second
	registryPage    = 500
)

// registration is the row of one daemon.
type registration struct {
	Address     string `json:"address"`
	Incarnation int64  `json:"incarnation"`
}

// registry knows the peer addresses of other daemons: those of the settings,
// and those that the daemons have written to the platform's table. It is safe
// for concurrent use.
type registry struct {
	table   store.Table
	self    member.VM
	address string

	mu        sync.Mutex
	addresses map[string]string
	unknown   bool
}

func newRegistry(table store.Table, self member.VM, address string, seeds []settings.SeedPeer) *registry {
	r := &registry{table: table, self: self, address: address, addresses: make(map[string]string)}
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

// addressOf returns the peer address of a daemon. An unknown one makes Run read
// the rows soon.
func (r *registry) addressOf(id string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	address, ok := r.addresses[id]
	r.unknown = r.unknown || !ok
	return address, ok
}

// Run registers this daemon and reads the rows of the others until ctx ends.
func (r *registry) Run(ctx context.Context) error {
	ticker := time.NewTicker(registryMinimum)
	defer ticker.Stop()
	registered := false
	var read time.Time
	for {
		if !registered {
			registered = r.register(ctx) == nil
		}
		if r.takeUnknown() || time.Since(read) >= registryPeriod {
			if r.read(ctx) == nil {
				read = time.Now()
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *registry) takeUnknown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	unknown := r.unknown
	r.unknown = false
	return unknown
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

// read takes the addresses of all rows.
func (r *registry) read(ctx context.Context) error {
	rows, err := registeredVMs(ctx, r.table)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, row := range rows {
		var reg registration
		if json.Unmarshal(row.Value, &reg) == nil && reg.Address != "" {
			r.addresses[id] = reg.Address
		}
	}
	return nil
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
