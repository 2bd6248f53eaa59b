package upstream_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/savoryshift/savoryshift/upstream"
)

// countedConn counts the bytes in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkProbe measures one load report over a reused connection by the
// number of versions that the engine holds. The time includes that of the
// engine.
func BenchmarkProbe(b *testing.B) {
	for _, versions := range []int{1, 2, 8, 30} {
		b.Run(fmt.Sprintf("versions=%d", versions), func(b *testing.B) {
			report := upstream.LoadReport{Slots: 16, Running: 12, Queued: 3, AgeMs: 250}
			for i := range versions {
				report.Held = append(report.Held, fmt.Sprint("version-", i))
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(report)
			}))
			defer server.Close()
			var bytes atomic.Int64
			client := upstream.New(upstream.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countedConn{conn, &bytes}, err
			}})
			defer client.Close()
			probes := 0
			b.ReportAllocs()
			for b.Loop() {
				probes++
				if _, err := client.Load(b.Context(), server.URL); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(probes), "bytes/probe")
		})
	}
}
