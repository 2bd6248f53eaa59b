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

// Experiment configures a run of a Fleet that measures the time until changes are
// in force, and the traffic.
type Experiment struct {
	Options
	// Warmup is the time before the first change.
	Warmup time.Duration
	// Changes is the number of changes. They are committed Every plus a random
	// time of up to 1 s apart.
	Changes int
	Every   time.Duration
	// PatchBytes is the size of the patch of each change.
	PatchBytes int
	// CutZone cuts the first zone off from the platform.
	CutZone bool
	// KillDelegates kills all delegates of each zone right before each change.
	KillDelegates bool
}

// Results holds the measurements of one Experiment.
type Results struct {
	// P50, P99 and Max are quantiles and maximum of the time from the commit of a
	// change until it is in force on the last node, with one sample per change.
	P50, P99, Max time.Duration
	// NodeP99 is the 99th percentile of the time from the commit of a change
	// until it is in force on a node, with one sample per change and node.
	NodeP99 time.Duration
	// Missing is the number of pairs of a change and a running node for which the
	// change was not in force on the node at the end.
	Missing int
	// MessagesPerNode is the mean number of messages sent per node and second.
	MessagesPerNode float64
	// MeanBytes and MaxBytes are the bytes sent and received per second, as the
	// mean over all nodes and for the busiest node.
	MeanBytes, MaxBytes float64
	// HeadReadsPerSecond is the number of reads of the platform's table per
	// second.
	HeadReadsPerSecond float64
}

// settleTime is the time that Measure runs on after the last change, so that the
// change can reach every node.
const settleTime = 5 * time.Second

// Measure runs the experiment and returns its results.
func Measure(e Experiment) (Results, error) {
	f := New(e.Options)
	if e.CutZone {
		f.PlatformCut[f.Zones[0]] = true
	}
	f.Run(e.Warmup)
	f.ResetTraffic()
	reads := f.Store.Counts().Reads
	committed := make([]time.Duration, e.Changes)
	for i := range e.Changes {
		if e.KillDelegates {
			f.killDelegates()
		}
		c := changelog.Change{ID: fmt.Sprint("change-", i), Author: "operator", Base: int64(i), Patch: make([]byte, e.PatchBytes)}
		if _, err := f.Log.Append(context.Background(), c); err != nil {
			return Results{}, err
		}
		committed[i] = f.now
		// The random part prevents all changes from being committed at the same
		// phase of the periodic calls.
		f.Run(e.Every + time.Duration(f.rng.Int64N(int64(time.Second))))
	}
	f.Run(settleTime)
	if !slices.ContainsFunc(f.Hosts, (*Host).Running) {
		return Results{}, errors.New("no node is left")
	}
	results := f.latencyResults(committed)
	elapsed := (f.now - e.Warmup).Seconds()
	results.HeadReadsPerSecond = float64(f.Store.Counts().Reads-reads) / elapsed
	f.addTraffic(&results, elapsed)
	return results, nil
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

func (f *Fleet) latencyResults(committed []time.Duration) Results {
	var results Results
	var last, all []time.Duration
	for i, at := range committed {
		var slowest time.Duration
		for _, h := range f.Hosts {
			if h.process == 0 {
				continue
			}
			inForce, ok := h.InForceAt[int64(i)+1]
			if !ok {
				results.Missing++
				continue
			}
			all = append(all, inForce-at)
			slowest = max(slowest, inForce-at)
		}
		last = append(last, slowest)
	}
	results.P50, results.P99, results.Max = quantile(last, 0.5), quantile(last, 0.99), slices.Max(last)
	results.NodeP99 = quantile(all, 0.99)
	return results
}

func (f *Fleet) addTraffic(results *Results, seconds float64) {
	nodes := float64(len(f.Hosts))
	for _, h := range f.Hosts {
		bytes := float64(h.Sent.Bytes+h.Received.Bytes) / seconds
		results.MeanBytes += bytes / nodes
		results.MaxBytes = max(results.MaxBytes, bytes)
		results.MessagesPerNode += float64(h.Sent.Messages) / seconds / nodes
	}
}

// quantile returns the smallest sample that is at least as large as a share q of
// all samples. It sorts samples.
func quantile(samples []time.Duration, q float64) time.Duration {
	slices.Sort(samples)
	return samples[int(math.Ceil(q*float64(len(samples))))-1]
}
