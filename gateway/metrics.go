package gateway

import (
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/savoryshift/savoryshift/placement"
)

// Metrics counts requests and calls. It is safe for concurrent use.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Set returns the underlying set, so that other packages can register metrics.
func (m *Metrics) Set() *metrics.Set { return m.set }

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

func (m *Metrics) countRequest(route string, status int, reason string, took time.Duration) {
	labels := `{route="` + sanitizeLabel(route) + `",status="` + strconv.Itoa(status) + `",reason="` + sanitizeLabel(reason) + `"}`
	m.set.GetOrCreateCounter("savoryshift_requests_total" + labels).Inc()
	m.set.GetOrCreateHistogram(`savoryshift_request_seconds{route="` + sanitizeLabel(route) + `"}`).Update(took.Seconds())
}

func (m *Metrics) countCallEvent(event string) {
	m.set.GetOrCreateCounter(`savoryshift_call_events_total{event="` + sanitizeLabel(event) + `"}`).Inc()
}

func (m *Metrics) countRefusedLate(route string) {
	m.set.GetOrCreateCounter(`savoryshift_refused_by_prediction_total{route="` + sanitizeLabel(route) + `"}`).Inc()
}

func (m *Metrics) countOverFairPart(route string) {
	m.set.GetOrCreateCounter(`savoryshift_over_fair_part_total{route="` + sanitizeLabel(route) + `"}`).Inc()
}

func (m *Metrics) countLatePause(route string) {
	m.set.GetOrCreateCounter(`savoryshift_late_pauses_total{route="` + sanitizeLabel(route) + `"}`).Inc()
}

func (m *Metrics) countEndedByStop(route string) {
	m.set.GetOrCreateCounter(`savoryshift_requests_ended_by_stop_total{route="` + sanitizeLabel(route) + `"}`).Inc()
}

func (m *Metrics) countClosed(reason string) {
	m.set.GetOrCreateCounter(`savoryshift_connections_closed_total{reason="` + sanitizeLabel(reason) + `"}`).Inc()
}

// countPlaced counts a call to a model by what decided its upstream, and the tokens of its prompt
// by whether the upstream is expected to hold them.
func (m *Metrics) countPlaced(c *placement.Choice) {
	by := "load"
	switch {
	case c.ByHash:
		by = "hash"
	case c.HeldTokens > 0:
		by = "held part"
	}
	m.set.GetOrCreateCounter(`savoryshift_model_calls_total{chosen_by="` + by + `"}`).Inc()
	m.set.GetOrCreateCounter(`savoryshift_prompt_tokens_total{held="true"}`).Add(int(c.HeldTokens))
	m.set.GetOrCreateCounter(`savoryshift_prompt_tokens_total{held="false"}`).Add(int(c.UncachedTokens))
}

// sanitizeLabel replaces the characters that must be escaped in a label value.
func sanitizeLabel(text string) string {
	out := []byte(text)
	for i, c := range out {
		if c == '"' || c == '\\' || c < ' ' || c > '~' {
			out[i] = '_'
		}
	}
	return string(out)
}
