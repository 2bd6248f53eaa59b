package daemontest_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/daemon/daemontest"
	"github.com/savoryshift/savoryshift/upstream"
)

// run starts a system in a synctest bubble, and runs f with it. The test runs in
// parallel with others.
func run(t *testing.T, o daemontest.Options, f func(t *testing.T, s *daemontest.System)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := daemontest.New(t, o)
		defer s.Close()
		f(t, s)
	})
}

// Guards against a test system in which no request is served, where the checks of
// the other tests could pass without checking anything.
func TestSystemServes(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		for _, d := range s.Daemons {
			a := d.Chat(daemontest.Chat{Prompt: "kit list", Stream: true})
			assert.Assert(t, a.Complete, "%+v", a)
			assert.Equal(t, a.Version, daemontest.Base)
			a = d.Chat(daemontest.Chat{Prompt: "kit list"})
			assert.Assert(t, a.Complete, "%+v", a)
			b := d.Book("key-"+d.ID, 0)
			assert.Assert(t, b.Complete, "%+v", b)
		}
		assert.Equal(t, len(s.Bookings()), len(s.Daemons))
		time.Sleep(10 * time.Second)
		assert.Equal(t, s.Billed(), 3*len(s.Daemons))
	})
}

// Guards RunsSent against both errors: it must not count a request that was sent
// before the given time and delayed by a cut, and must count one that was sent
// after it.
func TestRunsSentTellsSendingFromArrival(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		client := &http.Client{Transport: &http.Transport{DialContext: s.Daemons[0].Host.Dial}, Timeout: time.Minute}
		defer client.CloseIdleConnections()
		// The connection must be open before the cut, which holds back what is
		// written to it but lets no new one through.
		assert.NilError(t, complete(client, s, "before the cut"))
		time.Sleep(time.Second)
		cutAt := time.Now()
		s.Net.Cut("za", "zc")
		ended := make(chan error, 1)
		go func() { ended <- complete(client, s, "held back") }()
		time.Sleep(time.Second)
		assert.Equal(t, len(s.Runs(daemontest.Base, cutAt)), 0)

		reported := time.Now()
		s.Net.HealAll()
		assert.NilError(t, <-ended)
		assert.Equal(t, len(s.Runs(daemontest.Base, reported)), 1)
		assert.Equal(t, len(s.RunsSent(daemontest.Base, reported)), 0)

		assert.NilError(t, complete(client, s, "sent later"))
		sent := s.RunsSent(daemontest.Base, reported)
		assert.Equal(t, len(sent), 1)
		assert.Equal(t, sent[0].AttemptID, "sent later")
	})
}

// complete sends one chat completion to the engine of zc and reads the response.
func complete(client *http.Client, s *daemontest.System, attempt string) error {
	const body = `{"model":"small","messages":[{"role":"user","content":"kit list"}]}`
	url := "http://" + s.Host(daemontest.EngineID("zc")).IP + ":80/v1/chat/completions"
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(upstream.HeaderRequestID, attempt)
	req.Header.Set(upstream.HeaderAttemptID, attempt)
	req.Header.Set(upstream.HeaderVersion, daemontest.Base)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
