package e2e_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/load"
	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/standin/service"
)

// Guards against a load tool that sends fewer requests than it reports, or counts
// responses that the stand-ins did not give. The first run has no faults. In the second
// run the service truncates each response after it has made the booking: every booking
// is then retried, none may be made twice, and those refused for lack of capacity must
// not be made.
func TestLoadAgainstStandins(t *testing.T) {
	t.Parallel()
	s := e2e.Launch(t, e2e.Options{Binaries: binaries, Zones: threeDaemons, EngineSlots: 256})
	run := func(extra ...string) (r load.Report) {
		args := append([]string{"load", "--url", s.Daemons[0].CallerURL, "--key", e2e.CallerKey(0), "--rate", "200", "--duration", "2s",
			"--stream-share", "0.5", "--booking-share", "0.3", "--booking-retries", "1"}, extra...)
		out := s.Tool(s.Daemons[0], args...)
		assert.NilError(t, json.Unmarshal([]byte(out), &r), out)
		return r
	}
	r := run("--seed", "1")
	assert.Equal(t, r.Good, r.Requests, "%v", r.Errors)
	assert.Equal(t, r.Resent, int64(0))
	made := bookingsMade(s)
	assert.Equal(t, r.Classes["booking"].Good, int64(len(made)))
	whole, streamed := finishedRequests(s)
	assert.Equal(t, r.Classes["default"].Good, whole+streamed)
	assert.Equal(t, r.Classes["default"].FirstToken.Count, streamed)
	assert.Assert(t, whole > 50 && streamed > 50 && len(made) > 50, "%d whole, %d streamed, %d bookings", whole, streamed, len(made))

	s.Desk.Post("/standin/faults", service.Faults{CutReply: true})
	// Repeats wait for an outcome until the deadline of their caller, so the deadline is
	// short.
	shortDeadline := filepath.Join(t.TempDir(), "impatient.json")
	assert.NilError(t, os.WriteFile(shortDeadline, []byte(`{"classes":[{"name":"default","share":1,"deadline_ms":{"lognormal_median":2000}}]}`), 0o600))
	broken := run("--seed", "2", "--workload", shortDeadline)
	bookings := broken.Classes["booking"]
	assert.Equal(t, bookings.Good, int64(0))
	assert.Equal(t, broken.Resent, bookings.Requests)
	again := bookingsMade(s)
	assert.Assert(t, len(again) > len(made), "%v", broken.Errors)
	assert.Equal(t, int64(len(again)-len(made)), bookings.Requests-broken.Errors["no_capacity"], "%v", broken.Errors)
	for key, n := range again {
		assert.Equal(t, n, 1, "%s was made %d times", key, n)
	}
}

// finishedRequests counts the requests with a finished run at the engine, by whether
// the response was streamed.
func finishedRequests(s *e2e.System) (whole, streamed int64) {
	seen := make(map[string]bool)
	for _, run := range engineRuns(s) {
		switch {
		case run.State != engine.RunFinished || seen[run.RequestID]:
		case run.Streamed:
			streamed++
		default:
			whole++
		}
		seen[run.RequestID] = true
	}
	return whole, streamed
}
