package ledger

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/storetest"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

var anyEntry = rapid.Custom(func(t *rapid.T) Entry {
	text := rapid.SampledFrom([]string{"a", "b", "brief-small", "0b0e7d3c-8f1c-4b2e-9a55-1f6b8a2c9d10"})
	return Entry{
		Organisation: text.Draw(t, "org"), Model: text.Draw(t, "model"), Version: text.Draw(t, "version"),
		RequestKey:   rapid.OneOf(text, rapid.StringN(1, 36, maxFieldBytes), rapid.StringMatching(`[0-9a-fA-F]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)).Draw(t, "key"),
		PromptTokens: rapid.Int64Min(0).Draw(t, "prompt"), CompletionTokens: rapid.Int64Min(0).Draw(t, "completion"),
		CostMicros: rapid.Int64Min(0).Draw(t, "cost"),
		Time:       noon.Add(time.Duration(rapid.IntRange(-1e9, 1e9).Draw(t, "at")) * time.Millisecond),
	}
})

// Guards against entries that differ after encoding and decoding, entries that
// exceed the reserved size, and damaged batches that decode without an error.
func TestCodec(t *testing.T) {
	batches := rapid.SliceOfN(anyEntry, 0, 20)
	for seed := range storetest.Schedules {
		entries := batches.Example(seed)
		enc := newEncoder()
		for _, e := range entries {
			before := len(enc.data)
			enc.add(e)
			assert.Assert(t, len(enc.data)-before <= maxEntryBytes, "seed %d", seed)
		}
		data := enc.batch()
		decoded, err := decodeBatch(data)
		assert.NilError(t, err, "seed %d", seed)
		assert.Equal(t, len(decoded), len(entries))
		for i := range entries {
			assert.Equal(t, decoded[i], entries[i], "seed %d", seed)
		}
		data[seed%len(data)] ^= byte(1 + seed%255)
		_, err = decodeBatch(data)
		assert.ErrorIs(t, err, ErrDamaged, "seed %d", seed)
		_, err = decodeBatch(data[:seed%len(data)])
		assert.ErrorIs(t, err, ErrDamaged, "seed %d", seed)
	}
}

func putTestBatch(t *testing.T, o *memstore.Objects, name string, entries ...Entry) {
	enc := newEncoder()
	for _, e := range entries {
		enc.add(e)
	}
	assert.NilError(t, o.Put(t.Context(), objectPrefix+name, enc.batch()))
}

// Guards against a bill that depends on the order of batches, a key billed on
// two days, and a damaged batch that is skipped silently.
func TestSettle(t *testing.T) {
	cheap := Entry{Organisation: "org", RequestKey: "k", CostMicros: 3, Time: noon}
	dear := Entry{Organisation: "org", RequestKey: "k", CostMicros: 5, Time: noon}
	midnight := Entry{Organisation: "org", RequestKey: "m", CostMicros: 7, Time: noon.Add(-24 * time.Hour)}
	again := midnight
	again.Time = noon
	var bills []Bill
	for _, order := range [][]Entry{{cheap, dear}, {dear, cheap}} {
		o := memstore.New().Objects()
		putTestBatch(t, o, "2026-02-28/a/1/1", midnight)
		putTestBatch(t, o, "2026-03-01/a/1/1", order[0], again)
		putTestBatch(t, o, "2026-03-01/b/1/1", order[1], order[0])
		b, err := Settle(t.Context(), o, noon)
		assert.NilError(t, err)
		bills = append(bills, b)

		putTestBatch(t, o, "2026-03-01/c/1/1", midnight) // wrong day
		assert.NilError(t, o.Put(t.Context(), objectPrefix+"2026-03-01/d/1/1", []byte("LX")))
		damaged, err := Settle(t.Context(), o, noon)
		assert.ErrorIs(t, err, ErrIncomplete)
		assert.Equal(t, len(damaged.Damaged), 2)
		assert.DeepEqual(t, damaged.Organisations, b.Organisations)
	}
	assert.DeepEqual(t, bills[0], bills[1])
	assert.DeepEqual(t, bills[0].Organisations, map[string]Total{"org": {Requests: 1, CostMicros: 3}})
	assert.Equal(t, bills[0].BilledEarlier, 1)
	assert.DeepEqual(t, bills[0].Conflicts, []Conflict{{"org", "k", []Entry{cheap, dear}}})
}

// Guards against a release that drops copies with higher numbers after the owner
// has copied an earlier batch again.
func TestReleaseKeepsLaterCopies(t *testing.T) {
	l := New(Options{})
	for _, number := range []uint64{9, 2} {
		enc := newEncoder()
		enc.add(Entry{Organisation: "org", RequestKey: fmt.Sprint(number), Time: noon})
		assert.NilError(t, l.Accept(copyMessage{Owner: "o/1", First: number, Batch: enc.batch()}.encode()))
	}
	l.AcceptRelease("o/1", 5)
	assert.Equal(t, l.Stats().HeldEntries, 2)
	l.AcceptRelease("o/1", 9)
	assert.Equal(t, l.Stats().Bytes, 0)
}

// Guards against copies that are kept for ever, because under steady traffic
// each release comes after the copies of newer entries.
func TestReleaseUnderTraffic(t *testing.T) {
	l := New(Options{})
	for number := range uint64(1000) {
		enc := newEncoder()
		enc.add(Entry{Organisation: "org", RequestKey: fmt.Sprint(number), Time: noon})
		assert.NilError(t, l.Accept(copyMessage{Owner: "o/1", First: number + 1, Batch: enc.batch()}.encode()))
		l.AcceptRelease("o/1", number)
	}
	assert.Assert(t, l.Stats().HeldEntries <= 2)
}

// Guards against an Add that never returns because Run has ended.
func TestAddAfterRun(t *testing.T) {
	l := New(Options{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, l.Run(ctx))
	assert.ErrorIs(t, l.Add(t.Context(), Entry{Organisation: "org", RequestKey: "k", Time: noon}), ErrNotCopied)
}

// Guards against requests that start without memory for their entry, memory
// that is not freed by Cancel or Add, and a batch that is lost when its name is
// taken by another object.
func TestBoundAndTakenName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		o := memstore.New().Objects()
		l := New(Options{Self: Peer{ID: "vm/1"}, Objects: o, MaxBytes: 2 * maxEntryBytes})
		go func() { _ = l.Run(ctx) }()
		first, err := l.Reserve()
		assert.NilError(t, err)
		second, err := l.Reserve()
		assert.NilError(t, err)
		_, err = l.Reserve()
		assert.ErrorIs(t, err, ErrFull)
		second.Cancel()
		second.Cancel()

		putTestBatch(t, o, "2026-03-01/vm/1/00000000000000000001", Entry{Organisation: "other", RequestKey: "x", Time: noon})
		assert.ErrorIs(t, first.Add(ctx, Entry{Organisation: "org"}), ErrInvalidEntry)
		assert.NilError(t, first.Add(ctx, Entry{Organisation: "org", RequestKey: "k", Time: noon}))
		assert.NilError(t, l.Drain(ctx))
		_, err = l.Reserve()
		assert.Assert(t, errors.Is(err, ErrDraining))
		b, err := Settle(ctx, o, noon)
		assert.NilError(t, err)
		assert.Equal(t, len(b.Organisations), 2)
		assert.Equal(t, l.Stats().Bytes+l.Stats().ReservedBytes, 0)
		cancel()
	})
}
