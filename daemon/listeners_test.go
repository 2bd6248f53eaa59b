package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/settings"
)

// Guards against listeners that ignore their TLS settings. A client without TLS
// must be rejected, one that trusts the CA must be served and, with ca_file, only
// one that has a certificate.
func TestListenersUseTLS(t *testing.T) {
	server, mutual := e2e.WriteCertificate(t), e2e.WriteCertificate(t)
	mutual.CAFile = mutual.CertFile
	s := settings.Defaults()
	s.VM, s.AvailabilityZone, s.PlatformURL, s.ClusterToken = "vm0", "a", "http://127.0.0.1:1", "a token of the cluster"
	s.SessionKeys = []settings.SessionKey{{ID: "k", SecretBase64: base64.StdEncoding.EncodeToString(make([]byte, 32))}}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.TLS.Callers, s.TLS.Operators = server, mutual
	s.Periods.ReadinessDelayMs = 0
	d, err := New(Options{Settings: s})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()

	callers, operators := d.opts.Callers.Addr().String(), d.opts.Operators.Addr().String()
	get := func(url string, trust, own settings.TLSFiles) int {
		config := &tls.Config{RootCAs: x509.NewCertPool()}
		if pem, err := os.ReadFile(trust.CertFile); err == nil {
			config.RootCAs.AppendCertsFromPEM(pem)
		}
		if pair, err := tls.LoadX509KeyPair(own.CertFile, own.KeyFile); err == nil {
			config.Certificates = []tls.Certificate{pair}
		}
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}, Timeout: time.Minute}
		resp, err := client.Get(url)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
	none := settings.TLSFiles{}
	assert.Equal(t, get("https://"+callers+"/v1/models", server, none), http.StatusServiceUnavailable) // no settings yet
	assert.Equal(t, get("https://"+callers+"/v1/models", none, none), 0)
	assert.Equal(t, get("http://"+callers+"/v1/models", none, none), http.StatusBadRequest)
	assert.Equal(t, get("https://"+operators+"/livez", mutual, mutual), http.StatusOK)
	assert.Equal(t, get("https://"+operators+"/livez", mutual, none), 0)
	cancel()
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(time.Minute):
		t.Fatal("the daemon did not end within a minute")
	}
}

// Guards against a stopping daemon whose callers keep their connections, and send
// a request on one that is being closed.
func TestStoppingDaemonEndsConnections(t *testing.T) {
	s := settings.Defaults()
	s.VM, s.AvailabilityZone, s.PlatformURL, s.ClusterToken = "vm0", "a", "http://127.0.0.1:1", "a token of the cluster"
	s.SessionKeys = []settings.SessionKey{{ID: "k", SecretBase64: base64.StdEncoding.EncodeToString(make([]byte, 32))}}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Periods.ReadinessDelayMs = 2000
	d, err := New(Options{Settings: s})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	client := &http.Client{Transport: &http.Transport{}, Timeout: time.Minute}
	defer client.CloseIdleConnections()
	get := func() *http.Response {
		resp, err := client.Get("http://" + d.opts.Callers.Addr().String() + "/v1/models")
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp
	}
	assert.Assert(t, !get().Close)
	cancel()
	for range 1000 {
		if d.draining.Load() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, get().Close)
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(time.Minute):
		t.Fatal("the daemon did not end within a minute")
	}
}
