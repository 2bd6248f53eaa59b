package bodybudget

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// Guards against upstreams that use up the memory of a VM with several bodies without
// end at once, and against an answer of ordinary size that fails because of them.
func TestEndlessBodiesUseUpTheMemory(t *testing.T) {
	const most = 4 << 20
	b := New(1 << 20)
	reading, blocked := make(chan struct{}), make(chan struct{})
	done := make(chan error)
	go func() {
		large := io.LimitReader(zeros{}, 400<<10)
		_, err := b.ReadAll(io.MultiReader(large, readFunc(func([]byte) (int, error) {
			close(reading)
			<-blocked
			return 0, io.EOF
		})), most)
		done <- err
	}()
	<-reading
	_, err := b.ReadAll(zeros{}, most)
	assert.Assert(t, errors.Is(err, ErrFull), "%v", err)
	ordinary := bytes.Repeat([]byte("a"), UnbudgetedBytes-1)
	data, err := b.ReadAll(bytes.NewReader(ordinary), most)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, ordinary))
	close(blocked)
	assert.NilError(t, <-done)
	assert.Equal(t, b.Used(), int64(0))
}

// readFunc is a reader made of a function.
type readFunc func([]byte) (int, error)

func (f readFunc) Read(b []byte) (int, error) { return f(b) }
