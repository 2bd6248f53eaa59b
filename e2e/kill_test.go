package e2e_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/ledger"
	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/standin/service"
)

// Guards against bookings that are made twice or lost, a false "not run" and requests
// that are not billed or billed twice when a daemon is killed with calls in flight.
// Each call has its own organisation, so that the totals of the bill show every single
// request. As a negative control, the bookings are repeated under new idempotency keys,
// and the check must find bookings that were made twice.
func TestKilledDaemon(t *testing.T) {
	t.Parallel()
	const calls = 60
	s := e2e.Launch(t, e2e.Options{Binaries: binaries, Zones: threeDaemons, Organisations: 2 * calls, EngineSlots: 64, TokensPerSecond: 100,
		EditSettings: func(f *settings.Settings) {
			if f.VM == "entry-0" {
				f.Periods.LedgerFlushMs = 60_000 // the daemon is killed before it flushes its ledger
			}
		}})
	first := killDuringCalls(t, s, calls)

	var toRepeat []e2e.Call
	for _, c := range first {
		if c.call.BookingKey != "" {
			c.call.Deadline = 2 * time.Second // a repeat waits that long for the outcome of a claim
			toRepeat = append(toRepeat, c.call)
		}
	}
	survivor := func(i int) string { return s.Daemons[1+i%2].CallerURL }
	repeats := sendParallel(survivor, toRepeat)
	var bookings []callResult
	for _, c := range append(first, repeats...) {
		if c.call.BookingKey != "" {
			bookings = append(bookings, c)
		}
	}
	assert.DeepEqual(t, violations(bookings, bookingsMade(s)), []string(nil))
	for i, r := range repeats {
		if r.answer.Complete && wasAnswered(first, r.call.BookingKey) {
			assert.Assert(t, r.answer.Repeated, "repeat %d of an answered booking is not marked: %+v", i, r.answer)
		}
	}
	checkBilledOnce(t, s, append(first, repeats...))

	for i := range toRepeat {
		toRepeat[i].BookingKey += "-new"
	}
	for _, c := range sendParallel(survivor, toRepeat) {
		c.call.BookingKey = c.call.BookingKey[:len(c.call.BookingKey)-len("-new")]
		bookings = append(bookings, c)
	}
	made := make(map[string]int)
	for key, n := range bookingsMade(s) {
		made[key[:len("booking-00")]] += n
	}
	assert.Assert(t, len(violations(bookings, made)) > 0, "the checks pass without idempotency keys")
}

// killDuringCalls sends calls through the first daemon and kills it when half of them
// are answered and others are in flight: chats that the engine has started, and
// bookings that the service makes while the daemon is paused and cannot read the
// response.
func killDuringCalls(t *testing.T, s *e2e.System, n int) []callResult {
	const workers, inFlight = 16, 3
	var calls []e2e.Call
	for i := range 2 * n {
		c := e2e.Call{Organisation: i, Deadline: 20 * time.Second, Model: "small", Stream: i%4 == 1, MaxTokens: 1 + i%20}
		if i%2 == 0 {
			c.BookingKey = fmt.Sprintf("booking-%02d", i/2)
		}
		calls = append(calls, c)
	}
	queue, answers := make(chan e2e.Call, len(calls)), make(chan callResult, len(calls))
	for range workers {
		go func() {
			for c := range queue {
				answers <- callResult{c, e2e.Send(s.Daemons[0].CallerURL, c)}
			}
		}()
	}
	for _, c := range calls {
		queue <- c
	}
	close(queue)
	var all []callResult
	for len(all) < n {
		all = append(all, <-answers)
	}
	s.Desk.Post("/standin/faults", service.Faults{SlowMs: 2000})
	s.Engine.Post("/standin/faults", engine.Faults{Frozen: true})
	e2e.Eventually(t, "chats and bookings are in flight", func() bool {
		d := s.Daemons[0].InFlight()
		return d[e2e.EngineID] >= inFlight && d[e2e.DeskID] >= inFlight
	})
	s.Daemons[0].Pause()
	before := len(bookingsMade(s))
	e2e.Eventually(t, "the service makes bookings of the paused daemon", func() bool { return len(bookingsMade(s)) > before })
	s.Daemons[0].Kill()
	s.Desk.Post("/standin/faults", service.Faults{})
	s.Engine.Post("/standin/faults", engine.Faults{})
	for len(all) < len(calls) {
		all = append(all, <-answers)
	}
	return all
}

// wasAnswered reports whether a call with an idempotency key has a complete response.
func wasAnswered(calls []callResult, key string) bool {
	for _, c := range calls {
		if c.call.BookingKey == key && c.answer.Complete {
			return true
		}
	}
	return false
}

// checkBilledOnce waits until every answered request is billed and checks that none is
// billed twice. The ledger entries of the killed daemon are flushed by the daemons that
// hold copies of them.
func checkBilledOnce(t *testing.T, s *e2e.System, calls []callResult) {
	objects := infra.New(infra.Options{URL: s.Platform.URL}).Objects()
	var bill ledger.Bill
	unbilled := func() []string {
		var missing []string
		for _, c := range calls {
			if id := e2e.OrganisationID(c.call.Organisation); c.answer.Complete && bill.Organisations[id].Requests == 0 {
				missing = append(missing, id)
			}
		}
		return missing
	}
	e2e.Eventually(t, "every answered request is billed", func() bool {
		var err error
		bill, err = ledger.Settle(context.Background(), objects, time.Now())
		assert.NilError(t, err)
		return len(unbilled()) == 0
	})
	for id, total := range bill.Organisations {
		assert.Assert(t, total.Requests == 1, "%s is billed for %d requests instead of one", id, total.Requests)
	}
	assert.Equal(t, len(bill.Conflicts), 0, "%+v", bill.Conflicts)
}
