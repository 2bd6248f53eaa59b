package spreadtest

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/savoryshift/savoryshift/coord/changelog"
)

// Plan is an experiment on the time that changes take and on the traffic.
type Plan struct {
	Options
	// Warmup passes before the first change.
	Warmup time.Duration
	// Changes are committed Every apart, and up to 1 s more.
	Changes int
	Every   time.Duration
	// PatchBytes is the size of each change.
	PatchBytes int
	// CutZone cuts the first zone off from the platform.
	CutZone bool
	// KillDelegates ends both delegates of each zone right before each change.
	KillDelegates bool
}

// Figures are the results of an experiment.
type Figures struct {
	// P50, P99 and Max are over the time from the commit of a change until it
	// is in force on the last node, one sample a change.
	P50, P99, Max time.Duration
	// NodeP99 is over one sample per change and node.
	NodeP99 time.Duration
	// Missing counts pairs of change and node that were not in force at the
	// end.
	Missing int
	// MessagesPerNode is the mean number sent per node and second.
	MessagesPerNode float64
	// MeanBytes and MaxBytes are bytes sent and received per second, for the
	// mean node and for the busiest.
	MeanBytes, MaxBytes float64
	// HeadReadsPerSecond counts the reads of the platform's table.
	HeadReadsPerSecond float64
}

// settle passes after the last change, so that it can reach every node.
const settle = 5 * time.Second

// Measure runs the experiment.
func Measure(p Plan) (Figures, error) {
	f := New(p.Options)
	if p.CutZone {
		f.PlatformCut[f.Zones[0]] = true
	}
	f.Run(p.Warmup)
	f.ResetTraffic()
	reads := f.Store.Counts().Reads
	committed := make([]time.Duration, p.Changes)
	for i := range p.Changes {
		if p.KillDelegates {
			f.killDelegates()
		}
		c := changelog.Change{ID: fmt.Sprint("change-", i), Author: "operator", Base: int64(i), Patch: make([]byte, p.PatchBytes)}
		if _, err := f.Log.Append(context.Background(), c); err != nil {
			return Figures{}, err
		}
		committed[i] = f.now
		// The random part keeps changes from meeting the same phase of ticks.
		f.Run(p.Every + time.Duration(f.rng.Int64N(int64(time.Second))))
	}
	f.Run(settle)
	if !slices.ContainsFunc(f.Hosts, (*Host).Running) {
		return Figures{}, errors.New("no node is left")
	}
	figures := f.figures(committed)
	elapsed := (f.now - p.Warmup).Seconds()
	figures.HeadReadsPerSecond = float64(f.Store.Counts().Reads-reads) / elapsed
	f.traffic(&figures, elapsed)
	return figures, nil
}

func (f *Fleet) killDelegates() {
	var delegates []*Host
	for _, h := range f.Hosts {
		if h.Running() && h.Node.Delegate() {
			delegates = append(delegates, h)
		}
	}
	for _, h := range delegates {
		h.Kill()
	}
}

func (f *Fleet) figures(committed []time.Duration) Figures {
	var figures Figures
	var last, all []time.Duration
	for i, at := range committed {
		var slowest time.Duration
		for _, h := range f.Hosts {
			if h.process == 0 {
				continue
			}
			inForce, ok := h.InForceAt[int64(i)+1]
			if !ok {
				figures.Missing++
				continue
			}
			all = append(all, inForce-at)
			slowest = max(slowest, inForce-at)
		}
		last = append(last, slowest)
	}
	figures.P50, figures.P99, figures.Max = quantile(last, 0.5), quantile(last, 0.99), slices.Max(last)
	figures.NodeP99 = quantile(all, 0.99)
	return figures
}

func (f *Fleet) traffic(figures *Figures, seconds float64) {
	nodes := float64(len(f.Hosts))
	for _, h := range f.Hosts {
		bytes := float64(h.Sent.Bytes+h.Received.Bytes) / seconds
		figures.MeanBytes += bytes / nodes
		figures.MaxBytes = max(figures.MaxBytes, bytes)
		figures.MessagesPerNode += float64(h.Sent.Messages) / seconds / nodes
	}
}

// quantile returns the smallest sample that is not below a share q of all.
func quantile(samples []time.Duration, q float64) time.Duration {
	slices.Sort(samples)
	return samples[int(math.Ceil(q*float64(len(samples))))-1]
}
