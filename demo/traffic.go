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
	// balancerPeriod is the interval of the balancer's readiness checks, and of the
	// polls for readiness of all daemons and for the bill.
	balancerPeriod = 50 * time.Millisecond
	// readinessTimeout bounds one readiness check.
	readinessTimeout = time.Second
	// readinessDelay is the readiness delay of the daemons. A stopping daemon must
	// accept requests until the balancer has seen that it is not ready.
	readinessDelay = 2 * readinessTimeout
)

// balancer distributes requests over the ready daemons by round-robin, as the
// platform's balancer does.
type balancer struct {
	nodes []*node
	http  *http.Client

	mu        sync.Mutex
	ready     []*node
	lastIndex int
}

func newBalancer(nodes []*node) *balancer {
	return &balancer{nodes: nodes, http: &http.Client{Timeout: readinessTimeout}}
}

// run checks the readiness of the daemons periodically until ctx ends.
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

// poll replaces the list of ready daemons.
func (b *balancer) poll(ctx context.Context) {
	isReady := make([]bool, len(b.nodes))
	var checks sync.WaitGroup
	for i, n := range b.nodes {
		checks.Go(func() { isReady[i] = b.isReady(ctx, n) })
	}
	checks.Wait()
	var ready []*node
	for i, n := range b.nodes {
		if isReady[i] {
			ready = append(ready, n)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// isReady checks the readiness of one daemon. One that does not answer in time is not
// ready.
func (b *balancer) isReady(ctx context.Context, n *node) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.operatorURL+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// next returns the URL of the next ready daemon: another one than the last time if
// several are ready, and the first daemon if none is.
func (b *balancer) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.nodes[0].callerURL
	}
	b.lastIndex++
	return b.ready[b.lastIndex%len(b.ready)].callerURL
}

// waitReady waits until all daemons are ready.
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
	// chats holds the request ids of answered chats, bookings the idempotency keys of
	// answered bookings.
	chats    []string
	bookings []string
	// failures describes the first maxFailures requests without a complete answer.
	failures []string
	// sessionsBroken counts sessions in which a model changed its version although that
	// version was not withdrawn.
	sessionsBroken int
	// streamed and repeated count answered streams and answered repeats of bookings.
	streamed int
	repeated int
}

const maxFailures = 5

// add records the outcome of one request.
func (r *record) add(kind string, got answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if err != nil || !got.complete {
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

// job is a group of requests that one worker sends in order: a chat, a session, or a
// booking and its repeat.
type job struct {
	kind   string
	number int
}

// requests returns the number of requests that a job sends.
func (j job) requests() int {
	switch j.kind {
	case kindSession:
		return sessionRequests
	case kindBooking:
		return 2
	}
	return 1
}

// jobsFor returns jobs that send n requests in total. Their numbers start at first.
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

// send runs the jobs with a fixed number of workers and waits for their end.
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
		t.record.add(j.kind, got, err)
	case kindSession:
		t.session(ctx, prompt, j.number)
	case kindBooking:
		t.booking(ctx, j.number)
	}
}

// maxTokens varies the length of the answers, so that both cheap and expensive
// versions are used.
func maxTokens(number int) int { return []int{20, 60, 150, 600}[number%4] }

// session sends the requests of one session, each through the next daemon, and checks
// that each model keeps its version.
func (t *traffic) session(ctx context.Context, prompt string, number int) {
	token := "new"
	versions := make(map[string]string) // by model
	broken := false
	for range sessionRequests {
		got, err := t.caller.chat(ctx, t.balancer.next(), prompt, token, false, maxTokens(number))
		t.record.add(kindSession, got, err)
		if got.session != "" {
			token = got.session
		}
		model := versionSpecs[got.version].model
		before, known := versions[model]
		// The candidate is withdrawn during the run, so its sessions get another version.
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

// booking sends a booking and repeats it with the same idempotency key through the
// next daemon. A repeat with another body, or without the header that marks a repeat,
// counts as incomplete.
func (t *traffic) booking(ctx context.Context, number int) {
	key := fmt.Sprintf("booking-%d", number)
	beacon := fmt.Sprintf("beacon-%d", number)
	first, err := t.caller.book(ctx, t.balancer.next(), key, beacon)
	t.record.add(kindBooking, first, err)
	again, err := t.caller.book(ctx, t.balancer.next(), key, beacon)
	if err == nil && first.complete && (!again.repeated || !slices.Equal(again.body, first.body)) {
		again.complete = false
	}
	t.record.add(kindRepeat, again, err)
	if first.complete {
		t.record.mu.Lock()
		defer t.record.mu.Unlock()
		t.record.bookings = append(t.record.bookings, key)
	}
}
