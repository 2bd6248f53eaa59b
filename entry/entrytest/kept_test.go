package entrytest

import (
	"bufio"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/internal/faultlink"
)

// Guards against a request on a kept connection that crosses the close of the connection
// in a planned stop, also one that ends early because nothing is in flight.
func TestRequestCrossesTheCloseOfItsKeptConnection(t *testing.T) {
	t.Parallel()
	// The delay of the link makes crossings likely.
	const clients, delay, first, last = 160, 10 * time.Millisecond, 2100 * time.Millisecond, 3900 * time.Millisecond
	s := New(t)
	u := s.Upstream("d1", "desk", "v1", someService)
	vm := s.Start()
	link, err := faultlink.New(vm.Settings.Front)
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	link.SetFault(faultlink.Fault{Delay: delay})
	traffic := &stopTraffic{vm: vm, signal: time.Now()}
	var answered sync.WaitGroup
	answered.Add(clients)
	stopped := make(chan struct{})
	for c := range clients {
		traffic.wg.Go(func() {
			conn, err := net.Dial("tcp4", link.Address())
			if !assert.Check(t, err) {
				answered.Done()
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			// Each client sends one request before the stop and one in it, at its own time.
			before := traffic.next("/book/x", 4*time.Second)
			traffic.exchange(before, conn, reader)
			assert.Check(t, before.Header.Get("Connection") != "close")
			answered.Done()
			<-stopped
			time.Sleep(time.Until(traffic.signal.Add(first + time.Duration(c)*(last-first)/clients + rand.N(5*time.Millisecond))))
			traffic.exchange(traffic.next("/book/x", 400*time.Millisecond), conn, reader)
		})
	}
	answered.Wait()
	traffic.signal = time.Now()
	vm.Stop()
	close(stopped)
	traffic.wg.Wait()
	assert.NilError(t, vm.Wait())
	runs, refused := u.Runs(), 0
	for _, r := range traffic.requests {
		if !r.Complete {
			t.Errorf("sent at %v: no answer: %v", r.at, r.err)
		}
		if r.Status != 200 {
			refused++
			assert.Assert(t, runs[r.id] == 0 && r.Header.Get("Retry-After") != "", "%d", r.Status)
		}
	}
	t.Logf("%d refused of %d", refused, len(traffic.requests))
}
