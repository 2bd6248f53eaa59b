package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/platform/standin"
)

const (
	// keptConnections is the number of callers that hold a connection to a VM when its
	// planned stop begins.
	keptConnections = 8
	// directInterval is the mean interval of the requests that come on new connections.
	directInterval = 60 * time.Millisecond
	// slowBodyShare is the share of direct requests whose body takes up to maxBodyTime,
	// in bodyParts parts.
	slowBodyShare = 0.3
	maxBodyTime   = 2500 * time.Millisecond
	bodyParts     = 5
	// maxIdleTime bounds the pause of a caller with a kept connection before a request.
	maxIdleTime = 1500 * time.Millisecond
	// firstSignalDelay and lastSignalDelay bound the time between the signal to stop and
	// a further signal.
	firstSignalDelay = 100 * time.Millisecond
	lastSignalDelay  = 900 * time.Millisecond
)

// directLoad consists of callers that connect straight to a VM, not through the
// balancer, and send requests until its process is gone.
type directLoad struct {
	load *loadGenerator
	vm   *vm
	kept []*http.Transport
	wg   sync.WaitGroup
}

// newDirectLoad opens the connections that are kept.
func newDirectLoad(c *loadGenerator, m *vm) *directLoad {
	d := &directLoad{load: c, vm: m}
	for range keptConnections {
		transport := &http.Transport{DialContext: m.dial}
		d.kept = append(d.kept, transport)
		req, err := http.NewRequest(http.MethodGet, "http://"+standin.Host+"/", nil)
		if err != nil {
			panic(err) // not reached: the URL is valid
		}
		// No route matches the path, so that the VM responds at once.
		if resp, err := transport.RoundTrip(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	return d
}

// start begins to send requests until the process has ended.
func (d *directLoad) start(p *e2e.Process) {
	for _, transport := range d.kept {
		d.wg.Go(func() {
			defer transport.CloseIdleConnections()
			for p.Running() && !d.load.stopsWithin(rand.N(maxIdleTime)) {
				call := d.load.call(transport, directRequest())
				_ = d.load.stopsWithin(call.retryDelay())
			}
		})
	}
	d.wg.Go(func() {
		transport := &http.Transport{DisableKeepAlives: true, DialContext: d.vm.dial}
		for p.Running() && !d.load.stopsWithin(rand.N(2*directInterval)) {
			d.wg.Go(func() { d.load.call(transport, directRequest()) })
		}
	})
}

// wait waits until all requests have ended.
func (d *directLoad) wait() { d.wg.Wait() }

// directRequest returns a random request.
func directRequest() request {
	r := request{route: []string{"book", "book", "look", "stream"}[rand.IntN(4)], timeout: callDeadline, direct: true}
	if rand.Float64() < slowBodyShare {
		r.bodyTime = rand.N(maxBodyTime)
	}
	return r
}

// slowBody is a request body that is sent in parts at an interval.
type slowBody struct {
	rest     string
	partSize int
	interval time.Duration
}

// newBody returns a body that takes the given time to send.
func newBody(text string, d time.Duration) io.Reader {
	if d == 0 {
		return strings.NewReader(text)
	}
	return &slowBody{rest: text, partSize: 1 + len(text)/bodyParts, interval: d / bodyParts}
}

// Read returns the next part after the interval.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.rest == "" {
		return 0, io.EOF
	}
	time.Sleep(b.interval)
	n := copy(p, b.rest[:min(b.partSize, len(b.rest))])
	b.rest = b.rest[n:]
	return n, nil
}
