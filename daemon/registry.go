package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/settings"
)

const (
	// registryPrefix is the key prefix of the table rows with the addresses of
	// daemons.
	registryPrefix = "peer/"
	// registryPeriod is the time between two attempts to register, and the
	// shortest time between two reads of one row.
	registryPeriod = time.Second
	// registryPage bounds the rows that are read in one call.
	registryPage = 100
	// maxClockLead is how far a registered incarnation, which is a time, may be ahead
	// of the clock of this daemon.
	maxClockLead = 24 * time.Hour
)

// registration is the value of the row of one daemon.
type registration struct {
	Address     string `json:"address"`
	Incarnation int64  `json:"incarnation"`
}

// hasAddress reports whether the address has a host and the number of a port.
func (r registration) hasAddress() bool {
	host, port, err := net.SplitHostPort(r.Address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// replaces reports whether the registration belongs to a later incarnation than the
// given one.
func (r registration) replaces(incarnation int64) bool {
	return r.Incarnation > incarnation && r.Incarnation <= time.Now().Add(maxClockLead).UnixNano()
}

// registry knows the peer addresses of other daemons: those of the settings,
// and those that the daemons have written to the platform's table. It reads the
// rows of only those daemons that this one sends messages to, because a scan of
// all rows grows with each VM that was ever replaced. It is safe for concurrent use.
type registry struct {
	table   store.Table
	self    member.VM
	address string
	wake    chan struct{} // makes Run read the requested rows; capacity 1

	mu        sync.Mutex
	addresses map[string]string
	// requested is the set of daemons whose rows are to be read; requestedAt is
	// when the row of each was last requested.
	requested   map[string]bool
	requestedAt map[string]time.Time
}

func newRegistry(table store.Table, self member.VM, address string, seeds []settings.SeedPeer) *registry {
	r := &registry{
		table: table, self: self, address: address, wake: make(chan struct{}, 1),
		addresses: make(map[string]string), requested: make(map[string]bool), requestedAt: make(map[string]time.Time),
	}
	for _, s := range seeds {
		r.addresses[member.JoinID(s.AvailabilityZone, s.VM)] = s.Address
	}
	return r
}

// knownPeers lists the other daemons whose address is known.
func (r *registry) knownPeers() []string {
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

// addressOf returns the peer address of a daemon. If it is not known, it requests
// a read of the daemon's row.
func (r *registry) addressOf(id string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	address, ok := r.addresses[id]
	if !ok {
		r.requestLocked(id)
	}
	return address, ok
}

// reportUnreachable requests a new read of the address of a daemon that could not
// be reached, because it may have moved.
func (r *registry) reportUnreachable(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestLocked(id)
}

// requestLocked requests a read of the row of a daemon, at most once per
// registryPeriod.
func (r *registry) requestLocked(id string) {
	now := time.Now()
	if now.Sub(r.requestedAt[id]) < registryPeriod || len(r.requestedAt) >= member.MaxMembers {
		return
	}
	r.requested[id], r.requestedAt[id] = true, now
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run registers this daemon and reads the requested rows until ctx ends.
func (r *registry) Run(ctx context.Context) error {
	ticker := time.NewTicker(registryPeriod)
	defer ticker.Stop()
	registered := false
	for {
		if !registered {
			registered = r.register(ctx) == nil
		}
		r.readAddresses(ctx, r.drainRequested())
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-ticker.C:
		}
	}
}

// drainRequested returns and clears the ids whose rows are to be read. It also
// removes the times of requests that are older than registryPeriod.
func (r *registry) drainRequested() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := slices.Sorted(maps.Keys(r.requested))
	clear(r.requested)
	maps.DeleteFunc(r.requestedAt, func(_ string, at time.Time) bool { return time.Since(at) >= registryPeriod })
	return ids
}

// errReplaced reports that a later incarnation of this VM has registered.
var errReplaced = errors.New("a later incarnation is registered")

// register writes the row of this daemon.
func (r *registry) register(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	key := registryPrefix + r.self.ID
	rows, err := r.table.Get(callCtx, key)
	if err != nil {
		return err
	}
	var old registration
	if rows[0].Version > 0 && json.Unmarshal(rows[0].Value, &old) == nil && old.replaces(r.self.Incarnation) {
		return errReplaced
	}
	value, err := json.Marshal(registration{Address: r.address, Incarnation: r.self.Incarnation})
	if err != nil {
		return err
	}
	return r.table.Commit(callCtx, []store.Op{{Key: key, Expect: rows[0].Version, Value: value}})
}

// registeredVMs returns the rows of all registered daemons by VM.
func registeredVMs(ctx context.Context, table store.Table) (map[string]store.Row, error) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	found := make(map[string]store.Row)
	after := ""
	for {
		rows, err := table.Scan(callCtx, registryPrefix, after, registryPage)
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

// readAddresses reads the addresses of the given daemons. After an error, the next
// message to a daemon whose address is missing requests it again.
func (r *registry) readAddresses(ctx context.Context, ids []string) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	for page := range slices.Chunk(ids, registryPage) {
		keys := make([]string, len(page))
		for i, id := range page {
			keys[i] = registryPrefix + id
		}
		rows, err := r.table.Get(callCtx, keys...)
		if err != nil {
			return
		}
		r.storeAddresses(rows)
	}
}

// storeAddresses updates the addresses from the rows of daemons.
func (r *registry) storeAddresses(rows []store.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		var reg registration
		if row.Version > 0 && json.Unmarshal(row.Value, &reg) == nil && reg.hasAddress() {
			r.addresses[strings.TrimPrefix(row.Key, registryPrefix)] = reg.Address
		}
	}
}
