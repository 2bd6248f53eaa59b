// Package bodybudget bounds the memory for the bodies of requests and responses. Without it,
// clients with long requests, or upstreams that send bytes without end, could together use up
// the memory of a VM, although each body has a bound.
package bodybudget

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// firstBufferBytes is the first size of the buffer of a body. Buffers of up to
	// UnbudgetedBytes do not count towards a budget.
	firstBufferBytes = 4 << 10
	UnbudgetedBytes  = 64 << 10
)

// ErrFull is returned for a body that does not fit into the budget.
var ErrFull = errors.New("the memory for bodies is full")

// Budget is the memory for the bodies that are being read. It is safe for concurrent use.
type Budget struct {
	limit, used atomic.Int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit replaces the number of bytes. What is in use stays so.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Used returns the number of bytes that are in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// ReadAll reads r to its end, or up to most bytes.
func (b *Budget) ReadAll(r io.Reader, most int) ([]byte, error) {
	share := b.Share()
	defer share.Release()
	return share.ReadAll(r, 0, most)
}

// Source is where the memory of a share comes from.
type Source interface {
	// Take takes a number of bytes, or returns ErrFull.
	Take(bytes int64) error
	// Return gives bytes back.
	Return(bytes int64)
}

// Take implements Source.
func (b *Budget) Take(bytes int64) error {
	if b.used.Add(bytes) > b.limit.Load() {
		b.used.Add(-bytes)
		return ErrFull
	}
	return nil
}

// Return implements Source.
func (b *Budget) Return(bytes int64) { b.used.Add(-bytes) }

// Share is the part of a budget that one body uses. Only one goroutine may use it. A nil
// share has no bound.
type Share struct {
	source Source
	// free is the number of bytes up to which a buffer does not count.
	free int
	held int64
}

// Share returns a share of nothing. Buffers of up to UnbudgetedBytes do not count.
func (b *Budget) Share() *Share { return &Share{source: b, free: UnbudgetedBytes} }

// NewShare returns a share of nothing for which buffers of every size count.
func NewShare(s Source) *Share { return &Share{source: s} }

// Hold makes the share hold a number of bytes. It never shrinks. After an error the share
// is as before.
func (s *Share) Hold(bytes int) error {
	if s == nil {
		return nil
	}
	more := int64(bytes) - s.held
	if bytes <= s.free || more <= 0 {
		return nil
	}
	if err := s.source.Take(more); err != nil {
		return err
	}
	s.held += more
	return nil
}

// ReadAll reads r to its end, or up to most bytes, and goes on holding the buffer. length is
// the expected number of bytes, 0 if it is not known.
func (s *Share) ReadAll(r io.Reader, length, most int) ([]byte, error) {
	size := min(max(length, firstBufferBytes), most)
	if err := s.Hold(size); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	for len(data) < most {
		if len(data) == cap(data) && len(data) == length {
			// A body of the expected length needs no larger buffer.
			var next [1]byte
			n, err := r.Read(next[:])
			if n == 0 && err != nil {
				return data, ignoreEOF(err)
			}
			if err := s.grow(&data, most); err != nil {
				return nil, err
			}
			data = append(data, next[:n]...)
			continue
		}
		if len(data) == cap(data) {
			if err := s.grow(&data, most); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return data, ignoreEOF(err)
		}
	}
	return data, nil
}

// grow doubles a buffer. While the data is copied, both buffers exist.
func (s *Share) grow(data *[]byte, most int) error {
	size := min(2*cap(*data), most)
	if err := s.Hold(size + cap(*data)); err != nil {
		return err
	}
	*data = append(make([]byte, 0, size), *data...)
	return nil
}

func ignoreEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// Release returns the share.
func (s *Share) Release() {
	if s == nil {
		return
	}
	s.source.Return(s.held)
	s.held = 0
}
