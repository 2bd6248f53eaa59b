package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/upstream"
)

// plainClient makes the same calls as Client, but with net/http alone and
// without checks.
type plainClient struct {
	transport *http.Transport
}

func (p plainClient) post(b *testing.B, c upstream.Call) io.ReadCloser {
	req, err := http.NewRequest(http.MethodPost, c.URL+upstream.PathCompletions, bytes.NewReader(c.Body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(upstream.HeaderRequestID, c.RequestID)
	req.Header.Set(upstream.HeaderAttemptID, c.AttemptID)
	req.Header.Set(upstream.HeaderVersion, c.Version)
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		b.Fatal(err)
	}
	return resp.Body
}

func (p plainClient) whole(b *testing.B, c upstream.Call) {
	body := p.post(b, c)
	defer body.Close()
	if _, err := io.ReadAll(body); err != nil {
		b.Fatal(err)
	}
}

func (p plainClient) stream(b *testing.B, c upstream.Call) {
	body := p.post(b, c)
	defer body.Close()
	lines, done := bufio.NewScanner(body), false
	for lines.Scan() {
		done = done || lines.Text() == "data: [DONE]"
	}
	if !done {
		b.Fatal("stream is cut", lines.Err())
	}
}

// BenchmarkAgainstPlainClient alternates calls of Client and of a plain
// net/http client to the same stand-in engine and reports both median durations
// and their ratio.
func BenchmarkAgainstPlainClient(b *testing.B) {
	server := httptest.NewServer(engine.New(engine.Options{}))
	defer server.Close()
	client := upstream.New(upstream.Options{})
	defer client.Close()
	plain := plainClient{&http.Transport{DisableCompression: true}}
	defer plain.transport.CloseIdleConnections()
	ctx, emit := context.Background(), func(upstream.Part) error { return nil }
	check := func(_ upstream.Result, err error) {
		if err != nil {
			b.Fatal(err)
		}
	}
	for _, tokens := range []int{5, 200} {
		size := fmt.Sprintf("max_tokens\":%d", tokens)
		whole := call(server.URL, strings.Replace(wholeBody, "max_tokens\":5", size, 1))
		streamed := call(server.URL, strings.Replace(streamBody, "max_tokens\":5", size, 1))
		b.Run(fmt.Sprintf("whole/%d", tokens), func(b *testing.B) {
			compare(b, func() { check(client.Complete(ctx, whole)) }, func() { plain.whole(b, whole) })
		})
		b.Run(fmt.Sprintf("stream/%d", tokens), func(b *testing.B) {
			compare(b, func() { check(client.Stream(ctx, streamed, 0, emit)) }, func() { plain.stream(b, streamed) })
		})
	}
}

func compare(b *testing.B, checked, plain func()) {
	clientTimes, plainTimes := make([]time.Duration, 0, b.N), make([]time.Duration, 0, b.N)
	timed := func(f func()) time.Duration {
		start := time.Now()
		f()
		return time.Since(start)
	}
	checked()
	plain()
	for i := 0; b.Loop(); i++ {
		if i%2 == 0 {
			clientTimes = append(clientTimes, timed(checked))
			plainTimes = append(plainTimes, timed(plain))
			continue
		}
		plainTimes = append(plainTimes, timed(plain))
		clientTimes = append(clientTimes, timed(checked))
	}
	slices.Sort(clientTimes)
	slices.Sort(plainTimes)
	clientMedian, plainMedian := clientTimes[len(clientTimes)/2], plainTimes[len(plainTimes)/2]
	b.ReportMetric(float64(clientMedian)/float64(time.Microsecond), "upstream-µs")
	b.ReportMetric(float64(plainMedian)/float64(time.Microsecond), "plain-µs")
	b.ReportMetric(float64(clientMedian)/float64(plainMedian), "ratio")
	b.ReportMetric(0, "ns/op")
}
