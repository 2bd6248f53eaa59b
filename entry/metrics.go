package entry

import (
	"bytes"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/internal/idleconn"
)

// addMetrics adds the HTTP server for metrics in the Prometheus text format, if an
// address is configured.
func (e *Entry) addMetrics(g *run.Group) error {
	if e.opts.MetricsAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp4", e.opts.MetricsAddress)
	if err != nil {
		return oops.Wrapf(err, "listening at %s", e.opts.MetricsAddress)
	}
	server := &http.Server{Handler: http.HandlerFunc(e.serveMetrics), MaxHeaderBytes: maxHeaderBytes}
	listener = e.clients.probes.Setup(server, listener, idleconn.New(), refuseClient)
	addServer(g, server, listener)
	return nil
}

func (e *Entry) serveMetrics(w http.ResponseWriter, r *http.Request) {
	var text bytes.Buffer
	e.metrics.Write(&text)
	if clientlimit.HoldResponse(r.Context(), text.Cap()) != nil {
		refuseClient(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write(text.Bytes()) // An error means that the reader has left.
}

func (e *Entry) registerGauges(set *metrics.Set) {
	gauge := func(name string, value func() float64) { set.NewGauge(name, value) }
	gauge("savoryshift_requests_in_flight", func() float64 { return float64(e.gateway.Active()) })
	gauge("savoryshift_response_buffer_bytes", func() float64 { return float64(e.gateway.BufferedBytes()) })
	gauge("savoryshift_client_memory_bytes", func() float64 { return float64(e.clients.front.Usage().Memory) })
	gauge("savoryshift_client_connections", func() float64 { return float64(e.clients.front.Usage().Connections) })
	gauge("savoryshift_client_descriptors", func() float64 { return float64(e.clients.front.Usage().Descriptors) })
	peers := func() (u clientlimit.PeerUsage) {
		if l := e.peerListener.Load(); l != nil {
			u = l.Usage()
		}
		return u
	}
	gauge("savoryshift_peer_connections", func() float64 { return float64(peers().Connections) })
	gauge("savoryshift_peer_connections_closed_total", func() float64 { return float64(peers().Closed) })
	gauge("savoryshift_peer_messages_refused_total", func() float64 { return float64(e.fleet.Refused()) })
	gauge("savoryshift_log_lines_dropped_total", func() float64 {
		if e.opts.DroppedLogLines == nil {
			return 0
		}
		return float64(e.opts.DroppedLogLines())
	})
	gauge("savoryshift_vms_alive", func() float64 { return float64(e.fleet.Size(time.Now())) })
	gauge("savoryshift_peer_age_seconds_max", func() float64 { return e.fleet.OldestPeer(time.Now()).Seconds() })
	gauge("savoryshift_pause_level_max", e.balancer.HighestPauseLevel)
	gauge("savoryshift_configuration_version", func() float64 { return float64(e.gateway.Version()) })
	gauge("savoryshift_quarantined_parts", func() float64 { return float64(len(e.quarantine.Accusations(time.Now()))) })
	gauge("savoryshift_quarantine_ends", func() float64 {
		ends, _ := e.quarantine.Size()
		return float64(ends)
	})
	gauge("savoryshift_prompt_part_uses", func() float64 {
		uses, _ := e.balancer.Held()
		return float64(uses)
	})
	gauge("savoryshift_prompt_parts_evicted_total", func() float64 {
		_, evicted := e.balancer.Held()
		return float64(evicted)
	})
	gauge("savoryshift_cold_upstreams", func() float64 { return float64(len(e.balancer.Cold(time.Now()))) })
	gauge("savoryshift_roster_vms", func() float64 { return float64(len(e.fleet.Roster(time.Now()))) })
	gauge("savoryshift_evacuated_zones", func() float64 { return float64(e.balancer.Evacuated()) })
	gauge("savoryshift_evacuations_malformed", func() float64 { return float64(e.oddEvacuations.count.Load()) })
	for name, t := range e.tables {
		gauge(`savoryshift_table_revision{table="`+name+`"}`, func() float64 {
			c, _ := t.Copy()
			return float64(c.Revision)
		})
		gauge(`savoryshift_table_era{table="`+name+`"}`, func() float64 {
			c, _ := t.Copy()
			return float64(c.Era)
		})
		gauge(`savoryshift_rows_held{table="`+name+`"}`, func() float64 { return float64(t.Held()) })
		gauge(`savoryshift_table_age_seconds{table="`+name+`"}`, func() float64 { return t.Age(time.Now()).Seconds() })
		gauge(`savoryshift_rows_ignored{table="`+name+`"}`, func() float64 { return float64(t.ignored.count.Load()) })
	}
}

func (e *Entry) recordStoreCall(kind, outcome string, took time.Duration) {
	e.metrics.Set().GetOrCreateCounter(`savoryshift_store_calls_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
	e.metrics.Set().GetOrCreateHistogram(`savoryshift_store_call_seconds{kind="` + kind + `"}`).Update(took.Seconds())
}
