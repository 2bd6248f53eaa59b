package store

import (
	"errors"
	"net"
)

// TransportError maps the error of a failed request to ErrUnknown or
// ErrUnavailable. A write has an unknown outcome, unless its connection could not
// be established: then nothing was sent.
func TransportError(err error, write bool) error {
	var op *net.OpError
	refused := errors.As(err, &op) && op.Op == "dial"
	if write && !refused {
		return errors.Join(ErrUnknown, err)
	}
	return errors.Join(ErrUnavailable, err)
}
