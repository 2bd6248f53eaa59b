package memstore

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

// Faults describes the faults that a Store injects into calls.
type Faults struct {
	// Down makes every call fail with store.ErrUnavailable and have no effect.
	Down bool `json:"down"`
	// LoseReplies is the number of following writes that take effect but return
	// store.ErrUnknown.
	LoseReplies int `json:"lose_replies"`
	// Delay is the time until each call takes effect, in nanoseconds.
	Delay time.Duration `json:"delay_ns"`
}

// Counts holds the numbers of calls that reached the store: reads and writes of
// the table, and all calls to the object store.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Objects int64 `json:"objects"`
}

// Store implements store.Table and store.Objects. It is safe for concurrent
// use.
type Store struct {
	mu          sync.Mutex
	rows        map[string]store.Row
	lastVersion int64    // last row version assigned
	keys        []string // keys of rows, sorted
	objects     map[string][]byte
	names       []string // names of objects, sorted
	faults      Faults
	counts      Counts
}

var (
	_ store.Table   = (*Store)(nil)
	_ store.Objects = (*Objects)(nil)
)

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		rows:    make(map[string]store.Row),
		objects: make(map[string][]byte),
	}
}

// SetFaults replaces the faults that apply to the following calls.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the number of calls since New.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// applyFaults delays one call by Faults.Delay. It returns store.ErrUnavailable
// when ctx is done or the store is down.
func (s *Store) applyFaults(ctx context.Context) error {
	delay := s.Faults().Delay
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	if ctx.Err() != nil {
		return store.ErrUnavailable
	}
	if s.Faults().Down {
		return store.ErrUnavailable
	}
	return nil
}

// Get implements store.Table.
func (s *Store) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := s.applyFaults(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	rows := make([]store.Row, len(keys))
	for i, key := range keys {
		rows[i] = s.current(key)
	}
	return rows, nil
}

func (s *Store) current(key string) store.Row {
	row, ok := s.rows[key]
	if !ok {
		return store.Row{Key: key}
	}
	row.Value = bytes.Clone(row.Value)
	return row
}

// Commit implements store.Table.
func (s *Store) Commit(ctx context.Context, ops []store.Op) error {
	if err := s.applyFaults(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	for _, op := range ops {
		current := s.current(op.Key)
		if op.Expect != store.AnyVersion && op.Expect != current.Version {
			return &store.ConflictError{Key: op.Key, Current: current}
		}
	}
	for _, op := range ops {
		s.apply(op)
	}
	return s.lostReply()
}

// lostReply returns store.ErrUnknown when the reply to the current write is to be
// lost. The caller must hold mu.
func (s *Store) lostReply() error {
	if s.faults.LoseReplies == 0 {
		return nil
	}
	s.faults.LoseReplies--
	return store.ErrUnknown
}

func (s *Store) apply(op store.Op) {
	at, found := slices.BinarySearch(s.keys, op.Key)
	if op.Delete {
		if found {
			s.keys = slices.Delete(s.keys, at, at+1)
			delete(s.rows, op.Key)
		}
		return
	}
	if !found {
		s.keys = slices.Insert(s.keys, at, op.Key)
	}
	// All rows share one sequence, so the version of a key also increases over a
	// delete and a later insert.
	s.lastVersion++
	s.rows[op.Key] = store.Row{Key: op.Key, Version: s.lastVersion, Value: bytes.Clone(op.Value)}
}

// Scan implements store.Table.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := s.applyFaults(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	keys := page(s.keys, prefix, after, limit)
	rows := make([]store.Row, len(keys))
	for i, key := range keys {
		rows[i] = s.current(key)
	}
	return rows, nil
}

// page returns up to limit of the sorted names that have the prefix and sort
// after the given name.
func page(names []string, prefix, after string, limit int) []string {
	start, _ := slices.BinarySearch(names, max(prefix, after))
	if start < len(names) && names[start] == after {
		start++
	}
	end := start
	for end < len(names) && end-start < limit && strings.HasPrefix(names[end], prefix) {
		end++
	}
	return names[start:end]
}

// Objects returns the object store of s, which has the same faults and counts.
func (s *Store) Objects() *Objects { return &Objects{s} }

// Objects implements store.Objects. It is safe for concurrent use.
type Objects struct{ s *Store }

// Put implements store.Objects.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	if err := o.s.applyFaults(ctx); err != nil {
		return err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	o.s.counts.Objects++
	if old, ok := o.s.objects[name]; ok {
		if !bytes.Equal(old, data) {
			return store.ErrExists
		}
		return o.s.lostReply()
	}
	at, _ := slices.BinarySearch(o.s.names, name)
	o.s.names = slices.Insert(o.s.names, at, name)
	o.s.objects[name] = bytes.Clone(data)
	return o.s.lostReply()
}

// Get implements store.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.s.applyFaults(ctx); err != nil {
		return nil, err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	o.s.counts.Objects++
	data, ok := o.s.objects[name]
	if !ok {
		return nil, store.ErrNotFound
	}
	return bytes.Clone(data), nil
}

// List implements store.Objects.
func (o *Objects) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if err := o.s.applyFaults(ctx); err != nil {
		return nil, err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	o.s.counts.Objects++
	return slices.Clone(page(o.s.names, prefix, after, limit)), nil
}
