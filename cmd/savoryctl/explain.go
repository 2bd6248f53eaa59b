package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/samber/oops"
)

var explainCommand = command{name: "explain", short: "Explain a request from the log files of several VMs, or list the failed ones by cause",
	new: func(e *env) flags.Commander { return &explainOptions{env: e} }}

type explainOptions struct {
	env     *env
	Request string `long:"request" description:"ID of the request to explain"`
	Failed  bool   `long:"failed" description:"list failed requests by cause"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// maxLogLine bounds the length of a log line in bytes; longer lines are skipped
// and counted.
const maxLogLine = 1 << 20

// logLine is one JSON line of a VM's log; fields holds all its fields by name.
type logLine struct {
	Time    string  `json:"ts"`
	VM      string  `json:"vm"`
	Message string  `json:"msg"`
	Request string  `json:"request"`
	Status  int     `json:"status"`
	Reason  string  `json:"reason"`
	Event   string  `json:"event"`
	Pause   float64 `json:"pause"`
	fields  map[string]any
}

// logs holds the log lines that have a request ID and the number of lines that
// were skipped because they could not be parsed.
type logs struct {
	lines   []logLine
	skipped int
}

// Execute implements flags.Commander.
func (o *explainOptions) Execute([]string) error {
	if (o.Request == "") != o.Failed {
		return oops.Errorf("give either --request ID or --failed")
	}
	var all logs
	for _, name := range o.Args.Files {
		if err := all.readFile(name); err != nil {
			return err
		}
	}
	slices.SortStableFunc(all.lines, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
	if o.Failed {
		all.printFailed(o.env.out)
	} else if err := all.printRequest(o.env.out, o.Request); err != nil {
		return err
	}
	if all.skipped > 0 {
		fmt.Fprintf(o.env.out, "%d lines could not be read and were skipped\n", all.skipped)
	}
	return nil
}

func (l *logs) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return oops.Wrap(err)
	}
	defer f.Close()
	return oops.Wrapf(l.read(f), "file %s", name)
}

// read adds the lines of a log that have a request ID.
func (l *logs) read(r io.Reader) error {
	reader := bufio.NewReaderSize(r, maxLogLine)
	for {
		text, err := reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			l.skipped++
			for err == bufio.ErrBufferFull {
				_, err = reader.ReadSlice('\n')
			}
			text = nil
		}
		l.parseLine(string(text))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// parseLine adds a line if it has a request ID. Text before the first brace, such
// as a timestamp of the log collector, is ignored.
func (l *logs) parseLine(text string) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		if strings.TrimSpace(text) != "" {
			l.skipped++
		}
		return
	}
	var line logLine
	data := []byte(strings.TrimSpace(text[at:]))
	if json.Unmarshal(data, &line) != nil || json.Unmarshal(data, &line.fields) != nil {
		l.skipped++
		return
	}
	if line.Request != "" {
		l.lines = append(l.lines, line)
	}
}

// printRequest prints the lines of one request and then the cause of its outcome.
func (l *logs) printRequest(w io.Writer, id string) error {
	var cause string
	var last, lastCall, noUpstream, quarantined, closed logLine
	var admission string
	ended, panicked := 0, false
	for _, line := range l.lines {
		if line.Request != id {
			continue
		}
		fmt.Fprintf(w, "%s %s %s%s\n", line.Time, line.VM, line.Message, line.details())
		switch line.Message {
		case "request":
			cause = causeOf(line, lastCall, noUpstream)
		case "call":
			lastCall = line
		case "no upstream":
			noUpstream = line
		case "quarantined":
			quarantined = line
		case "refused by prediction", "exceeds memory", "over fair part":
			admission = line.describeAdmission()
		case "upstream ended":
			ended++
		case "connection closed":
			closed = line
		case unfinishedMessage:
			cause = line.describeUnfinished()
		}
		panicked = panicked || isPanic(line.Message)
		last = line
	}
	if last.Request == "" {
		return oops.Errorf("no line names the request %q: it may have been sent to a process that was killed; "+
			"look for lines \"started\" shortly after it", id)
	}
	if cause == "" {
		cause = "no line tells how the request ended: the log ends before, the process was killed, or its own interface answered it"
	}
	fmt.Fprintf(w, "cause: %s%s%s%s%s%s\n", cause, admission, quarantined.describeQuarantine(), describeEnds(ended), closed.describeClose(), describePanic(panicked))
	return nil
}

// details returns the fields that printRequest does not print itself, sorted by
// name.
func (l *logLine) details() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		switch name {
		case "ts", "vm", "msg", "level", "request", "errorVerbose":
			continue
		}
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}

// latePauseMs is the pause between events, in milliseconds, above which printRequest
// mentions the pause of a complete answer.
const latePauseMs = 1000

// unframedEvent is the event of a "call" line of a response that may have ended early.
const unframedEvent = "unframed answer"

// causeOf describes the cause of a request's outcome. It takes the "request" line
// and the last "call" and "no upstream" lines, which are zero if there were none.
func causeOf(end, lastCall, noUpstream logLine) string {
	switch {
	case end.Reason != "":
		return fmt.Sprintf("status %d, %s%s%s", end.Status, end.Reason, lastCall.describeCall(), noUpstream.describeExclusions())
	case end.Status >= 500:
		return fmt.Sprintf("the upstream answered with status %d, which was passed on", end.Status)
	case lastCall.Event == unframedEvent:
		return fmt.Sprintf("status %d of an upstream that sent neither a length nor chunks: the answer may have ended early", end.Status)
	case end.Pause > latePauseMs:
		return fmt.Sprintf("answered in full, with a pause of %.0f ms between events", end.Pause)
	}
	return fmt.Sprintf("answered with status %d", end.Status)
}

// exclusions lists the fields of a "no upstream" line that count upstreams by the
// reason for which they could not serve the request, with a text for each reason.
var exclusions = []struct{ field, description string }{
	{"tried", "had been tried"}, {"unreachable", "could not be reached"}, {"failing", "failed in a row"},
	{"leaving", "were leaving"}, {"lapsed", "were no longer registered"}, {"other_release", "ran a release that may not serve it"},
	{"evacuated", "were in an evacuated zone"}, {"cold", "were cold, and this VM could send them nothing"},
	{"paused", "had asked for a pause"},
}

// describeCall describes how the call of a "call" line ended. It returns nothing
// for a zero line.
func (l *logLine) describeCall() string {
	if l.Request == "" {
		return ""
	}
	return fmt.Sprintf("; the last call at upstream %v ended with %q", l.fields["upstream"], l.Event)
}

// describeQuarantine describes why a request was refused because of a part of its prompt.
// It returns nothing for a zero line.
func (l *logLine) describeQuarantine() string {
	if l.Request == "" {
		return ""
	}
	return fmt.Sprintf("; %v upstreams had ended under prompts with the part %v", l.fields["upstreams_ended"], l.fields["part"])
}

// describeAdmission describes what the load of the engines meant for a request.
func (l *logLine) describeAdmission() string {
	switch l.Message {
	case "refused by prediction":
		return fmt.Sprintf("; its first event was expected after %v ms, %v ms were left, and %v calls were in flight at engines with %v slots", l.fields["expected"], l.fields["left"], l.fields["calls"], l.fields["slots"])
	case "exceeds memory":
		return fmt.Sprintf("; engines hold %v tokens, and its prompt has %v", l.fields["kv_tokens"], l.fields["tokens"])
	}
	return fmt.Sprintf("; its organisation had used %v s of engine time, above its fair part of %v s, so that others were served first", l.fields["use"], l.fields["fair"])
}

// describeClose describes what of its response a client can have received whose connection
// was closed. It returns nothing for a zero line.
func (l *logLine) describeClose() string {
	switch {
	case l.Request == "":
		return ""
	case l.fields["header"] != true:
		return "; its connection was closed without a response"
	case l.fields["header_sent"] != true:
		return fmt.Sprintf("; its connection was closed, and nothing was sent of a response with %v events", l.fields["events"])
	}
	return fmt.Sprintf("; its connection was closed after %v of %v events were sent", l.fields["events_sent"], l.fields["events"])
}

// unfinishedMessage is the message of a daemon whose response did not reach its caller whole.
const unfinishedMessage = "connection closed without a whole response"

// describeUnfinished describes the line of a response that did not reach its caller whole.
func (l *logLine) describeUnfinished() string {
	if l.fields["header"] != true {
		return "its connection was closed without a response"
	}
	return fmt.Sprintf("its connection was closed after %v of %v bytes of the body were sent", l.fields["bytes_sent"], l.fields["bytes"])
}

// isPanic reports whether a message says that a request, or work for it, has panicked.
func isPanic(message string) bool {
	switch message {
	case "handler panicked", "call panicked", "rating panicked", "background work panicked":
		return true
	}
	return false
}

// describePanic describes a fault of the process that served the request.
func describePanic(panicked bool) string {
	if !panicked {
		return ""
	}
	return "; a fault of the process that served it is logged with its stack"
}

// describeEnds describes the ends of upstreams that had not answered the request.
func describeEnds(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("; %d upstreams ended under it", n)
}

// describeExclusions describes why no upstream could serve the request, from the
// counts of a "no upstream" line. It returns nothing for a zero line.
func (l *logLine) describeExclusions() string {
	if l.Request == "" {
		return ""
	}
	var reasons []string
	for _, o := range exclusions {
		if n, ok := l.fields[o.field].(float64); ok && n > 0 {
			reasons = append(reasons, fmt.Sprintf("%v %s", n, o.description))
		}
	}
	if reasons == nil {
		reasons = []string{"none was kept from it, so the retry budget was used up"}
	}
	return fmt.Sprintf("; of %v registered upstreams %s", l.fields["registered"], strings.Join(reasons, ", "))
}

// printFailed lists the requests that failed, grouped by cause.
func (l *logs) printFailed(w io.Writer) {
	groups := map[string][]string{}
	for _, line := range l.lines {
		if line.Message == "request" && (line.Reason != "" || line.Status >= 500) {
			cause := cmp.Or(line.Reason, "failure of the upstream")
			key := fmt.Sprintf("%d %s", line.Status, cause)
			groups[key] = append(groups[key], line.Request)
		}
		if line.Message == unfinishedMessage {
			groups[unfinishedMessage] = append(groups[unfinishedMessage], line.Request)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		fmt.Fprintf(w, "%s: %d\n", key, len(groups[key]))
		for _, id := range groups[key] {
			fmt.Fprintf(w, "  %s\n", id)
		}
	}
}
