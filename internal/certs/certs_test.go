package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

const peerName = "peer.jasmineshed"

// testCA issues certificates for tests.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "signer"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	return &testCA{cert: cert, key: key}
}

// issue writes a key and a certificate for name, and the CA's certificate, into dir.
func (s *testCA) issue(t *testing.T, dir, name string, serial int64) Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		DNSNames:     []string{name},
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, s.cert, &key.PublicKey, s.key)
	require.NoError(t, err)
	ca, err := x509.CreateCertificate(rand.Reader, s.cert, s.cert, &s.key.PublicKey, s.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Config{
		Cert:          writePEM(t, dir, "cert", "CERTIFICATE", der),
		Key:           writePEM(t, dir, "key", "EC PRIVATE KEY", keyDER),
		CA:            writePEM(t, dir, "ca", "CERTIFICATE", ca),
		Name:          peerName,
		CheckInterval: time.Minute,
		Log:           log,
	}
}

func writePEM(t *testing.T, dir, name, kind string, der []byte) string {
	path := filepath.Join(dir, name)
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return path
}

func openStore(t *testing.T, cfg Config) *Store {
	s, err := Open(cfg)
	require.NoError(t, err)
	return s
}

// handshake runs a TLS handshake and returns the errors of both sides.
func handshake(t *testing.T, client, server *tls.Config) (clientErr, serverErr error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	var g errgroup.Group
	g.Go(func() error {
		serverConn, err := l.Accept()
		if err != nil {
			return err
		}
		serverErr = serverConn.(*tls.Conn).Handshake()
		return serverConn.Close()
	})
	clientConn, clientErr := tls.Dial("tcp", l.Addr().String(), client)
	if clientErr == nil {
		// In TLS 1.3 the client learns only by reading that the server rejected it.
		_, _ = clientConn.Read(make([]byte, 1))
		_ = clientConn.Close()
	}
	_ = g.Wait()
	return clientErr, serverErr
}

func TestPeersKnowEachOther(t *testing.T) {
	ca, otherCA := newTestCA(t), newTestCA(t)
	server := openStore(t, ca.issue(t, t.TempDir(), peerName, 2))
	cases := []struct {
		name     string
		client   Config
		accepted bool
	}{
		{"a peer", ca.issue(t, t.TempDir(), peerName, 3), true},
		{"another name from the same CA", ca.issue(t, t.TempDir(), "caller.example", 4), false},
		{"the name from another CA", otherCA.issue(t, t.TempDir(), peerName, 5), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := openStore(t, tc.client).PeerClient()
			c.RootCAs = server.PeerClient().RootCAs
			_, err := handshake(t, c, server.PeerServer())
			require.Equal(t, tc.accepted, err == nil, err)
		})
	}
	t.Run("no certificate", func(t *testing.T) {
		c := server.PeerClient()
		c.Certificates = nil
		_, err := handshake(t, c, server.PeerServer())
		require.Error(t, err)
	})
	t.Run("a server of another name", func(t *testing.T) {
		other := openStore(t, ca.issue(t, t.TempDir(), "caller.example", 6))
		err, _ := handshake(t, server.PeerClient(), other.PeerServer())
		require.Error(t, err)
	})
}

func serial(s *Store) int64 {
	c, err := s.CallerServer().GetCertificate(nil)
	if err != nil || c.Leaf == nil {
		return 0
	}
	return c.Leaf.SerialNumber.Int64()
}

// Operators renew a certificate while the daemon runs. During the renewal, the key and the
// certificate don't match for a while. Handshakes continue with the old pair until both files are
// renewed, and then use the new one.
func TestRenewal(t *testing.T) {
	signer := newTestCA(t)
	dir := t.TempDir()
	now := time.Now()
	cfg := signer.issue(t, dir, peerName, 2)
	cfg.Now = func() time.Time { return now }
	s := openStore(t, cfg)

	key, err := os.ReadFile(cfg.Key)
	require.NoError(t, err)
	signer.issue(t, dir, peerName, 33333)
	renewed, err := os.ReadFile(cfg.Key)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(cfg.Key, key, 0o600))
	require.Equal(t, int64(2), serial(s), "not due yet")

	now = now.Add(time.Minute)
	require.Equal(t, int64(2), serial(s), "key and certificate don't match")

	require.NoError(t, os.WriteFile(cfg.Key, renewed, 0o600))
	now = now.Add(time.Minute)
	require.Equal(t, int64(33333), serial(s))

	require.NoError(t, os.Remove(cfg.Cert))
	now = now.Add(time.Minute)
	require.Equal(t, int64(33333), serial(s), "the certificate file is missing")
}

func TestOpenFaults(t *testing.T) {
	cfg := newTestCA(t).issue(t, t.TempDir(), peerName, 2)
	missing := cfg
	missing.Key = filepath.Join(t.TempDir(), "none")
	_, err := Open(missing)
	require.ErrorIs(t, err, os.ErrNotExist)

	empty := cfg
	empty.CA = cfg.Key
	_, err = Open(empty)
	require.ErrorContains(t, err, "contains no CA certificate")
}
