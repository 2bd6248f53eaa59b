package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// authority is a certificate authority for tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "cluster"}, IsCA: true,
		BasicConstraintsValid: true, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{key, cert, pemBlock("CERTIFICATE", der)}
}

func (a *authority) issue(t *testing.T, name string) (*TLS, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	return NewTLS(pemBlock("CERTIFICATE", der), pemBlock("EC PRIVATE KEY", keyDER), a.pem)
}

// Guards against a server with TLS that accepts a peer of another cluster or one
// without a certificate.
func TestMutualTLS(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := newAuthority(t), newAuthority(t)
		server, err := ours.issue(t, ServerName)
		assert.NilError(t, err)
		foreign, err := theirs.issue(t, ServerName)
		assert.NilError(t, err)
		_, err = ours.issue(t, "elsewhere")
		assert.Assert(t, err != nil)
		for i, client := range []Security{{TLS: server}, {TLS: foreign}, tokenSecurity()} {
			r := newRig(t, Security{TLS: server}, client)
			_, err := r.sync(t)
			assert.Equal(t, err == nil, i == 0, "%v", err)
			time.Sleep(2 * handshakeTimeout)
			assert.Equal(t, r.server.Counters.Unauthenticated.Value(), int64(min(i, 1)))
			assert.Equal(t, r.node.received.Load(), int64(1-min(i, 1)))
			r.close(t)
		}
		for _, bad := range []Security{{}, {Token: "short"}} {
			_, err := NewServer(ServerOptions{Security: bad})
			assert.Assert(t, err != nil)
		}
	})
}
