package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logText = `  1.05 vm-1 {"level":"info","ts":"2026-06-06T08:00:02.000Z","msg":"call","vm":"vm-1","request":"r1","event":"unanswered","upstream":"u1","error":"dial timeout"}
garbage without a brace
{"level":"info","ts":"2026-06-06T08:00:03.000Z","msg":"request","vm":"vm-1","request":"r1","status":503,"reason":"no_capacity"}
{"level":"info","ts":"2026-06-06T08:00:03.5
{"level":"info","ts":"2026-06-06T08:00:04.000Z","msg":"request","vm":"vm-1","request":"r2","status":200,"reason":"","pause":1500.5}
{"level":"info","ts":"2026-06-06T08:00:04.000Z","msg":"started","vm":"vm-1"}
`

const otherLog = `{"level":"info","ts":"2026-06-06T08:00:01.000Z","msg":"call","vm":"vm-2","request":"r1","event":"silent","upstream":"u0"}
{"level":"info","ts":"2026-06-06T08:00:05.000Z","msg":"request","vm":"vm-2","request":"r3","status":500,"reason":""}
`

func writeLogs(t *testing.T) []string {
	t.Helper()
	dir := t.TempDir()
	first, second := filepath.Join(dir, "1.log"), filepath.Join(dir, "2.log")
	assert.NilError(t, os.WriteFile(first, []byte(logText), 0o600))
	assert.NilError(t, os.WriteFile(second, []byte(otherLog), 0o600))
	return []string{first, second}
}

// Guards against lines of several VMs that are not sorted by time, a missing
// cause, and unreadable lines that are not skipped and counted.
func TestExplainRequest(t *testing.T) {
	var out, errOut strings.Builder
	code := execute(t.Context(), append([]string{"explain", "--request", "r1"}, writeLogs(t)...), &out, &errOut)
	assert.Equal(t, code, exitOK, errOut.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 5)
	assert.Assert(t, strings.Contains(lines[0], "vm-2") && strings.Contains(lines[0], "silent"))
	assert.Equal(t, lines[3], `cause: status 503, no_capacity; the last call at upstream u1 ended with "unanswered"`)
	assert.Equal(t, lines[4], "2 lines could not be read and were skipped")
}

// Guards against a request that was rejected without a call being explained
// without the counts of excluded upstreams.
func TestExplainRefusal(t *testing.T) {
	line := func(counts string) string {
		return `{"ts":"2026-06-06T08:00:01.000Z","msg":"no upstream","vm":"vm-1","request":"r1",` + counts + "}\n" +
			`{"ts":"2026-06-06T08:00:02.000Z","msg":"request","vm":"vm-1","request":"r1","status":503,"reason":"no_capacity"}` + "\n"
	}
	for counts, want := range map[string]string{
		`"registered":3,"tried":0,"unreachable":2,"failing":1`: "of 3 registered upstreams 2 could not be reached, 1 failed in a row",
		`"registered":3,"leaving":1,"paused":2`:                "of 3 registered upstreams 1 were leaving, 2 had asked for a pause",
		`"registered":3,"tried":0`:                             "of 3 registered upstreams none was kept from it",
	} {
		file := filepath.Join(t.TempDir(), "1.log")
		assert.NilError(t, os.WriteFile(file, []byte(line(counts)), 0o600))
		var out, errOut strings.Builder
		assert.Equal(t, execute(t.Context(), []string{"explain", "--request", "r1", file}, &out, &errOut), exitOK, errOut.String())
		assert.Assert(t, strings.Contains(out.String(), "cause: status 503, no_capacity; "+want), out.String())
	}
}

// Guards against an answer that may have ended early being explained as any other.
func TestExplainUnframedAnswer(t *testing.T) {
	file := filepath.Join(t.TempDir(), "1.log")
	const text = `{"ts":"2026-06-06T08:00:01.000Z","msg":"call","vm":"vm-1","request":"r1","event":"unframed answer","upstream":"u1"}
{"ts":"2026-06-06T08:00:02.000Z","msg":"request","vm":"vm-1","request":"r1","status":200,"reason":""}
`
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	var out, errOut strings.Builder
	assert.Equal(t, execute(t.Context(), []string{"explain", "--request", "r1", file}, &out, &errOut), exitOK, errOut.String())
	assert.Assert(t, strings.Contains(out.String(), "the answer may have ended early"), out.String())
}

