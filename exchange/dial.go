package exchange

import (
	"context"
	"net"
	"time"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/internal/sockopt"
)

const (
	// dialTimeout bounds the time to open a connection. It is many times the
	// round-trip time between zones, and shorter than the time until a lost SYN
	// is first retransmitted (1 s), so that another upstream is tried instead.
	dialTimeout = 250 * time.Millisecond
	// dialSteps is the number of steps in which dialTimeout is counted.
	dialSteps = 10
	dialStep  = dialTimeout / dialSteps
)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: sockopt.LimitUnacked(unackedTimeout),
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go limitDial(ctx, cancel, address)
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil && ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return conn, err
}

// limitDial cancels a dial after dialTimeout. A step that ends late shows that this
// process was not running; the connection may be open although the dial has not returned
// yet. However long it is, it counts as one step, and it is never the last one.
func limitDial(ctx context.Context, cancel context.CancelCauseFunc, address string) {
	for left := dialSteps; ; left-- {
		began := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-time.After(dialStep):
		}
		if left <= 1 && time.Since(began) < 2*dialStep {
			cancel(oops.Wrapf(context.DeadlineExceeded, "connecting to %s", address))
			return
		}
	}
}
