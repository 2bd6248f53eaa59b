package logging

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines and maxQueuedBytes bound the queue of lines; a full queue takes about
	// 1 MB at the usual length of a line, and clients choose the identifiers in some.
	maxQueuedLines = 4096
	maxQueuedBytes = 4 << 20
	// batchBytes is the size from which a batch is written without further delay.
	batchBytes = 32 << 10
	// batchDelay is the time for which lines are collected in a batch before it is
	// written, which saves system calls.
	batchDelay = 100 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer that queues log lines and writes them to the output
// in batches. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	queued  atomic.Int64 // bytes in lines
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// NewSink returns a started Sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of one line, or drops the line if the queue is full. It never
// blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	size := int64(len(line))
	if s.queued.Add(size) > maxQueuedBytes {
		s.drop(size)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.drop(size)
	}
	return len(line), nil
}

// drop counts a line that was not queued.
func (s *Sink) drop(size int64) {
	s.queued.Add(-size)
	s.dropped.Add(1)
}

// took records that a line has left the queue and returns it.
func (s *Sink) took(line []byte) []byte {
	s.queued.Add(-int64(len(line)))
	return line
}

// Sync does nothing, because lines are written after batchDelay at the latest unless
// the output blocks.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the queued lines and returns when they are written, or after limit.
// Lines that are written to the Sink later are lost without being counted.
func (s *Sink) Close(limit time.Duration) {
	close(s.stop)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

// run writes lines in batches until Close is called, and then the lines that are still
// queued.
func (s *Sink) run() {
	defer close(s.done)
	batch := make([]byte, 0, batchBytes)
	for {
		select {
		case line := <-s.lines:
			batch = s.collect(append(batch[:0], s.took(line)...))
			s.write(batch)
		case <-s.stop:
			for {
				select {
				case line := <-s.lines:
					s.write(s.took(line))
				default:
					return
				}
			}
		}
	}
}

// collect appends the lines that are queued within batchDelay, until the batch has
// batchBytes.
func (s *Sink) collect(batch []byte) []byte {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < batchBytes {
		select {
		case line := <-s.lines:
			batch = append(batch, s.took(line)...)
		case <-timer.C:
			return batch
		case <-s.stop:
			return batch
		}
	}
	return batch
}

// write writes a batch to the output. If the write fails, for example because the
// reader of a pipe has exited, the lines are counted as dropped and logging continues.
func (s *Sink) write(batch []byte) {
	if _, err := s.out.Write(batch); err != nil {
		s.dropped.Add(uint64(bytes.Count(batch, []byte{'\n'})))
	}
}

// New returns a logger that writes JSON lines of level info and above to the sink.
// Each line contains the given fields.
func New(s *Sink, fields ...zap.Field) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = encodeMillis
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), s, zapcore.InfoLevel)
	return zap.New(core).With(fields...)
}

// encodeMillis encodes a duration as a number of milliseconds with a fraction.
func encodeMillis(d time.Duration, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendFloat64(float64(d) / float64(time.Millisecond))
}
