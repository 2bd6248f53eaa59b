package clientlimit

import (
	"context"

	"github.com/savoryshift/savoryshift/internal/bodybudget"
)

// flowShare bounds what the requests of one flow use together, as a multiple of what is left
// free by all flows. One flow alone gets 3/4 of the memory and of the descriptors, and a flow
// that comes later always finds room.
const flowShare = 3

// flow is what the requests of one kind use together.
type flow struct {
	name     string
	requests int
	used     usage
	// leaving is what connections use that are being closed.
	leaving usage
}

// Join makes the request of a context one of a flow, which has a name. It returns
// bodybudget.ErrFull if the flow uses its share; the request must then be refused. The request
// leaves the flow when it ends.
func Join(ctx context.Context, name string) error {
	c := fromContext(ctx)
	if c == nil {
		return nil
	}
	l := c.limiter
	l.mu.Lock()
	f := l.flows[name]
	if f == nil {
		f = &flow{name: name}
		l.flows[name] = f
	}
	f.requests++
	joined := c.flow == nil && !c.gone
	l.mu.Unlock()
	if !joined {
		l.leave(f)
		return bodybudget.ErrFull
	}
	if err := l.reserve(c, claim{flow: f, joins: true}); err != nil {
		l.leave(f)
		return err
	}
	return nil
}

// leave removes a request from a flow.
func (l *Limiter) leave(f *flow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(f)
}

// forget removes a request from a flow. The caller must hold l.mu.
func (l *Limiter) forget(f *flow) {
	if f.requests--; f.requests == 0 {
		delete(l.flows, f.name)
	}
}

// setFlow moves what a connection holds to another flow, or to none. The caller must hold l.mu.
func (l *Limiter) setFlow(c *conn, f *flow) {
	move := func(f *flow, u usage) {
		f.used.add(u)
		l.inFlows.add(u)
		if c.evicted {
			f.leaving.add(u)
		}
	}
	if c.flow != nil {
		move(c.flow, usage{-c.memory, -c.descriptors})
		l.forget(c.flow)
	}
	if c.flow = f; f != nil {
		move(f, c.usage)
	}
}

// shortage returns what requests of the flow must give back before it may use more.
func (l *Limiter) shortage(f *flow, more usage) (short usage) {
	if f == nil || f.requests <= 1 {
		// A request alone has no share, only the limits of the process.
		return usage{}
	}
	if more.memory > 0 {
		free := l.opts.Memory - l.inFlows.memory
		short.memory = roundUp(f.used.memory+(1+flowShare)*more.memory-flowShare*free, 1+flowShare)
	}
	if more.descriptors > 0 {
		free := l.opts.Descriptors - l.inFlows.descriptors
		short.descriptors = roundUp(f.used.descriptors+(1+flowShare)*more.descriptors-flowShare*free, 1+flowShare)
	}
	return short
}

// roundUp returns a/b rounded up.
func roundUp[T int | int64](a, b T) T {
	if a <= 0 {
		return a / b
	}
	return (a + b - 1) / b
}
