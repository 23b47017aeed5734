// Package certs holds TLS keys and certificates and reloads them when their files change, so
// that a renewed certificate needs no restart.
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

// Config configures a Store.
type Config struct {
	// Cert and Key are PEM files.
	Cert, Key string
	// CA is a PEM file with the CA of the other side's certificates; empty if the other side needs
	// no certificate.
	CA string
	// Name is the DNS name that the other side's certificate has to contain.
	Name string
	// CheckInterval is how often the files are checked for changes.
	CheckInterval time.Duration
	Log           logrus.FieldLogger
	// Now defaults to time.Now; tests set their own clock.
	Now func() time.Time
}

// Store holds a key pair and the CA pool for the other side's certificates.
type Store struct {
	cfg Config
	mu  sync.Mutex
	// pair and pool are the last ones that were loaded without an error.
	pair *tls.Certificate
	pool *x509.CertPool
	// lastCheck is when the files were last checked, fileState their state when they were loaded.
	lastCheck time.Time
	fileState string
}

// Open loads the files and returns a Store.
func Open(cfg Config) (*Store, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Store{cfg: cfg}
	state, err := s.statFiles()
	if err != nil {
		return nil, err
	}
	if err := s.load(); err != nil {
		return nil, err
	}
	s.fileState = state
	s.lastCheck = cfg.Now()
	return s, nil
}

func (s *Store) fileNames() []string {
	files := []string{s.cfg.Cert, s.cfg.Key}
	if s.cfg.CA != "" {
		files = append(files, s.cfg.CA)
	}
	return files
}

// statFiles returns the modification times and sizes of the files, to detect changes.
func (s *Store) statFiles() (string, error) {
	state := ""
	for _, name := range s.fileNames() {
		info, err := os.Stat(name)
		if err != nil {
			return "", fmt.Errorf("certificates: %w", err)
		}
		state += fmt.Sprintf("%d %d;", info.ModTime().UnixNano(), info.Size())
	}
	return state, nil
}

func (s *Store) load() error {
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
			return fmt.Errorf("certificates: %s contains no CA certificate", s.cfg.CA)
		}
	}
	s.pair = &pair
	s.pool = pool
	return nil
}

// current returns the key pair and CA pool, and checks the files for changes when that is due. If
// they can't be loaded, as in the middle of a renewal, the last pair stays in use: a handshake
// must not fail while that one is still valid.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	if now.Sub(s.lastCheck) < s.cfg.CheckInterval {
		return s.pair, s.pool
	}
	s.lastCheck = now
	state, err := s.statFiles()
	if err == nil && state == s.fileState {
		return s.pair, s.pool
	}
	if err == nil {
		err = s.load()
	}
	if err != nil {
		s.cfg.Log.WithError(err).Error("certificates not renewed")
		return s.pair, s.pool
	}
	s.fileState = state
	s.cfg.Log.WithField("file", s.cfg.Cert).Info("certificates renewed")
	return s.pair, s.pool
}

// CallerServer returns the configuration of a listener that requests no client certificate.
func (s *Store) CallerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := s.current()
			return pair, nil
		},
	}
}

// PeerServer returns the configuration of the listener for peers: both sides present a
// certificate from the peers' CA that contains the peers' name. The name excludes other holders
// of a certificate from that CA.
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

// PeerClient returns the configuration of one new connection to a peer. It is not updated:
// a renewed certificate is used from the next connection on.
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
		return errors.New("certificates: the peer presented no certificate")
	}
	if err := state.PeerCertificates[0].VerifyHostname(s.cfg.Name); err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	return nil
}
