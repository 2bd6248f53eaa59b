package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/samber/oops"
)

// Config reads the files and returns the TLS configuration of a listener and, for
// peers, of a client. It returns nil if no files are set. If CAFile is set, both sides
// must present a certificate signed by one of its authorities.
func (f TLSFiles) Config() (*tls.Config, error) {
	if f.CertFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return nil, oops.Wrapf(err, "certificate")
	}
	config := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	if f.CAFile == "" {
		return config, nil
	}
	pem, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, oops.Wrapf(err, "certificate authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, oops.Errorf("file %s holds no certificate", f.CAFile)
	}
	config.RootCAs, config.ClientCAs, config.ClientAuth = pool, pool, tls.RequireAndVerifyClientCert
	return config, nil
}