// Guards against a closed connection whose explanation does not say how much was sent.
func TestExplainDoesNotSayWhatWasSent(t *testing.T) {
	for fields, want := range map[string]string{
		`"header":false`: "closed without a response",
		`"header":true,"header_sent":false,"events":1,"events_sent":0`: "nothing was sent of a response with 1 events",
		`"header":true,"header_sent":true,"events":3,"events_sent":2`:  "closed after 2 of 3 events were sent",
	} {
		file := filepath.Join(t.TempDir(), "1.log")
		text := `{"ts":"2026-06-06T08:00:01.000Z","msg":"connection closed","vm":"vm-1","request":"r1","reason":"upstream_failed",` + fields + `}
{"ts":"2026-06-06T08:00:02.000Z","msg":"request","vm":"vm-1","request":"r1","status":200,"reason":"upstream_failed"}
`
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		var out, errOut strings.Builder
		assert.Equal(t, execute(t.Context(), []string{"explain", "--request", "r1", file}, &out, &errOut), exitOK, errOut.String())
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
}

// Guards against failed requests that are missing from the list or grouped under
// a wrong cause.
func TestExplainFailed(t *testing.T) {
	var out, errOut strings.Builder
	code := execute(t.Context(), append([]string{"explain", "--failed"}, writeLogs(t)...), &out, &errOut)
	assert.Equal(t, code, exitOK, errOut.String())
	assert.Assert(t, strings.Contains(out.String(), "503 no_capacity: 1\n  r1\n"))
	assert.Assert(t, strings.Contains(out.String(), "500 failure of the upstream: 1\n  r3\n"))
}

// Guards against exit code 0 for missing files, unknown requests and
// contradictory flags.
func TestExplainBadInput(t *testing.T) {
	files := writeLogs(t)
	for _, args := range [][]string{
		{"explain", "--request", "none", files[0]}, {"explain", files[0]}, {"explain", "--failed", "--request", "r1", files[0]},
		{"explain", "--failed", filepath.Join(t.TempDir(), "missing")},
	} {
		var out, errOut strings.Builder
		assert.Assert(t, execute(t.Context(), args, &out, &errOut) != exitOK, "%v", args)
	}
}

// Guards against log files that make the reader panic or fail.
func FuzzLogs(f *testing.F) {
	f.Add(logText)
	f.Add("{\"request\":5}\n{")
	f.Fuzz(func(t *testing.T, text string) {
		var l logs
		assert.NilError(t, l.read(strings.NewReader(text)))
	})
}

// Guards against a request that was kept from upstreams, or that ended some, being
// explained without the part of its prompt and the ends.
func TestExplainQuarantine(t *testing.T) {
	const lines = `{"ts":"2026-06-06T08:00:01.000Z","msg":"quarantined","vm":"vm-1","request":"r1","part":"5c1e07a2","upstreams_ended":6,"next_test":12.5}
{"ts":"2026-06-06T08:00:01.001Z","msg":"request","vm":"vm-1","request":"r1","status":503,"reason":"quarantined"}
{"ts":"2026-06-06T08:00:01.000Z","msg":"request","vm":"vm-2","request":"r2","status":502,"reason":"upstream_failed"}
{"ts":"2026-06-06T08:00:01.004Z","msg":"upstream ended","vm":"vm-2","request":"r2","upstream":"u1","parts":["5c1e07a2"]}
`
	file := filepath.Join(t.TempDir(), "1.log")
	assert.NilError(t, os.WriteFile(file, []byte(lines), 0o600))
	for request, want := range map[string]string{
		"r1": "cause: status 503, quarantined; 6 upstreams had ended under prompts with the part 5c1e07a2",
		"r2": "cause: status 502, upstream_failed; 1 upstreams ended under it",
	} {
		var out, errOut strings.Builder
		assert.Equal(t, execute(t.Context(), []string{"explain", "--request", request, file}, &out, &errOut), exitOK, errOut.String())
		assert.Assert(t, strings.Contains(out.String(), want+"\n"), "%s", out.String())
	}
}

// Guards against a request whose outcome followed from the load of the engines being explained
// without it.
func TestExplainAdmission(t *testing.T) {
	for line, want := range map[string]string{
		`"msg":"refused by prediction","expected":5200.5,"left":3000,"calls":90,"slots":64`: "its first event was expected after 5200.5 ms, 3000 ms were left, and 90 calls were in flight at engines with 64 slots",
		`"msg":"exceeds memory","tokens":9000,"kv_tokens":8000`:                             "engines hold 8000 tokens, and its prompt has 9000",
		`"msg":"over fair part","use":6.5,"fair":2.25`:                                      "its organisation had used 6.5 s of engine time, above its fair part of 2.25 s, so that others were served first",
	} {
		lines := `{"ts":"2026-06-06T08:00:01.000Z","vm":"vm-1","request":"r1",` + line + "}\n" +
			`{"ts":"2026-06-06T08:00:01.001Z","msg":"request","vm":"vm-1","request":"r1","status":503,"reason":"deadline_too_short"}` + "\n"
		file := filepath.Join(t.TempDir(), "1.log")
		assert.NilError(t, os.WriteFile(file, []byte(lines), 0o600))
		var out, errOut strings.Builder
		assert.Equal(t, execute(t.Context(), []string{"explain", "--request", "r1", file}, &out, &errOut), exitOK, errOut.String())
		assert.Assert(t, strings.Contains(out.String(), "cause: status 503, deadline_too_short; "+want+"\n"), "%s", out.String())
	}
}

// Guards against a response of a daemon that did not reach its caller, or a panic, of which
// neither the explanation nor the list of failures says anything.
func TestExplainUnfinishedResponse(t *testing.T) {
	const panicLine = `{"ts":"2026-06-06T08:00:00.500Z","msg":"call panicked","vm":"vm-1","request":"r1","cause":"x"}` + "\n"
	const closedLine = `{"ts":"2026-06-06T08:00:01.000Z","msg":"connection closed without a whole response","vm":"vm-1","request":"r1",`
	for text, want := range map[string]string{
		closedLine + `"header":false,"bytes":0,"bytes_sent":0}`:                                "cause: its connection was closed without a response\n",
		panicLine + closedLine + `"header":true,"bytes":70,"bytes_sent":7}`:                    "cause: its connection was closed after 7 of 70 bytes of the body were sent; a fault of the process",
		panicLine + closedLine + `"header":true,"header_sent":false,"bytes":0,"bytes_sent":0}`: "0 of 0 bytes of the body were sent; a fault of the process",
	} {
		file := filepath.Join(t.TempDir(), "1.log")
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		var out, errOut strings.Builder
		assert.Equal(t, execute(t.Context(), []string{"explain", "--request", "r1", file}, &out, &errOut), exitOK, errOut.String())
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
		out.Reset()
		assert.Equal(t, execute(t.Context(), []string{"explain", "--failed", file}, &out, &errOut), exitOK, errOut.String())
		assert.Assert(t, strings.Contains(out.String(), "connection closed without a whole response: 1\n  r1\n"), out.String())
	}
}
