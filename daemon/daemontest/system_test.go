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

// run starts a system in a bubble of virtual time.
func run(t *testing.T, o daemontest.Options, f func(t *testing.T, s *daemontest.System)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := daemontest.New(t, o)
		defer s.Close()
		f(t, s)
	})
}

// Guards against a support package in which nothing works, which would make the
// checks of the other tests pass without meaning.
func TestSystemServes(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		for _, d := range s.Daemons {
			a := d.Chat(daemontest.Chat{Prompt: "kit list", Stream: true})
			assert.Assert(t, a.Whole, "%+v", a)
			assert.Equal(t, a.Version, daemontest.Base)
			a = d.Chat(daemontest.Chat{Prompt: "kit list"})
			assert.Assert(t, a.Whole, "%+v", a)
			b := d.Book("key-"+d.ID, 0)
			assert.Assert(t, b.Whole, "%+v", b)
		}
		assert.Equal(t, len(s.Bookings()), len(s.Daemons))
		time.Sleep(10 * time.Second)
		assert.Equal(t, s.Billed(), 3*len(s.Daemons))
	})
}

// Guards the count of work sent after a report against both errors: a request
// that a cut held back since before the report counts as sent before it, and
// one that is sent afterwards counts as sent after it.
func TestRunsSentTellsSendingFromArrival(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		client := &http.Client{Transport: &http.Transport{DialContext: s.Daemons[0].Host.Dial}}
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

// complete sends one attempt to the engine of zc and reads the answer.
func complete(client *http.Client, s *daemontest.System, attempt string) error {
	const body = `{"model":"small","messages":[{"role":"user","content":"kit list"}]}`
	url := "http://" + s.Host(daemontest.EngineOf("zc")).IP + ":80/v1/chat/completions"
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
