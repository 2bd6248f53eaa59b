package logging

import (
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
	done    chan struct{}
}

// NewSink starts a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
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

// Close writes what is queued, for at most the given time. No line may be
// written afterwards.
func (s *Sink) Close(limit time.Duration) {
	close(s.lines)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	batch := make([]byte, 0, batchBytes)
	for line := range s.lines {
		batch = append(batch[:0], line...)
		timer := time.NewTimer(batchDelay)
		open := true
		for open && len(batch) < batchBytes {
			select {
			case next, ok := <-s.lines:
				open = ok
				batch = append(batch, next...)
				continue
			case <-timer.C:
			}
			break
		}
		timer.Stop()
		// A reader that is gone is no reason to stop; the lines are lost.
		if _, err := s.out.Write(batch); err != nil {
			s.dropped.Add(1)
		}
	}
}

// New returns a logger that writes JSON lines to the sink.
func New(s *Sink, fields ...zap.Field) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), s, zapcore.InfoLevel)
	return zap.New(core).With(fields...)
}
