package front

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// A client that offers HTTP/2 gets HTTP/1.1: over HTTP/2 all its calls would share one
// connection, and a stalled connection would stall them all.
func TestTLSWithoutHTTP2(t *testing.T) {
	// The test server only provides its certificate.
	certServer := httptest.NewUnstartedServer(http.NotFoundHandler())
	certServer.StartTLS()
	defer certServer.Close()
	pool := x509.NewCertPool()
	pool.AddCert(certServer.Certificate())

	r := startServer(t, servingWith(complete), func(cfg *Config) {
		cfg.TLS = &tls.Config{Certificates: certServer.TLS.Certificates, NextProtos: []string{"h2", "http/1.1"}}
	})
	transport := &http.Transport{
		DialContext:       r.listener.dial,
		TLSClientConfig:   &tls.Config{RootCAs: pool, ServerName: "example.com"},
		ForceAttemptHTTP2: true,
	}
	defer transport.CloseIdleConnections()
	req := newCall("POST", runPath, `{"input":"x"}`)
	req.URL.Scheme = "https"
	res, err := (&http.Client{Transport: transport}).Do(req)
	require.NoError(t, err)
	require.Equal(t, 200, res.StatusCode)
	require.Equal(t, 1, res.ProtoMajor)
	require.NoError(t, res.Body.Close())
}
