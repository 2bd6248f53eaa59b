package store

import (
	"errors"
	"net"
)

// TransportError maps a failed exchange to ErrUnknown or ErrUnavailable. A
// refused connection proves that nothing was sent.
func TransportError(err error, write bool) error {
	var op *net.OpError
	refused := errors.As(err, &op) && op.Op == "dial"
	if write && !refused {
		return errors.Join(ErrUnknown, err)
	}
	return errors.Join(ErrUnavailable, err)
}
