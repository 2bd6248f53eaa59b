package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	workers         = 8
	sessionRequests = 5
	// balancerPeriod is how often the balancer asks the daemons whether they
	// are ready.
	balancerPeriod = 50 * time.Millisecond
)

// balancer gives requests to daemons that are ready, in turn, as the platform's
// balancer does.
type balancer struct {
	nodes []*node
	http  *http.Client

	mu    sync.Mutex
	ready []*node
	turn  int
}

func newBalancer(nodes []*node) *balancer {
	return &balancer{nodes: nodes, http: &http.Client{Timeout: time.Second}}
}

// run polls readiness until ctx ends.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(balancerPeriod)
	defer ticker.Stop()
	for {
		b.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) poll(ctx context.Context) {
	var ready []*node
	for _, n := range b.nodes {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.ops+"/readyz", nil)
		if err != nil {
			continue
		}
		resp, err := b.http.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, n)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// next returns the URL of the next ready daemon; it differs from the one before
// when there are several.
func (b *balancer) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.nodes[0].url
	}
	b.turn++
	return b.ready[b.turn%len(b.ready)].url
}

// waitReady returns when all daemons are ready.
func (b *balancer) waitReady(ctx context.Context) error {
	for {
		b.mu.Lock()
		n := len(b.ready)
		b.mu.Unlock()
		if n == len(b.nodes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d daemons became ready: %w", n, len(b.nodes), ctx.Err())
		case <-time.After(balancerPeriod):
		}
	}
}

// record counts what the callers received. It is safe for concurrent use.
type record struct {
	mu       sync.Mutex
	sent     int
	answered int
	// chats holds the request ids of answered chat requests, bookings the keys
	// of answered bookings.
	chats    []string
	bookings []string
	// failures describes the first unanswered requests.
	failures []string
	// sessionsBroken counts sessions that changed a version that was not
	// withdrawn.
	sessionsBroken int
	streamed       int
	repeated       int
}

const maxFailures = 5

func (r *record) note(kind string, got received, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if err != nil || !got.whole {
		if len(r.failures) < maxFailures {
			r.failures = append(r.failures, fmt.Sprintf("%s: status %d, error %v, body %.300s", kind, got.status, err, got.body))
		}
		return
	}
	r.answered++
	if kind != kindBooking && kind != kindRepeat {
		r.chats = append(r.chats, got.requestID)
	}
	switch kind {
	case kindStream:
		r.streamed++
	case kindRepeat:
		r.repeated++
	}
}

// Kinds of requests.
const (
	kindWhole   = "whole"
	kindStream  = "stream"
	kindSession = "session"
	kindBooking = "booking"
	kindRepeat  = "repeat"
)

// traffic sends requests through the balancer.
type traffic struct {
	caller   *caller
	balancer *balancer
	record   *record
}

// job is a group of requests of one caller: one chat, one session, or a booking
// with its repeat.
type job struct {
	kind   string
	number int
}

// requests is how many requests a job sends.
func (j job) requests() int {
	switch j.kind {
	case kindSession:
		return sessionRequests
	case kindBooking:
		return 2
	}
	return 1
}

// jobsFor returns jobs that send exactly n requests.
func jobsFor(n, first int) []job {
	var jobs []job
	cycle := []string{kindWhole, kindStream, kindBooking, kindSession, kindWhole, kindStream}
	for i := 0; n > 0; i++ {
		j := job{kind: cycle[i%len(cycle)], number: first + i}
		if j.requests() > n {
			j.kind = kindWhole
		}
		n -= j.requests()
		jobs = append(jobs, j)
	}
	return jobs
}

// send runs the jobs with a fixed number of workers.
func (t *traffic) send(ctx context.Context, jobs []job) {
	queue := make(chan job)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for j := range queue {
				t.run(ctx, j)
			}
		})
	}
	for _, j := range jobs {
		queue <- j
	}
	close(queue)
	wg.Wait()
}

func (t *traffic) run(ctx context.Context, j job) {
	prompt := fmt.Sprintf("Briefing %d: which transceiver for a party of %d?", j.number, j.number%9)
	switch j.kind {
	case kindWhole, kindStream:
		got, err := t.caller.chat(ctx, t.balancer.next(), prompt, "", j.kind == kindStream, maxTokens(j.number))
		t.record.note(j.kind, got, err)
	case kindSession:
		t.session(ctx, prompt, j.number)
	case kindBooking:
		t.booking(ctx, j.number)
	}
}

// maxTokens varies the length of the answers, so that cheap and dear versions
// are used.
func maxTokens(number int) int { return []int{20, 60, 150, 600}[number%4] }

// session sends the requests of one session, each through the next daemon.
func (t *traffic) session(ctx context.Context, prompt string, number int) {
	token := "new"
	versions := make(map[string]string) // by model
	broken := false
	for range sessionRequests {
		got, err := t.caller.chat(ctx, t.balancer.next(), prompt, token, false, maxTokens(number))
		t.record.note(kindSession, got, err)
		if got.session != "" {
			token = got.session
		}
		model := versionSpecs[got.version].model
		before, known := versions[model]
		// The candidate is withdrawn during the run; its sessions move on.
		if known && before != got.version && before != candidateVersion {
			broken = true
		}
		versions[model] = got.version
	}
	if broken {
		t.record.mu.Lock()
		defer t.record.mu.Unlock()
		t.record.sessionsBroken++
	}
}

// booking makes a booking and repeats it under the same key through another
// daemon.
func (t *traffic) booking(ctx context.Context, number int) {
	key := fmt.Sprintf("booking-%d", number)
	beacon := fmt.Sprintf("beacon-%d", number)
	first, err := t.caller.book(ctx, t.balancer.next(), key, beacon)
	t.record.note(kindBooking, first, err)
	again, err := t.caller.book(ctx, t.balancer.next(), key, beacon)
	if err == nil && first.whole && (!again.repeated || !slices.Equal(again.body, first.body)) {
		again.whole = false
	}
	t.record.note(kindRepeat, again, err)
	if first.whole {
		t.record.mu.Lock()
		defer t.record.mu.Unlock()
		t.record.bookings = append(t.record.bookings, key)
	}
}
