package gateway

import (
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts requests and calls. It is safe for concurrent use.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Set returns the set for further metrics of the process.
func (m *Metrics) Set() *metrics.Set { return m.set }

// Write writes all metrics as text.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

func (m *Metrics) request(route string, status int, reason string, took time.Duration) {
	labels := `{route="` + label(route) + `",status="` + strconv.Itoa(status) + `",reason="` + label(reason) + `"}`
	m.set.GetOrCreateCounter("savoryshift_requests_total" + labels).Inc()
	m.set.GetOrCreateHistogram(`savoryshift_request_seconds{route="` + label(route) + `"}`).Update(took.Seconds())
}

func (m *Metrics) call(event string) {
	m.set.GetOrCreateCounter(`savoryshift_call_events_total{event="` + label(event) + `"}`).Inc()
}

// label keeps characters that need no escape in a label value.
func label(text string) string {
	out := []byte(text)
	for i, c := range out {
		if c == '"' || c == '\\' || c < ' ' || c > '~' {
			out[i] = '_'
		}
	}
	return string(out)
}
