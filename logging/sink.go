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
	// queuedLines bounds the lines that wait for the output; about 1 MB at the
	// usual length.
	queuedLines = 4096
	// batchBytes is the size of one write.
	batchBytes = 32 << 10
	// batchDelay collects lines before they are written, which saves system calls.
	batchDelay = 100 * time.Millisecond
)

// Sink takes log lines and writes them to the output in batches. It is safe for
// concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// NewSink starts a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; lines are written within batchDelay.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were lost.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what is queued, for at most the given time. Later lines are
// dropped without being counted.
func (s *Sink) Close(limit time.Duration) {
	close(s.stop)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

// run writes lines in batches until Close, and then what is queued.
func (s *Sink) run() {
	defer close(s.done)
	batch := make([]byte, 0, batchBytes)
	for {
		select {
		case line := <-s.lines:
			batch = s.collect(append(batch[:0], line...))
			s.write(batch)
		case <-s.stop:
			for {
				select {
				case line := <-s.lines:
					s.write(line)
				default:
					return
				}
			}
		}
	}
}

// collect adds the lines that come within batchDelay.
func (s *Sink) collect(batch []byte) []byte {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < batchBytes {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
		case <-timer.C:
			return batch
		case <-s.stop:
			return batch
		}
	}
	return batch
}

// write hands a batch to the output. A reader that is gone is no reason to stop:
// its lines are lost and counted.
func (s *Sink) write(batch []byte) {
	if _, err := s.out.Write(batch); err != nil {
		s.dropped.Add(uint64(bytes.Count(batch, []byte{'\n'})))
	}
}

// New returns a logger that writes JSON lines to the sink.
func New(s *Sink, fields ...zap.Field) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = encodeMillis
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), s, zapcore.InfoLevel)
	return zap.New(core).With(fields...)
}

// encodeMillis writes a duration in milliseconds with its fraction.
func encodeMillis(d time.Duration, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendFloat64(float64(d) / float64(time.Millisecond))
}
