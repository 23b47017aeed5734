package httpd

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"jasmineshed/internal/prefs"
)

func newTestServer(l net.Listener) *Server {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{
		Name:         "test",
		Listener:     l,
		Handler:      http.NotFoundHandler(),
		Limits:       prefs.Defaults().Limits,
		DrainTimeout: time.Second,
		Log:          log,
	})
}

// Someone closes the listener under the server. A restart could not open it
// again, so the error asks the supervisor to end the tree.
func TestLostListenerEndsTheTree(t *testing.T) {
	l, err := Listen(t.Context(), "127.0.0.1:0", time.Second)
	require.NoError(t, err)
	s := newTestServer(l)
	require.NoError(t, l.Close())
	err = s.Serve(t.Context())
	require.ErrorIs(t, err, net.ErrClosed)
	require.ErrorIs(t, err, suture.ErrTerminateSupervisorTree)
}

func TestStop(t *testing.T) {
	l, err := Listen(t.Context(), "127.0.0.1:0", time.Second)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	s := newTestServer(l)
	g.Go(func() error { return s.Serve(ctx) })
	cancel()
	require.NoError(t, g.Wait())
}

func TestAcceptedConnectionsDieOfSilence(t *testing.T) {
	l, err := Listen(t.Context(), "127.0.0.1:0", 7*time.Second)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	near, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = near.Close() }()
	far, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = far.Close() }()
	raw, err := far.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	options := map[int]int{unix.TCP_USER_TIMEOUT: 7000, unix.TCP_KEEPIDLE: 5, unix.TCP_KEEPINTVL: 3, unix.TCP_KEEPCNT: 3}
	for option, want := range options {
		var got int
		require.NoError(t, raw.Control(func(fd uintptr) {
			got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
		}))
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}

func TestListenFaults(t *testing.T) {
	_, err := Listen(t.Context(), "192.0.2.1:0", time.Second)
	require.Error(t, err)
}
