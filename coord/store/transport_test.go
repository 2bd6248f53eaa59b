package store

import (
	"errors"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against reporting ErrUnavailable for a write that may have taken effect,
// and against reporting ErrUnknown for a write that was never sent.
func TestTransportErrorTellsWhatIsKnown(t *testing.T) {
	dial := &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("refused")}
	for _, c := range []struct {
		err   error
		write bool
		want  error
	}{
		{dial, true, ErrUnavailable},
		{dial, false, ErrUnavailable},
		{io.ErrUnexpectedEOF, true, ErrUnknown},
		{io.ErrUnexpectedEOF, false, ErrUnavailable},
	} {
		got := TransportError(c.err, c.write)
		assert.ErrorIs(t, got, c.want)
		assert.ErrorIs(t, got, c.err)
		assert.Equal(t, errors.Is(got, ErrUnknown), c.want == ErrUnknown)
	}
}
