package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/operator"
)

const (
	// DefaultRequests is the number of requests of a demonstration.
	DefaultRequests = 400
	// phases is the number of phases of the traffic: before the rollout, during it,
	// during the withdrawal and during the planned stop of a daemon.
	phases = 4
	// runTimeout bounds the duration of the demonstration.
	runTimeout  = 30 * time.Second
	stopTimeout = 10 * time.Second
)

// Options configures a demonstration.
type Options struct {
	// Requests defaults to DefaultRequests.
	Requests int
	// Progress receives a line for each phase; nil discards them.
	Progress io.Writer
	// Logger is the logger of the daemons; nil discards their logs.
	Logger *zap.Logger
}

// Run starts the system, sends the requests and returns the verdict. An error means
// that the demonstration could not be carried out, not that its verdict is bad.
func Run(ctx context.Context, o Options) (Verdict, error) {
	if o.Requests == 0 {
		o.Requests = DefaultRequests
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	s, err := startSystem(o.Logger)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return Verdict{}, err
	}
	d := &demonstration{system: s, out: o.Progress, record: &record{}, requests: o.Requests}
	d.operators = operator.NewClient(operator.ClientOptions{URL: s.daemons[0].operatorURL, Token: operatorToken})
	d.balancer = newBalancer(s.daemons)
	d.traffic = &traffic{caller: newCaller(), balancer: d.balancer, record: d.record}
	go d.balancer.run(ctx)
	if err := d.run(ctx); err != nil {
		return Verdict{}, err
	}
	return d.verdict(ctx)
}

// demonstration is one run. It is used by one goroutine.
type demonstration struct {
	system    *system
	operators *operator.Client
	balancer  *balancer
	traffic   *traffic
	record    *record
	out       io.Writer
	requests  int
	// withdrawnAt is the time at which the withdrawal was known to be in force on all
	// daemons.
	withdrawnAt time.Time
}

// progressf writes a line to the progress output.
func (d *demonstration) progressf(format string, args ...any) {
	fmt.Fprintf(d.out, format+"\n", args...)
}

// run configures the daemons and runs the phases in order.
func (d *demonstration) run(ctx context.Context) error {
	if err := d.configure(ctx); err != nil {
		return err
	}
	if err := d.balancer.waitReady(ctx); err != nil {
		return err
	}
	d.progressf("%d daemons in %d availability zones are ready", len(d.system.daemons), len(zones))
	steps := []struct {
		name   string
		during func(context.Context) error
	}{
		{"traffic on settled versions", nil},
		{"roll-out of " + candidateVersion + " starts under traffic", d.startRollout},
		{candidateVersion + " is withdrawn under traffic", d.withdraw},
		{"one daemon stops gracefully under traffic", d.stopLastDaemon},
	}
	for i, step := range steps {
		if err := d.phase(ctx, i, step.during); err != nil {
			return oops.Wrapf(err, "%s", step.name)
		}
		d.progressf("%s: %d of %d answered so far", step.name, d.record.answered, d.record.sent)
	}
	return nil
}

// phase sends the requests of phase i while during, which may be nil, runs.
func (d *demonstration) phase(ctx context.Context, i int, during func(context.Context) error) error {
	n := d.requests / phases
	if i == phases-1 {
		n = d.requests - i*n
	}
	done := make(chan error, 1)
	go func() {
		if during == nil {
			done <- nil
			return
		}
		done <- during(ctx)
	}()
	d.traffic.send(ctx, jobsFor(n, i*d.requests))
	return <-done
}

// configure writes the first configuration and waits until it is in force on all
// daemons.
func (d *demonstration) configure(ctx context.Context) error {
	patch, err := json.Marshal(d.system.settingsTree())
	if err != nil {
		return oops.Wrap(err)
	}
	result, err := d.operators.Propose(ctx, operator.Edit{Reason: "first configuration", Patch: patch})
	if err != nil {
		return err
	}
	return d.waitAccepted(ctx, result)
}

// waitAccepted waits until the revision of a change is in force on all daemons.
func (d *demonstration) waitAccepted(ctx context.Context, r operator.EditResult) error {
	start := time.Now()
	_, err := d.operators.WaitAccepted(ctx, r.Revision, nil)
	if err == nil {
		d.progressf("revision %d is in force everywhere after %d ms", r.Revision, time.Since(start).Milliseconds())
	}
	return err
}

func (d *demonstration) startRollout(ctx context.Context) error {
	result, err := d.operators.Rollout(ctx, rolloutID, "start", operator.Action{
		Reason: "try " + candidateVersion, From: baseVersion, To: candidateVersion, Percent: 50, StepPercent: 10, StepSeconds: 3600,
	})
	if err != nil {
		return err
	}
	return d.waitAccepted(ctx, result)
}

func (d *demonstration) withdraw(ctx context.Context) error {
	result, err := d.operators.Withdraw(ctx, candidateVersion, operator.Action{Reason: "withdrawn again", Successor: baseVersion})
	if err != nil {
		return err
	}
	err = d.waitAccepted(ctx, result)
	d.withdrawnAt = time.Now()
	return err
}

// stopLastDaemon stops the last daemon gracefully.
func (d *demonstration) stopLastDaemon(context.Context) error {
	n := d.system.daemons[len(d.system.daemons)-1]
	return n.stopAndWait(stopTimeout)
}
