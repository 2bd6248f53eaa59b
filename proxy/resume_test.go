package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/upstream"
)

// resumption is the response of an engine that is asked to resume a stream.
type resumption struct {
	status      int
	contentType string
	body        string
	// whole is set when the response completes the stream.
	whole bool
}

func (s resumption) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for _, name := range []string{upstream.HeaderRequestID, upstream.HeaderAttemptID, upstream.HeaderVersion} {
		w.Header().Set(name, r.Header.Get(name))
	}
	w.Header().Set("Content-Type", s.contentType)
	w.WriteHeader(s.status)
	_, _ = io.WriteString(w, s.body)
}

// streamOf returns the events of the parts, and the end event that confirms count.
func streamOf(count int, parts ...int) string {
	var b strings.Builder
	for _, n := range parts {
		fmt.Fprintf(&b, "id: %d\ndata: {\"part\":%d}\n\n", n, n)
	}
	fmt.Fprintf(&b, "event: end\ndata: {\"parts\":%d,\"completion_tokens\":1}\n\ndata: [DONE]\n\n", count)
	return b.String()
}

// Guards against a stream that contains the text of an upstream's error, repeats or
// lacks parts or ends as complete, when its resumption goes wrong.
func TestResumptionGoesWrong(t *testing.T) {
	const events, text = "text/event-stream", "foreign text"
	jsonError := `{"error":{"message":"no memory"}}`
	for name, s := range map[string]resumption{
		"500":                     {500, "text/plain", text, false},
		"503 with JSON":           {503, "application/json", jsonError, false},
		"404 as events":           {404, events, "data: " + text + "\n\n", false},
		"302":                     {302, "text/html", text, false},
		"204":                     {204, events, "", false},
		"plain text":              {200, "text/plain", text, false},
		"JSON":                    {200, "application/json", jsonError, false},
		"no bytes":                {200, events, "", false},
		"only DONE":               {200, events, "data: [DONE]\n\n", false},
		"DONE without end":        {200, events, "id: 4\ndata: {\"part\":4}\n\ndata: [DONE]\n\n", false},
		"error as a part":         {200, events, "id: 4\ndata: " + jsonError + "\n\n" + streamOf(5, 5), false},
		"error with other fields": {200, events, "id: 4\ndata: {\"object\":\"error\", " + jsonError[1:] + "\n\n" + streamOf(5, 5), false},
		"error as an event":       {200, events, "event: error\ndata: " + jsonError + "\n\n" + streamOf(5, 4, 5), false},
		"from 1 again":            {200, events, streamOf(5, 1, 2, 3, 4, 5), true},
		"from 1 again, shorter":   {200, events, streamOf(2, 1, 2), false},
		"a part missing":          {200, events, streamOf(5, 5), false},
		"parts after a gap":       {200, events, streamOf(3, 5, 6), false},
		"end counts fewer":        {200, events, streamOf(4, 4, 5), false},
	} {
		for _, third := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, third upstream %t", name, third), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newFixture(t)
					w.net.Serve(t, "10.0.0.1:80", pausingEngine{cutAfter: 3})
					w.net.Serve(t, "10.0.0.2:80", s)
					router := w.router(step("e1", "s1"))
					router.NextPlans = []proxy.Plan{{Steps: []proxy.Step{step("e2", "s1")}}}
					if third {
						router.NextPlans = append(router.NextPlans, proxy.Plan{Steps: []proxy.Step{step("e1", "s1")}})
					}
					body := w.stream(w.serve("10.1.0.1:80", w.options(router))).body
					if s.whole || third {
						assert.Equal(t, body, wholeStream())
						return
					}
					parts, end, found := strings.Cut(body, `data: {"error":`)
					assert.Assert(t, strings.HasPrefix(wholeStream(), parts) && len(parts) > 0, body)
					assert.Assert(t, found && strings.Contains(end, `"ran":"yes"`) && strings.Count(end, "\n") == 2, body)
					assert.Assert(t, !strings.Contains(body, text) && !strings.Contains(body, "[DONE]"), body)
				})
			})
		}
	}
}
