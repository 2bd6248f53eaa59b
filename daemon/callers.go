package daemon

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/internal/cutoff"
	"github.com/savoryshift/savoryshift/tree"
)

// answerTimeout bounds the time for which the requests that a planned stop ends are
// answered: the billing of a stream takes up to a second.
const answerTimeout = 2 * time.Second

const (
	// drainPollInterval is the interval at which a stopping daemon looks at the connections.
	drainPollInterval = 10 * time.Millisecond
	// quietTime is how long no request has run when a stopping daemon closes the idle
	// connections, and maxIdleTime how long it keeps them at most while none runs.
	quietTime   = time.Second
	maxIdleTime = 10 * time.Second
)

// callerHandler serves callers. While the daemon leaves the load balancer, it asks
// callers to close their connections: one that is idle at the end of the stop is closed
// without an answer to a request that is on its way.
func (d *Daemon) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		d.proxy.ServeHTTP(w, r)
	})
}

// addCallers adds the caller listener. Its interrupt returns when all requests
// in flight are answered.
func (d *Daemon) addCallers(g *run.Group) {
	b := d.opts.Settings.Bounds
	server := &http.Server{
		Handler:        d.callerHandler(),
		BaseContext:    d.proxy.BaseContext,
		ConnContext:    cutoff.ConnContext,
		MaxHeaderBytes: int(b.HeaderBytes),
	}
	d.callerLimit.Attach(server, d.callerConns, refuseClient)
	var stopping atomic.Bool
	accepted, drained := make(chan struct{}), make(chan struct{})
	g.Add(func() error {
		err := server.Serve(d.opts.Callers)
		close(accepted)
		if stopping.Load() {
			<-drained
			return nil
		}
		return oops.Wrapf(err, "caller listener")
	}, func(error) {
		defer close(drained)
		stopping.Store(true)
		// An error means that the listener is closed already.
		_ = d.opts.Callers.Close()
		<-accepted
		d.drainCallers(server)
	})
}

// drainCallers waits for the requests in flight until the end of the planned stop.
// What still runs then is ended and answered; a connection whose caller does not read
// its answer is closed after answerTimeout.
func (d *Daemon) drainCallers(server *http.Server) {
	// An error of Close would concern the listener, which is closed already.
	defer server.Close()
	if d.waitClosed(d.stopBy) {
		return
	}
	running := d.proxy.Running()
	d.logger.Error("requests are ended by the drain timeout", zap.Strings("requests", running))
	d.proxy.EndRequests()
	if !d.waitClosed(time.Now().Add(answerTimeout)) {
		d.logger.Error("connections are closed without a complete answer", zap.Strings("requests", d.proxy.Running()))
	}
}

// compareDeadlines logs that a planned stop is shorter than a deadline of the settings
// tree, when that deadline is new.
func (d *Daemon) compareDeadlines(old, next *tree.Snapshot) {
	longest, stop := next.Tree().LongestDeadline(), d.opts.Settings.LongestStop()
	if longest <= stop || old != nil && old.Tree().LongestDeadline() == longest {
		return
	}
	d.logger.Warn("a deadline of the settings tree is longer than a planned stop", zap.Int64("revision", next.Revision()),
		zap.Duration("deadline", longest), zap.Duration("stop", stop))
}

// waitClosed closes the idle connections of callers once none is in use: a request that
// crosses the close of its connection has no answer, while one that is read is served or
// refused, and asks its caller to close the connection. It reports whether by the given
// time all were closed, or no request has run for the time in which the header of a request
// must arrive. http.Server.Shutdown is not used, because from its start the server drops
// every request that it has read, without an answer.
func (d *Daemon) waitClosed(until time.Time) bool {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	start := time.Now()
	lastRun, lastUse, open := start, start, 0
	headerTime := d.opts.Settings.Bounds.HeaderReadTimeoutMs.Duration()
	quiet := min(quietTime, headerTime/2)
	for now := start; now.Before(until); now = <-tick.C {
		connections, active := d.callerConns.Open()
		if active > 0 {
			lastRun = now
		}
		// A request that began and ended since the last look has closed its connection.
		if active > 0 || connections < open {
			lastUse = now
		}
		open = connections
		if now.Sub(lastUse) >= quiet || active == 0 && now.Sub(start) >= maxIdleTime {
			d.callerConns.CloseIdle()
		}
		if connections == 0 || now.Sub(lastRun) > headerTime {
			return true
		}
	}
	return false
}
