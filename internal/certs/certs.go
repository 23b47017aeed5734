// Package certs holds keys and certificates that are read again when their
// files change, so that a renewed certificate needs no restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Config of a Store.
type Config struct {
	// Cert and Key are PEM files.
	Cert, Key string
	// CA signs the other side's certificates; empty if it needs none.
	CA string
	// Name is the DNS name that the other side's certificate carries.
	Name string
	// CheckInterval is how often the files are looked at for a change.
	CheckInterval time.Duration
	Log           logrus.FieldLogger
	// Now is time.Now unless a test gives a clock of its own.
	Now func() time.Time
}

// Store holds a key pair and the signers of the other side.
type Store struct {
	cfg Config
	mu  sync.Mutex
	// pair and pool are the last ones that could be read.
	pair *tls.Certificate
	pool *x509.CertPool
	// looked is when the files were last looked at, stamp what they were then.
	looked time.Time
	stamp  string
}

// Open reads the files for the first time.
func Open(cfg Config) (*Store, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Store{cfg: cfg}
	stamp, err := s.stampFiles()
	if err != nil {
		return nil, err
	}
	if err := s.read(); err != nil {
		return nil, err
	}
	s.stamp = stamp
	s.looked = cfg.Now()
	return s, nil
}

func (s *Store) files() []string {
	files := []string{s.cfg.Cert, s.cfg.Key}
	if s.cfg.CA != "" {
		files = append(files, s.cfg.CA)
	}
	return files
}

// stampFiles tells two states of the files apart.
func (s *Store) stampFiles() (string, error) {
	stamp := ""
	for _, name := range s.files() {
		info, err := os.Stat(name)
		if err != nil {
			return "", fmt.Errorf("certificates: %w", err)
		}
		stamp += fmt.Sprintf("%d %d;", info.ModTime().UnixNano(), info.Size())
	}
	return stamp, nil
}

func (s *Store) read() error {
	pair, err := tls.LoadX509KeyPair(s.cfg.Cert, s.cfg.Key)
	if err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if s.cfg.CA != "" {
		pem, err := os.ReadFile(s.cfg.CA)
		if err != nil {
			return fmt.Errorf("certificates: %w", err)
		}
		if !pool.AppendCertsFromPEM(pem) {
			return fmt.Errorf("certificates: %s holds none", s.cfg.CA)
		}
	}
	s.pair = &pair
	s.pool = pool
	return nil
}

// current looks at the files when that is due. Files that can't be read, as in
// the middle of a renewal, leave the last pair in use: a handshake must not
// fail while that one is still good.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	if now.Sub(s.looked) < s.cfg.CheckInterval {
		return s.pair, s.pool
	}
	s.looked = now
	stamp, err := s.stampFiles()
	if err == nil && stamp == s.stamp {
		return s.pair, s.pool
	}
	if err == nil {
		err = s.read()
	}
	if err != nil {
		s.cfg.Log.WithError(err).Error("certificates not renewed")
		return s.pair, s.pool
	}
	s.stamp = stamp
	s.cfg.Log.WithField("file", s.cfg.Cert).Info("certificates renewed")
	return s.pair, s.pool
}

// CallerServer is the configuration of a listener that asks for no certificate.
func (s *Store) CallerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := s.current()
			return pair, nil
		},
	}
}

// PeerServer is the configuration of the listener for peers: both sides show a
// certificate of the peers' signer that carries the peers' name. The name keeps
// out whoever else has a certificate of that signer.
func (s *Store) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := s.current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{*pair},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        pool,
				VerifyConnection: s.verifyName,
			}, nil
		},
	}
}

// PeerClient is the configuration of one new connection to a peer; a renewed
// certificate is used from the next one on.
func (s *Store) PeerClient() *tls.Config {
	pair, pool := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*pair},
		RootCAs:      pool,
		ServerName:   s.cfg.Name,
	}
}

func (s *Store) verifyName(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("certificates: the peer shows none")
	}
	if err := state.PeerCertificates[0].VerifyHostname(s.cfg.Name); err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	return nil
}
