package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/savoryshift/savoryshift/settings"
)

// WriteCertificate writes a self-signed CA certificate for 127.0.0.1 and its key,
// and returns the names of the files.
func WriteCertificate(t testing.TB) settings.TLSFiles {
	t.Helper()
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	check(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	check(err)
	files := settings.TLSFiles{
		CertFile: filepath.Join(t.TempDir(), "cert.pem"),
		KeyFile:  filepath.Join(t.TempDir(), "key.pem"),
	}
	for name, block := range map[string]*pem.Block{
		files.CertFile: {Type: "CERTIFICATE", Bytes: certificate},
		files.KeyFile:  {Type: "PRIVATE KEY", Bytes: private},
	} {
		check(os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
	}
	return files
}
