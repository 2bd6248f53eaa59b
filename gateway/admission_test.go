package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// metric returns the line of a metric of the gateway, empty if there is none.
func (s *system) metric(name string) string {
	var out bytes.Buffer
	s.metrics.Write(&out)
	for line := range strings.SplitSeq(out.String(), "\n") {
		if strings.HasPrefix(line, name) {
			return line
		}
	}
	return ""
}

// Guards against pauses of an upstream's stream that the placement does not learn of.
func TestPausesOfStreamsAreLearned(t *testing.T) {
	var s *system
	learned := make(chan float64, 1)
	u := startUpstream(t, "a", func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		chunk(w, "id: 1\ndata: x\n\n")
		for i := 2; i <= 3; i++ {
			time.Sleep(1200 * time.Millisecond)
			chunk(w, fmt.Sprintf("id: %d\ndata: x\n\n", i))
		}
		time.Sleep(50 * time.Millisecond)
		learned <- s.book.HighestPauseLevel()
		fmt.Fprint(w, lastChunk)
		return true
	})
	s = newSystem(t, registration(u, "v1")).configure()
	got := s.call("/stream/x", "Model: small")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, <-learned > 0.1)
	assert.Equal(t, s.metric("savoryshift_late_pauses_total"), `savoryshift_late_pauses_total{route="stream"} 2`)
}
