// Package cutoff makes the early end of an HTTP response visible that has neither a length
// nor chunks. Its receiver takes a closed connection for the end of such a response, so a
// connection that ends too early must be reset instead.
//
// Over TLS a reset does not show every early end: if no write is in progress, the close of a
// tls.Conn sends an alert before it, which the receiver takes for the end.
package cutoff

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/savoryshift/savoryshift/internal/sockopt"
)

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// resettable is a connection that can be closed by a reset; *net.TCPConn is one.
type resettable interface{ SetLinger(seconds int) error }

// ConnContext is http.Server.ConnContext of the servers whose handlers use Begin.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

const (
	codingField = "Transfer-Encoding"
	// noCoding makes net/http send neither a length nor chunks and close the connection
	// after the response.
	noCoding = "identity"
)

// Mark records in the header of a response that nothing but the end of its connection ended
// its body.
func Mark(h http.Header) { h.Set(codingField, noCoding) }

// Marked reports whether Mark was called.
func Marked(h http.Header) bool { return h.Get(codingField) == noCoding }

// Begin makes the response whose header is h end with its connection. Until End, whatever
// closes the connection resets it, also the end of the process. ctx is the context of the
// request. Begin is called before the header is written.
func Begin(ctx context.Context, h http.Header) {
	Mark(h)
	setLinger(ctx, 0)
}

// End flushes a complete response that was begun with Begin and lets its connection be
// closed. If a part of the response was not written, the connection is still reset.
func End(ctx context.Context, w http.ResponseWriter) error {
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	setLinger(ctx, -1)
	return nil
}

// ReadError returns the error with which the last read from the connection of a request
// ended, nil if it did not fail or is not known.
func ReadError(ctx context.Context) error {
	if r, ok := find[interface{ ReadError() error }](ctx); ok {
		return r.ReadError()
	}
	return nil
}

const (
	// deliveryTime bounds how long AwaitDelivery waits, and deliveryPollInterval is the
	// interval at which it looks.
	deliveryTime         = 150 * time.Millisecond
	deliveryPollInterval = 2 * time.Millisecond
)

// AwaitDelivery waits until the client has acknowledged what was flushed of a response that
// was begun with Begin and ends early. The reset that follows drops what is left. It waits
// for at most deliveryTime, and not beyond the end of done.
func AwaitDelivery(ctx context.Context, done <-chan struct{}) {
	conn, ok := find[*net.TCPConn](ctx)
	if !ok {
		return
	}
	for until := time.Now().Add(deliveryTime); sockopt.HasUnacked(conn) && time.Now().Before(until); {
		select {
		case <-done:
			return
		case <-time.After(deliveryPollInterval):
		}
	}
}

// setLinger sets the option SO_LINGER on the connection of a request: with 0, a close is a
// reset, with -1, it is not. An error means that the connection is closed already.
func setLinger(ctx context.Context, seconds int) {
	if r, ok := find[resettable](ctx); ok {
		_ = r.SetLinger(seconds)
	}
}

// find returns the connection of a request, or the outermost one below it, that has type T.
func find[T any](ctx context.Context) (found T, ok bool) {
	conn, _ := ctx.Value(connectionKey{}).(net.Conn)
	for conn != nil {
		if found, ok = conn.(T); ok {
			return found, true
		}
		wrapper, wraps := conn.(interface{ NetConn() net.Conn })
		if !wraps {
			return found, false
		}
		conn = wrapper.NetConn()
	}
	return found, false
}
