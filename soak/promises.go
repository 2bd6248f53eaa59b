package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/savoryshift/savoryshift/platform/standin"
)

// Call is what a caller sent and got.
type Call struct {
	ID, Route, VM string
	Sent, Ended   time.Time
	// Status is 0 when no answer began.
	Status int
	// Upstream is the one that the answer names, empty for an answer of the VM.
	Upstream, Answer string
	// Whole means that the answer came to its end.
	Whole bool
	// Left means that the caller closed the connection itself.
	Left bool
}

// Change is a configuration, or the registration of an upstream as leaving.
type Change struct {
	At time.Time
	// Service gets the bookings; Upstream is the one that leaves.
	Service, Upstream string
}

// Record is what a run showed.
type Record struct {
	Calls   []Call
	Runs    []standin.Run
	Changes []Change
	History History
}

const (
	configurationBound = 3 * time.Second        // ConfigMs of the platform
	leaveBound         = 2 * time.Second        // DrainMs in the settings of the soak
	goneBound          = 500 * time.Millisecond // after the caller has left
	// goneShare of the calls that callers left may be worked on for longer.
	goneShare = 0.25
	// streamEvents is the number of events of a stream.
	streamEvents = 12
)

// attempts is the most upstreams to which a request may be sent, by route.
var attempts = map[string]int{"stream": 3, "look": 2, "book": 1}

// Broken returns each promise that was not kept, with the request.
func (r Record) Broken() []string {
	runs := make(map[string][]standin.Run)
	for _, run := range r.Runs {
		runs[run.Attempt] = append(runs[run.Attempt], run)
	}
	var broken []string
	late, left := 0, 0
	for _, c := range r.Calls {
		of := runs[c.ID]
		delete(runs, c.ID)
		for _, check := range []func(Call, []standin.Run) string{checkOnce, checkRefusal, checkAnswer, checkUnchanged, r.checkAttempts, r.checkLost, r.checkConfiguration} {
			if why := check(c, of); why != "" {
				broken = append(broken, fmt.Sprintf("%s: %+v, runs %+v", why, c, of))
			}
		}
		if c.Left && c.Route != "book" && r.History.Calm(c.Sent, c.Ended.Add(goneBound)) {
			left++
			if slices.ContainsFunc(of, func(run standin.Run) bool { return run.Ended.Sub(c.Ended) > goneBound }) {
				late++
			}
		}
	}
	for id, of := range runs {
		broken = append(broken, fmt.Sprintf("a request that no caller sent ran: %s %+v", id, of))
	}
	if late > 3 && float64(late) > goneShare*float64(left) {
		broken = append(broken, fmt.Sprintf("work went on after the caller had left: %d of %d", late, left))
	}
	return append(broken, r.checkLeaving()...)
}

func checkOnce(c Call, runs []standin.Run) string {
	if c.Route == "book" && len(runs) > 1 {
		return "a booking ran more than once"
	}
	return ""
}

// checkRefusal expects that a refused booking has not run.
func checkRefusal(c Call, runs []standin.Run) string {
	promise := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	switch {
	case c.Route == "book" && slices.Contains(promise, c.Status) && len(runs) > 0:
		return "a refused booking ran"
	case c.Upstream == "" && c.Status >= 300 && c.Status < 500 && !slices.Contains(promise, c.Status):
		return "a proper request was denied"
	}
	return ""
}

// checkAnswer expects that an answer is that of the upstream which it names.
func checkAnswer(c Call, runs []standin.Run) string {
	i := slices.IndexFunc(runs, func(run standin.Run) bool { return run.Upstream == c.Upstream })
	switch {
	case c.Upstream == "" && c.Status/100 == 2:
		return "a success without an upstream"
	case c.Upstream == "":
		return ""
	case i < 0:
		return "an answer of an upstream that did not run the request"
	case runs[i].Status != c.Status:
		return "an answer with another status"
	case !c.Whole || c.Status != http.StatusOK:
		return ""
	case c.Route != "stream" && c.Answer != fmt.Sprintf("%s for org by %s", c.path(), c.Upstream):
		return "an answer with another body"
	case c.Route == "stream":
		return checkEvents(c)
	}
	return ""
}

// checkEvents expects all events of a stream once and in order.
func checkEvents(c Call) string {
	events := strings.Split(strings.TrimSuffix(c.Answer, "\n\n"), "\n\n")
	if len(events) != streamEvents {
		return "a stream that looks complete has another number of events"
	}
	for i, event := range events {
		head, data, _ := strings.Cut(event, "\n")
		if head != "id: "+strconv.Itoa(i+1) || !strings.HasSuffix(data, " "+c.path()) {
			return "a stream with a wrong event"
		}
	}
	return ""
}

func checkUnchanged(c Call, runs []standin.Run) string {
	for _, run := range runs {
		read := run.Body != "" // empty when the caller left before the body was read
		if run.Target != c.path() || run.Organisation != "org" || read && run.Body != c.body() {
			return "a request was changed on the way"
		}
		if want := map[string]string{"stream": "model", "look": "desk"}[c.Route]; want != "" && run.Service != want {
			return "a request ran at another service"
		}
	}
	return ""
}

func (r Record) checkAttempts(c Call, runs []standin.Run) string {
	if len(runs) > attempts[c.Route] && r.History.Calm(c.Sent, c.Ended) {
		return "a request was sent to too many upstreams"
	}
	return ""
}

// checkLost expects that planned work costs no caller an answer.
func (r Record) checkLost(c Call, runs []standin.Run) string {
	if len(runs) > 0 && !c.Left && !c.Whole && r.History.Calm(c.Sent, c.Ended) {
		return "an answer was lost without a disruption"
	}
	return ""
}

// checkConfiguration expects bookings to go where the newest configuration says.
func (r Record) checkConfiguration(c Call, runs []standin.Run) string {
	if c.Route != "book" || len(runs) == 0 {
		return ""
	}
	var right []string
	for _, change := range r.Changes {
		if change.Service == "" || change.At.After(runs[0].Ended) {
			continue
		}
		if c.Sent.Sub(change.At) >= configurationBound && r.History.Calm(change.At, c.Sent) {
			right = nil // no older configuration is right any more
		}
		right = append(right, change.Service)
	}
	if !slices.Contains(right, runs[0].Service) {
		return "a booking ran where an old configuration says"
	}
	return ""
}

// checkLeaving expects no new work at an upstream that has left.
func (r Record) checkLeaving() []string {
	var broken []string
	for _, change := range r.Changes {
		for _, run := range r.Runs {
			if run.Upstream == change.Upstream && run.Started.Sub(change.At) > leaveBound && r.History.Calm(change.At, run.Started) {
				broken = append(broken, fmt.Sprintf("an upstream that left %v before got work: %+v", run.Started.Sub(change.At), run))
			}
		}
	}
	return broken
}

func (c Call) path() string { return "/" + c.Route + "/" + c.ID }

func (c Call) body() string { return "body of " + c.ID }
