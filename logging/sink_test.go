package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// Guards against log calls that block requests when the reader of the output stops
// reading: lines must be dropped and counted instead.
func TestStuckReaderDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	sink := NewSink(w)
	log := New(sink)
	const lines = 4 * maxQueuedLines
	began := time.Now()
	for range lines {
		log.Info("line", zap.String("request", "r1"))
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
	assert.Assert(t, sink.Dropped() > lines/4, "%d dropped", sink.Dropped())
	sink.Close(10 * time.Millisecond)
	log.Info("after the end")
}

// Guards against lines that use up the memory because they are long, and against an ordinary
// line that is dropped after the reader of the output has taken them.
func TestLongLinesAreBounded(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	sink := NewSink(w)
	log := New(sink)
	long := strings.Repeat("a", 64<<10)
	for range maxQueuedLines {
		log.Info("line", zap.String("request", long))
		assert.Assert(t, sink.queued.Load() <= maxQueuedBytes)
	}
	assert.Assert(t, sink.Dropped() > maxQueuedLines/2)
	go func() { _, _ = io.Copy(io.Discard, r) }()
	for begun := time.Now(); sink.queued.Load() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begun) < 10*time.Second)
	}
	dropped := sink.Dropped()
	log.Info("line", zap.String("request", "r1"))
	assert.Equal(t, sink.Dropped(), dropped)
}

// Guards against queued lines that are lost, split or reordered, in particular those
// that are still queued at Close.
func TestLinesAreWrittenWhole(t *testing.T) {
	var out bytes.Buffer
	sink := NewSink(&out)
	log := New(sink, zap.String("vm", "vm-1"))
	for i := range 100 {
		log.Info("line", zap.Int("n", i), zap.Duration("took", 1500*time.Microsecond))
	}
	sink.Close(5 * time.Second)
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	assert.Equal(t, len(lines), 100)
	for i, line := range lines {
		var got struct {
			VM   string  `json:"vm"`
			N    int     `json:"n"`
			Took float64 `json:"took"`
		}
		assert.NilError(t, json.Unmarshal(line, &got))
		assert.Equal(t, got.N, i)
		assert.Equal(t, got.Took, 1.5)
	}
	assert.Equal(t, sink.Dropped(), uint64(0))
}
