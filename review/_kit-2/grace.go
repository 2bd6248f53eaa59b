package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/platform/standin"
)

func init() { cases["grace"] = graceCase }

const (
	// longGrace is the GraceS with which the machines start, shortGrace the one that the
	// settings file has later.
	longGrace, shortGrace = 8 * time.Second, 5 * time.Second
	// callers is the number of clients that keep a channel to the machine that is stopped.
	callers = 80
	// bookingWork is the work of a runner on a booking.
	bookingWork = 200 * time.Millisecond
)

// keeper is a client that keeps one channel.
type keeper struct {
	client http.Client
	v      *vm
}

// book sends a booking on the kept channel.
func (k *keeper) book(id string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+k.v.ip+":8227/book/1", strings.NewReader("booking "+id))
	if err != nil {
		return "", err
	}
	req.Host = host
	req.GetBody = nil
	req.Header.Set(headers.Attempt, id)
	req.Header.Set(headers.Credential, key)
	req.Header.Set(headers.Deadline, "1500")
	resp, err := k.client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return "", err
	}
	return strconv.Itoa(resp.StatusCode), nil
}

// graceCase: the settings file gets a shorter GraceS, which SIGHUP tells the process. Later the
// machine is stopped as planned, with SIGKILL after that time.
func graceCase(s *system, trouble bool) error {
	s.configure(route("book", "unsafe", "desk", 1, 800*time.Millisecond, 150*time.Millisecond))
	var mu sync.Mutex
	runs := map[string]string{}
	for _, zone := range []string{"z0", "z1", "z2"} {
		r := &runner{id: "i-" + zone, service: "desk", version: "v1", zone: zone, answer: answerAfter(bookingWork)}
		r.arrived = func(req *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			runs[req.Header.Get(headers.Attempt)] = r.id
		}
		if err := s.addRunner(r); err != nil {
			return err
		}
	}
	var settings platform.Settings
	if err := s.startAll([]string{"z0", "z1", "z2"}, func(p *platform.Settings) {
		if len(s.vms) == 0 {
			settings = *p
		}
	}); err != nil {
		return err
	}
	v := s.vms[0]
	grace := longGrace
	if trouble {
		grace = shortGrace
		settings.Bounds.Grace = grace
		data, err := standin.SettingsFile(settings)
		if err == nil {
			err = os.WriteFile(v.settingsPath, data, 0o600)
		}
		if err != nil {
			return err
		}
		v.signal(syscall.SIGHUP)
		s.record("the settings file of machine %s has GraceS %v now, it gets SIGHUP", v.name, grace.Seconds())
	}
	time.Sleep(3 * time.Second)
	keepers := make([]*keeper, callers)
	var wg sync.WaitGroup
	for i := range keepers {
		keepers[i] = &keeper{v: v, client: http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableCompression: true}}}
		time.Sleep(20 * time.Millisecond)
		wg.Go(func() {
			id := fmt.Sprintf("first-%d", i)
			status, err := keepers[i].book(id)
			s.record("booking %s at %s: status %s, %v", id, v.name, status, err)
		})
	}
	wg.Wait()
	stopped := time.Now()
	v.signal(syscall.SIGTERM)
	s.record("machine %s gets SIGTERM", v.name)
	time.AfterFunc(grace, func() {
		v.signal(syscall.SIGKILL)
		s.record("machine %s gets SIGKILL if it still runs, %v after SIGTERM", v.name, grace)
	})
	// The clients use their channels again, from 3.1 s after SIGTERM on.
	lost := 0
	for i, k := range keepers {
		wg.Go(func() {
			time.Sleep(time.Until(stopped.Add(3100*time.Millisecond + time.Duration(i)*25*time.Millisecond)))
			id, sent := fmt.Sprintf("second-%d", i), time.Since(stopped)
			status, err := k.book(id)
			mu.Lock()
			at := runs[id]
			if err != nil && at != "" {
				lost++
			}
			mu.Unlock()
			s.record("booking %s, sent %v after SIGTERM on a kept channel: status %s, %v; run by: %s", id, sent.Round(time.Millisecond), status, err, at)
		})
	}
	wg.Wait()
	v.wait()
	s.record("LOST: %d bookings, sent later than 3 s after SIGTERM, were passed on to a sound runner, and their channels ended without an answer", lost)
	if lost > 0 {
		return errBroken
	}
	return nil
}
