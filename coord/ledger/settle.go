package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

const settlePageSize = 1000 // names per list call

// ErrIncomplete reports a bill for which some batches could not be read.
var ErrIncomplete = errors.New("ledger bill incomplete")

// Total is the sum over the requests of one organisation.
type Total struct {
	Requests         int64
	PromptTokens     int64
	CompletionTokens int64
	CostMicros       int64
}

// Conflict reports one key with different entries. The first one is billed: the
// earliest, and among equal times the first in the order of the remaining
// fields.
type Conflict struct {
	Organisation string
	RequestKey   string
	Entries      []Entry
}

// DamagedBatch reports a batch that could not be read and is not part of the
// bill.
type DamagedBatch struct {
	Name string
	Err  error
}

// Bill is the settlement of one UTC day.
type Bill struct {
	Day           string
	Organisations map[string]Total
	Batches       int
	// Duplicates is the number of entries beyond the first of each key.
	Duplicates int
	// BilledEarlier is the number of keys that are not billed, because they have
	// an entry on the day before.
	BilledEarlier int
	Conflicts     []Conflict // in order of organisation and key
	Damaged       []DamagedBatch
}

type billKey struct{ organisation, request string }

// Settle computes the bill of the day that contains at, in UTC. A key with an
// entry on the day before belongs to that day, so that a request repeated
// around midnight is billed once. The result depends only on the set of stored
// entries. When a batch is damaged, Settle returns the bill of the others and
// an error that matches ErrIncomplete. It keeps one entry per key in memory.
func Settle(ctx context.Context, objects store.Objects, at time.Time) (Bill, error) {
	b := Bill{Day: at.UTC().Format(dayFormat), Organisations: make(map[string]Total)}
	earlier, err := readDay(ctx, objects, at.UTC().Add(-day).Format(dayFormat), &b)
	if err != nil {
		return b, err
	}
	b.Batches, b.Duplicates = 0, 0
	entries, err := readDay(ctx, objects, b.Day, &b)
	if err != nil {
		return b, err
	}
	for key, variants := range entries {
		if _, billed := earlier[key]; billed {
			b.BilledEarlier++
			continue
		}
		b.charge(key, variants)
	}
	slices.SortFunc(b.Conflicts, func(x, y Conflict) int {
		if c := strings.Compare(x.Organisation, y.Organisation); c != 0 {
			return c
		}
		return strings.Compare(x.RequestKey, y.RequestKey)
	})
	if len(b.Damaged) > 0 {
		return b, fmt.Errorf("%w: %d damaged batches, first %s: %w", ErrIncomplete, len(b.Damaged), b.Damaged[0].Name, b.Damaged[0].Err)
	}
	return b, nil
}

// charge adds the first of the sorted distinct entries of one key to the bill.
func (b *Bill) charge(key billKey, variants []Entry) {
	e := variants[0]
	t := b.Organisations[e.Organisation]
	t.Requests++
	t.PromptTokens += e.PromptTokens
	t.CompletionTokens += e.CompletionTokens
	t.CostMicros += e.CostMicros
	b.Organisations[e.Organisation] = t
	if len(variants) > 1 {
		b.Conflicts = append(b.Conflicts, Conflict{Organisation: key.organisation, RequestKey: key.request, Entries: variants})
	}
}

// readDay reads all batches of a day and returns the distinct entries of each
// key, sorted.
func readDay(ctx context.Context, objects store.Objects, day string, b *Bill) (map[billKey][]Entry, error) {
	found := make(map[billKey][]Entry)
	prefix, after := objectPrefix+day+"/", ""
	for {
		names, err := objects.List(ctx, prefix, after, settlePageSize)
		if err != nil {
			return nil, fmt.Errorf("list ledger batches of %s: %w", day, err)
		}
		for _, name := range names {
			if err := readBatch(ctx, objects, name, day, found, b); err != nil {
				return nil, err
			}
		}
		if len(names) < settlePageSize {
			return found, nil
		}
		after = names[len(names)-1]
	}
}

// readBatch adds the entries of one batch to found, or adds the batch to
// b.Damaged when it is missing or invalid.
func readBatch(ctx context.Context, objects store.Objects, name, day string, found map[billKey][]Entry, b *Bill) error {
	data, err := objects.Get(ctx, name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return fmt.Errorf("read ledger batch %s: %w", name, err)
	}
	var entries []Entry
	if err == nil {
		entries, err = decodeBatch(data)
	}
	if err == nil && slices.ContainsFunc(entries, func(e Entry) bool { return e.day() != day }) {
		err = fmt.Errorf("%w: entry of another day", ErrDamaged)
	}
	if err != nil {
		b.Damaged = append(b.Damaged, DamagedBatch{Name: name, Err: err})
		return nil
	}
	b.Batches++
	for _, e := range entries {
		b.merge(found, e)
	}
	return nil
}

// merge adds an entry to the distinct entries of its key, which stay sorted.
func (b *Bill) merge(found map[billKey][]Entry, e Entry) {
	key := billKey{e.Organisation, e.RequestKey}
	variants := found[key]
	if len(variants) > 0 {
		b.Duplicates++
	}
	at, same := slices.BinarySearchFunc(variants, e, compare)
	if !same {
		found[key] = slices.Insert(variants, at, e)
	}
}
