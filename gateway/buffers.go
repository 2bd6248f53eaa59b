package gateway

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// defaultMaxBuffered is the default of Options.MaxBuffered.
	defaultMaxBuffered = 64 << 20
	// firstBufferBytes is the first size of the buffer of a response. Buffers of up to
	// unbudgetedBytes do not count towards Options.MaxBuffered.
	firstBufferBytes = 4 << 10
	unbudgetedBytes  = 64 << 10
)

// errBuffersFull is returned for a response that does not fit into the memory for
// response bodies.
var errBuffersFull = errors.New("the memory for response bodies is full")

// bufferBudget bounds the memory for response bodies that are being read. Without it,
// a few upstreams that send bytes without end could use up the memory of the VM.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

// readAll reads r to its end, or up to most bytes.
func (b *bufferBudget) readAll(r io.Reader, most int) ([]byte, error) {
	reserved := int64(0)
	defer func() { b.used.Add(-reserved) }()
	data := make([]byte, 0, firstBufferBytes)
	for len(data) < most {
		if len(data) == cap(data) {
			size := min(2*cap(data), most)
			if size > unbudgetedBytes {
				reserved += int64(size)
				if b.used.Add(int64(size)) > b.limit {
					return nil, errBuffersFull
				}
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
	return data, nil
}
