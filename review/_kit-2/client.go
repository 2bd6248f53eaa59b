package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// host is the name of all routes, key the API key of the only tenant.
const (
	host = "desk.example"
	key  = "key-of-the-club"
)

var attempts atomic.Int64

// request is a request of a client.
type request struct {
	path, session, model, prefix, tokens string
	patience                             time.Duration
	// lose asks the first runner to lose its answer.
	lose bool
}

// reply is what the client has got.
type reply struct {
	id, body string
	status   int
	err      error
}

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("no whole answer (%v)", r.err)
	}
	return fmt.Sprintf("status %d", r.status)
}

// send sends a request to a machine on a new channel.
func (s *system) send(v *vm, q request) reply {
	id := fmt.Sprintf("%08x%08x", s.began.UnixNano()&0xffffffff, attempts.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+v.ip+":8227"+q.path, strings.NewReader("body of "+id))
	if err != nil {
		return reply{id: id, err: err}
	}
	req.Host = host
	req.Header.Set(headers.Attempt, id)
	req.Header.Set(headers.Credential, key)
	req.Header.Set(headers.Deadline, strconv.FormatInt(q.patience.Milliseconds(), 10))
	for name, value := range map[string]string{headers.Session: q.session, headers.Model: q.model, headers.Prefix: q.prefix, headers.Tokens: q.tokens} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if q.lose {
		req.Header.Set("X-Lose", "1")
	}
	client := http.Client{Timeout: q.patience, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{id: id, body: string(body), status: resp.StatusCode, err: err}
}

// route returns a route of the configuration.
func route(name, kind, service string, attempts int, timeout, goal time.Duration) map[string]any {
	r := map[string]any{
		"Name": name, "Host": host, "Prefix": "/" + name + "/", "Kind": kind, "TimeoutMs": timeout.Milliseconds(), "GoalMs": goal.Milliseconds(),
		"Priority": 0, "Service": service, "MaxAttempts": attempts, "Public": false,
	}
	if kind == "stream" {
		maps.Copy(r, mustDecode[map[string]any](streamJSON))
	}
	return r
}

// configure writes the configuration.
func (s *system) configure(routes ...map[string]any) {
	c := mustDecode[map[string]any](configJSON)
	c["Version"], c["Routes"] = 1, routes
	s.store.Put("op", "config", c)
}
