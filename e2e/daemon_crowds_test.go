package e2e_test

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/tree"
)

// daemonCrowd is a crowd at one of the listeners of a daemon.
type daemonCrowd struct {
	crowd
	listener func(settings.Listen) string
	// tokensPerSecond is the speed of the engine, 0 for no delay.
	tokensPerSecond float64
}

// chatOf returns a chat request with a body.
func chatOf(more, body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", e2e.CallerKey(0), more, len(body), body)
}

// messages returns the body of a chat with a member for the number of tokens.
func messages(tokens int, stream bool, content string) string {
	return fmt.Sprintf(`{"model":"small","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, content)
}

// daemonCrowdKinds are the kinds of TestCrowdsAtADaemon, at a daemon of daemonMemory and
// crowdDescriptors.
func daemonCrowdKinds() []daemonCrowd {
	callers := func(l settings.Listen) string { return l.Callers }
	operators := func(l settings.Listen) string { return l.Operators }
	peers := func(l settings.Listen) string { return l.Peers }
	text := func(s string) func(int) string { return func(int) string { return s } }
	edit := func(body string) string {
		return fmt.Sprintf("POST /v1/changes HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", e2e.OperatorToken, crowdBodyBytes, body)
	}
	emptyMessages := `{"model":"small","messages":[` + strings.Repeat(`{},`, 80<<10) + `{"role":"user","content":"a"}]}`
	members := `{"model":"none"` + func() string {
		var b strings.Builder
		for i := range 30 << 10 {
			fmt.Fprintf(&b, `,"%x":0`, i)
		}
		return b.String()
	}() + `}`
	notFound := fmt.Sprintf("GET /none HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", e2e.CallerKey(0))
	kinds := []daemonCrowd{
		{crowd: crowd{name: "chats of many empty messages", play: reads(text(chatOf("", emptyMessages)))}, listener: callers},
		{crowd: crowd{name: "chats of many members", play: reads(text(chatOf("", members)))}, listener: callers},
		{crowd: crowd{name: "streams that stay", play: reads(text(chatOf("Savoryshift-Deadline-Ms: 300000\r\n", messages(4000, true, strings.Repeat("a", 60<<10)))))}, listener: callers, tokensPerSecond: 10},
		{crowd: crowd{name: "streams that are read slowly", window: slowReadWindow, play: readsSlowly(text(chatOf("Savoryshift-Deadline-Ms: 300000\r\n", messages(100_000, true, "a"))), 1)}, listener: callers},
		{crowd: crowd{name: "answers that are read slowly", window: slowReadWindow, play: readsSlowly(text(chatOf("", messages(100_000, false, "a"))), 20)}, listener: callers},
		{crowd: crowd{name: "requests in one write whose answers are read slowly", window: slowReadWindow, play: readsSlowly(text(strings.Repeat(notFound, 200)), 500)}, listener: callers},
		{crowd: crowd{name: "bodies that stop at the address for operators", play: reads(text(edit(strings.Repeat("a", crowdBodyBytes-1))))}, listener: operators},
		{crowd: crowd{name: "edits at the address for operators", play: reads(text(edit(`{"patch":[` + strings.Repeat("{},", crowdBodyBytes/3-20) + `{}]` + strings.Repeat(" ", 49) + `}`)))}, listener: operators},
		{crowd: crowd{name: "counters that are read slowly", window: slowReadWindow, play: readsSlowly(text(fmt.Sprintf("GET /debug/vars HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", e2e.OperatorToken)), 1000)}, listener: operators},
		{crowd: crowd{name: "connections without a byte at the address for peers", play: reads(text(""))}, listener: peers},
		{crowd: crowd{name: "bytes without end at the address for peers", play: reads(text(strings.Repeat("a", crowdBodyBytes)))}, listener: peers},
	}
	for i := range kinds {
		kinds[i].clients = crowdClients
	}
	return kinds
}

// launchCrowdDaemon starts a system with one daemon of daemonMemory and crowdDescriptors, and
// returns its addresses. Its deadlines let requests run for crowdPatience.
func launchCrowdDaemon(t *testing.T, tokensPerSecond float64) (*e2e.System, settings.Listen) {
	t.Helper()
	var listen settings.Listen
	s := e2e.Launch(t, e2e.Options{Binaries: binaries, Zones: []string{"zone-a"}, Organisations: 2, EngineSlots: crowdSlots, TokensPerSecond: tokensPerSecond, EditSettings: func(f *settings.Settings) {
		f.Bounds.MachineMemoryBytes, f.Bounds.Descriptors, f.Bounds.DrainTimeoutMs = daemonMemory, crowdDescriptors, 5000
		listen = f.Listen
	}, EditTree: func(tr *tree.Tree) {
		patience := crowdPatience.Milliseconds()
		tr.Defaults.DeadlineMs = &patience
	}})
	return s, listen
}

// chats waits until an ordinary chat is answered and the daemon is ready.
func chats(t *testing.T, d *e2e.Daemon, when string) {
	t.Helper()
	var n atomic.Int64
	e2e.Eventually(t, "an ordinary chat is answered "+when, func() bool {
		return !d.Running() || e2e.Send(d.CallerURL, e2e.Call{Model: "small", MaxTokens: 10, Deadline: 5 * time.Second}).Complete
	})
	e2e.Eventually(t, "an ordinary booking is made "+when, func() bool {
		return !d.Running() || e2e.Send(d.CallerURL, e2e.Call{BookingKey: fmt.Sprintf("ordinary-%s-%d", strings.Fields(when)[0], n.Add(1)), Deadline: 5 * time.Second}).Complete
	})
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	e2e.Eventually(t, "a probe is answered "+when, func() bool {
		resp, err := client.Get(d.OperatorURL + "/readyz")
		if err != nil {
			return !d.Running()
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	assert.Assert(t, d.Running(), "%s", d.Output())
}

// The same as TestCrowds for a daemon of the own interface.
func TestCrowdsAtADaemon(t *testing.T) {
	for _, c := range daemonCrowdKinds() {
		t.Run(c.name, func(t *testing.T) {
			s, listen := launchCrowdDaemon(t, c.tokensPerSecond)
			d := s.Daemons[0]
			w := watchDescriptors(t, d.Process)
			stop := c.start(c.listener(listen))
			defer stop()
			for until := time.Now().Add(crowdTime); time.Now().Before(until) && d.Running(); time.Sleep(10 * time.Millisecond) {
			}
			assert.Assert(t, d.Running(), "%s", d.Output())
			assert.Check(t, peakMemory(t, d.Process) < daemonMemory, "%d MB", peakMemory(t, d.Process)>>20)
			chats(t, d, "beside the crowd")
			stop()
			w.stop()
			peak := peakMemory(t, d.Process)
			t.Logf("at most %d MB and %d descriptors", peak>>20, w.most)
			assert.Check(t, peak < daemonMemory, "%d MB", peak>>20)
			assert.Check(t, w.most < crowdDescriptors, "%d descriptors", w.most)
			chats(t, d, "after the crowd")
		})
	}
}

// Guards against a planned stop of a daemon that hangs because callers do not read, do not send
// or stay.
func TestCrowdsInAStopOfADaemon(t *testing.T) {
	for _, c := range daemonCrowdKinds() {
		t.Run(c.name, func(t *testing.T) {
			s, listen := launchCrowdDaemon(t, c.tokensPerSecond)
			stop := c.start(c.listener(listen))
			defer stop()
			time.Sleep(time.Second)
			s.Daemons[0].Signal(syscall.SIGTERM)
			assert.Equal(t, s.Daemons[0].ExitCode(), 0)
		})
	}
}

// overTLS plays over TLS.
func overTLS(play player) player {
	return func(conn net.Conn, client int) {
		secured := tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
		if secured.Handshake() == nil {
			play(secured, client)
		}
	}
}

// The same as TestCrowdsAtADaemon for callers that use TLS, where the lines of a header section
// are not visible to the listener.
func TestTLSCrowdsAtADaemon(t *testing.T) {
	hello := "\x16\x03\x01\x40\x00\x01\x00\x3f\xfc" + strings.Repeat("a", 15<<10)
	stopped := chatOf("", strings.Repeat("a", 250<<10))
	for _, c := range []crowd{
		{name: "handshakes that stop", play: reads(func(int) string { return hello })},
		{name: "connections without a request", play: overTLS(reads(func(int) string { return "" }))},
		{name: "many short lines", play: overTLS(reads(func(int) string { return chatOf(shortLines(2400), "a") }))},
		{name: "heads that stop", play: overTLS(reads(func(int) string { return "GET / HTTP/1.1\r\nX-Long: " + strings.Repeat("a", 60<<10) }))},
		{name: "bodies that stop", play: overTLS(reads(func(int) string { return stopped[:len(stopped)-1] }))},
		{name: "answers that are read slowly", window: slowReadWindow, play: overTLS(readsSlowly(func(int) string { return chatOf("", messages(100_000, false, "a")) }, 20))},
	} {
		c.clients = crowdClients
		t.Run(c.name, func(t *testing.T) {
			var listen settings.Listen
			files := e2e.WriteCertificate(t)
			s := e2e.Launch(t, e2e.Options{Binaries: binaries, Zones: []string{"zone-a"}, EngineSlots: crowdSlots, EditSettings: func(f *settings.Settings) {
				f.Bounds.MachineMemoryBytes, f.Bounds.Descriptors = daemonMemory, crowdDescriptors
				f.TLS.Callers, listen = files, f.Listen
			}})
			d := s.Daemons[0]
			w := watchDescriptors(t, d.Process)
			stop := c.start(listen.Callers)
			defer stop()
			for until := time.Now().Add(crowdTime); time.Now().Before(until) && d.Running(); time.Sleep(10 * time.Millisecond) {
			}
			client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
			for _, when := range []string{"beside the crowd", "after the crowd"} {
				e2e.Eventually(t, "an ordinary chat is answered "+when, func() bool {
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+listen.Callers+"/v1/chat/completions", strings.NewReader(messages(10, false, "a")))
					assert.NilError(t, err)
					req.Header.Set("Authorization", "Bearer "+e2e.CallerKey(0))
					resp, err := client.Do(req)
					if err != nil {
						return !d.Running()
					}
					defer resp.Body.Close()
					return resp.StatusCode == http.StatusOK
				})
				stop()
			}
			w.stop()
			assert.Assert(t, d.Running(), "%s", d.Output())
			peak := peakMemory(t, d.Process)
			t.Logf("at most %d MB and %d descriptors", peak>>20, w.most)
			assert.Check(t, peak < daemonMemory, "%d MB", peak>>20)
			assert.Check(t, w.most < crowdDescriptors, "%d descriptors", w.most)
		})
	}
}
