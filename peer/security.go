package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"
)

// ServerName is the DNS name in the certificate of every daemon.
const ServerName = "peer.savoryshift"

// MinTokenBytes is the length of the shortest cluster token that is accepted.
const MinTokenBytes = 16

// protocol is the greeting of the server on a connection without TLS. It includes
// the version of the protocol.
const protocol = "savoryshift-peer/1"

const nonceBytes = 32

// Security configures how peers authenticate as members of the cluster.
type Security struct {
	// TLS, when set, requires certificates of the cluster on both sides.
	TLS *TLS
	// Token is the shared secret for connections without TLS.
	Token string
}

func (s Security) validate() error {
	if s.TLS != nil {
		return nil
	}
	if s.Token == "" {
		return ErrInsecure
	}
	if len(s.Token) < MinTokenBytes {
		return fmt.Errorf("cluster token has %d bytes, need at least %d", len(s.Token), MinTokenBytes)
	}
	return nil
}

// TLS holds the certificate of this daemon and the certificate authority of the
// cluster.
type TLS struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// NewTLS parses PEM blocks: the certificate and key of this daemon, and the
// authority that signs the certificates of all daemons. The certificate must be
// valid for ServerName.
func NewTLS(certificate, key, authority []byte) (*TLS, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("peer certificate: %w", err)
	}
	if err := pair.Leaf.VerifyHostname(ServerName); err != nil {
		return nil, fmt.Errorf("peer certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.New("peer authority: no certificate found")
	}
	return &TLS{certificate: pair, authority: pool}, nil
}

// LoadTLS calls NewTLS with the contents of PEM files.
func LoadTLS(certificateFile, keyFile, authorityFile string) (*TLS, error) {
	var blocks [3][]byte
	for i, name := range []string{certificateFile, keyFile, authorityFile} {
		var err error
		if blocks[i], err = os.ReadFile(name); err != nil {
			return nil, err
		}
	}
	return NewTLS(blocks[0], blocks[1], blocks[2])
}

func (t *TLS) config() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{t.certificate},
		RootCAs:      t.authority,
		ClientCAs:    t.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   ServerName,
	}
}

// accept authenticates a connection on the server side.
func (s Security) accept(conn net.Conn) (net.Conn, error) {
	return s.secure(conn, tls.Server, acceptToken)
}

// dial authenticates a connection on the client side.
func (s Security) dial(conn net.Conn) (net.Conn, error) {
	return s.secure(conn, tls.Client, dialToken)
}

// secure authenticates a connection by TLS or, without it, by the cluster token.
func (s Security) secure(conn net.Conn, wrap func(net.Conn, *tls.Config) *tls.Conn, prove func(net.Conn, string) error) (net.Conn, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	if s.TLS != nil {
		secured := wrap(conn, s.TLS.config())
		if err := secured.Handshake(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnauthenticated, err)
		}
		conn = secured
	} else if err := prove(conn, s.Token); err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Time{})
}

// acceptToken is the server side of the token handshake. It sends a nonce, checks
// the client's proof over both nonces and answers with its own proof. The nonces
// prevent the replay of a recorded handshake.
func acceptToken(conn net.Conn, token string) error {
	nonce := newNonce()
	if _, err := conn.Write(append([]byte(protocol), nonce...)); err != nil {
		return err
	}
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return fmt.Errorf("%w: %w", ErrUnauthenticated, err)
	}
	peerNonce, proof := answer[:nonceBytes], answer[nonceBytes:]
	if !hmac.Equal(proof, proofOf(token, "client", nonce, peerNonce)) {
		return ErrUnauthenticated
	}
	_, err := conn.Write(proofOf(token, "server", nonce, peerNonce))
	return err
}

// dialToken is the client side of the token handshake.
func dialToken(conn net.Conn, token string) error {
	hello := make([]byte, len(protocol)+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return err
	}
	if string(hello[:len(protocol)]) != protocol {
		return fmt.Errorf("%w: its greeting is not %s", ErrUnauthenticated, protocol)
	}
	serverNonce, nonce := hello[len(protocol):], newNonce()
	if _, err := conn.Write(append(nonce, proofOf(token, "client", serverNonce, nonce)...)); err != nil {
		return err
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return fmt.Errorf("%w: %w", ErrUnauthenticated, err)
	}
	if !hmac.Equal(proof, proofOf(token, "server", serverNonce, nonce)) {
		return ErrUnauthenticated
	}
	return nil
}

// newNonce returns random bytes; crypto/rand never fails.
func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

// proofOf returns the HMAC by which one side proves that it knows the token.
func proofOf(token, side string, serverNonce, clientNonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(token))
	mac.Write([]byte(protocol + "/" + side))
	mac.Write(serverNonce)
	mac.Write(clientNonce)
	return mac.Sum(nil)
}
