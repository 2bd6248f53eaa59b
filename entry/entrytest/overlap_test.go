package entrytest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform/standin"
)

// overlap makes changes of several kinds in series until ctx ends.
type overlap struct {
	s   *System
	ctx context.Context
	wg  sync.WaitGroup
}

// repeat calls change in intervals.
func (o *overlap) repeat(every time.Duration, change func(i int)) {
	o.wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-o.ctx.Done():
				return
			case <-time.After(every):
				change(i)
			}
		}
	})
}

// keepBusy occupies cores.
func (o *overlap) keepBusy(cores int) {
	for range cores {
		o.wg.Go(func() {
			for o.ctx.Err() == nil {
			}
		})
	}
}

// begin starts large changes of the configuration, upstreams that leave and pauses.
func (o *overlap) begin() {
	const pause, leave = 900 * time.Millisecond, 2500 * time.Millisecond
	stream := standin.Behaviour{Events: 6, EventEvery: 20 * time.Millisecond, Confidence: 100}
	model := o.s.Upstream("m0", "model", "v1", stream)
	o.s.Upstream("m", "model", "v1", stream)
	desk := o.s.Upstream("d0", "desk", "v1", someService)
	o.s.Upstream("e0", "desk2", "v1", someService)
	o.repeat(120*time.Millisecond, func(i int) {
		o.s.Store.Put("op", "config", standin.LargeConfiguration(i+2, i%3*300, []string{"desk", "desk2"}[i/4%2]))
	})
	o.repeat(600*time.Millisecond, func(i int) {
		leaving := desk
		desk = o.s.Upstream(fmt.Sprintf("d%d", i+1), "desk", "v1", someService)
		leaving.Drain()
		time.AfterFunc(leave, leaving.Stop)
	})
	o.repeat(700*time.Millisecond, func(i int) {
		paused := stream
		paused.Pause = standin.Pause{For: pause * time.Duration(i%2), InBody: i%4 == 1}
		model.SetBehaviour(paused)
	})
	o.keepBusy(2)
}

// Guards against requests on open connections that get neither an answer nor a refusal
// while planned stops, changes of the configuration, pauses and leaving upstreams overlap.
func TestChangesBesideStopsInTurn(t *testing.T) {
	t.Parallel()
	const vms, grace, between, before = 3, 3500 * time.Millisecond, 1800 * time.Millisecond, time.Second
	s := New(t)
	ctx, cancel := context.WithCancel(t.Context())
	o := &overlap{s: s, ctx: ctx}
	o.begin()
	var traffic []*stopTraffic
	for range vms {
		traffic = append(traffic, &stopTraffic{vm: s.StartWithGrace(grace)})
	}
	begun := time.Now()
	request := func(i int) (string, time.Duration) {
		// A stream takes up to 1020 ms with a pause.
		return []string{"/book/x", "/look/x", "/stream/x"}[i%3], []time.Duration{time.Second, time.Second, 2 * time.Second}[i%3]
	}
	var stops sync.WaitGroup
	for i, one := range traffic {
		one.signal = begun // the times of requests count from here
		stop := before + time.Duration(i)*between
		one.keepConnections(10, stop+grace, request)
		stops.Go(func() {
			time.Sleep(time.Until(begun.Add(stop)))
			one.vm.Stop()
			assert.Check(t, one.vm.Wait())
			exit := time.Since(begun)
			one.wg.Wait()
			answers := map[int]int{}
			for _, r := range one.requests {
				answers[r.Status]++
				if !r.Complete && r.at < stop+grace-answeringMargin {
					t.Errorf("%s %s sent %v before the exit: %d %v %q", r.id, r.path, exit-r.at, r.Status, r.err, r.Body)
				}
			}
			assert.Check(t, answers[http.StatusOK] > 100)
			t.Logf("%s: answers %v, signal at %v, exit at %v", one.vm.Settings.VM, answers, stop, exit)
		})
	}
	stops.Wait()
	cancel()
	o.wg.Wait()
}
