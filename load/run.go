package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// generator is one run.
type generator struct {
	o      Options
	client *http.Client
}

// Run sends requests for the duration, waits for their ends and returns the
// report. It ends early, with a report, when ctx is cancelled.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return Report{}, err
	}
	transport := &http.Transport{
		DialContext: o.Dial, DisableCompression: true, MaxIdleConnsPerHost: o.MaxInFlight, IdleConnTimeout: time.Minute,
	}
	defer transport.CloseIdleConnections()
	g := &generator{o: o, client: &http.Client{
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

// dispatch sends each request when it is due, or as soon afterwards as the
// bound on requests in flight allows, and returns when all have ended.
func (g *generator) dispatch(ctx context.Context, start time.Time, outcomes chan<- outcome) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, g.o.MaxInFlight)
	d := newDrawer(g.o)
	due := start
	for range g.o.Requests {
		due = due.Add(d.gap())
		if due.Sub(start) > g.o.Duration || !waitUntil(ctx, due) {
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
