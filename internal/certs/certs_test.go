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

// signer issues certificates for tests.
type signer struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newSigner(t *testing.T) *signer {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "signer"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	return &signer{cert: cert, key: key}
}

// issue writes files with a certificate for name into a new directory.
func (s *signer) issue(t *testing.T, dir, name string, serial int64) Config {
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
	secret, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Config{
		Cert:          write(t, dir, "cert", "CERTIFICATE", der),
		Key:           write(t, dir, "key", "EC PRIVATE KEY", secret),
		CA:            write(t, dir, "ca", "CERTIFICATE", ca),
		Name:          peerName,
		CheckInterval: time.Minute,
		Log:           log,
	}
}

func write(t *testing.T, dir, name, kind string, der []byte) string {
	path := filepath.Join(dir, name)
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return path
}

func open(t *testing.T, cfg Config) *Store {
	s, err := Open(cfg)
	require.NoError(t, err)
	return s
}

// shake lets a client and a server greet each other.
func shake(t *testing.T, client, server *tls.Config) (clientErr, serverErr error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	var g errgroup.Group
	g.Go(func() error {
		far, err := l.Accept()
		if err != nil {
			return err
		}
		serverErr = far.(*tls.Conn).Handshake()
		return far.Close()
	})
	near, clientErr := tls.Dial("tcp", l.Addr().String(), client)
	if clientErr == nil {
		// In TLS 1.3 the client learns only by reading that it was turned away.
		_, _ = near.Read(make([]byte, 1))
		_ = near.Close()
	}
	_ = g.Wait()
	return clientErr, serverErr
}

func TestPeersKnowEachOther(t *testing.T) {
	ours, others := newSigner(t), newSigner(t)
	server := open(t, ours.issue(t, t.TempDir(), peerName, 2))
	cases := []struct {
		name   string
		client Config
		good   bool
	}{
		{"a peer", ours.issue(t, t.TempDir(), peerName, 3), true},
		{"another name from the same signer", ours.issue(t, t.TempDir(), "caller.example", 4), false},
		{"the name from another signer", others.issue(t, t.TempDir(), peerName, 5), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := open(t, tc.client).PeerClient()
			c.RootCAs = server.PeerClient().RootCAs
			_, err := shake(t, c, server.PeerServer())
			require.Equal(t, tc.good, err == nil, err)
		})
	}
	t.Run("no certificate", func(t *testing.T) {
		c := server.PeerClient()
		c.Certificates = nil
		_, err := shake(t, c, server.PeerServer())
		require.Error(t, err)
	})
	t.Run("a server of another name", func(t *testing.T) {
		other := open(t, ours.issue(t, t.TempDir(), "caller.example", 6))
		err, _ := shake(t, server.PeerClient(), other.PeerServer())
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

// The operators renew a certificate while the daemon runs. In the middle of it
// the key does not belong to the certificate yet. Handshakes go on with the old
// pair till both files are there, and then use the new one.
func TestRenewal(t *testing.T) {
	signer := newSigner(t)
	dir := t.TempDir()
	now := time.Now()
	cfg := signer.issue(t, dir, peerName, 2)
	cfg.Now = func() time.Time { return now }
	s := open(t, cfg)

	key, err := os.ReadFile(cfg.Key)
	require.NoError(t, err)
	signer.issue(t, dir, peerName, 33333)
	renewed, err := os.ReadFile(cfg.Key)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(cfg.Key, key, 0o600))
	require.Equal(t, int64(2), serial(s), "not due yet")

	now = now.Add(time.Minute)
	require.Equal(t, int64(2), serial(s), "key and certificate don't belong together")

	require.NoError(t, os.WriteFile(cfg.Key, renewed, 0o600))
	now = now.Add(time.Minute)
	require.Equal(t, int64(33333), serial(s))

	require.NoError(t, os.Remove(cfg.Cert))
	now = now.Add(time.Minute)
	require.Equal(t, int64(33333), serial(s), "files are gone")
}

func TestOpenFaults(t *testing.T) {
	cfg := newSigner(t).issue(t, t.TempDir(), peerName, 2)
	missing := cfg
	missing.Key = filepath.Join(t.TempDir(), "none")
	_, err := Open(missing)
	require.ErrorIs(t, err, os.ErrNotExist)

	empty := cfg
	empty.CA = cfg.Key
	_, err = Open(empty)
	require.ErrorContains(t, err, "holds none")
}
