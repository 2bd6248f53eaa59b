package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// generator sends the requests of one run.
type generator struct {
	options Options
	client  *http.Client
}

// Run sends requests for the configured duration, waits until all have ended and
// returns the report. When ctx is cancelled, it ends early and still returns a report.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return Report{}, err
	}
	transport := &http.Transport{
		DialContext: o.Dial, DisableCompression: true, MaxIdleConnsPerHost: o.MaxInFlight, IdleConnTimeout: time.Minute,
	}
	defer transport.CloseIdleConnections()
	g := &generator{options: o, client: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	outcomes := make(chan outcome, o.MaxInFlight)
	rec := newRecorder(o)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		for out := range outcomes {
			rec.add(out)
		}
	}()
	start := time.Now()
	g.dispatch(ctx, start, outcomes)
	close(outcomes)
	<-recorded
	return rec.report(time.Since(start)), nil
}

// dispatch sends each request when it is due, or as soon afterwards as fewer than
// MaxInFlight requests are in flight. It returns when all requests have ended.
func (g *generator) dispatch(ctx context.Context, start time.Time, outcomes chan<- outcome) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, g.options.MaxInFlight)
	d := newRequestSource(g.options)
	due := start
	for range g.options.Requests {
		due = due.Add(d.interarrival())
		if due.Sub(start) > g.options.Duration || !waitUntil(ctx, due) {
			return
		}
		r := d.next(due)
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		wg.Go(func() {
			outcomes <- g.perform(ctx, r)
			<-slots
		})
	}
}

// waitUntil waits until t and reports whether ctx is still active.
func waitUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
