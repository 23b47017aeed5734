package httpd_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"jasmineshed/internal/httpd"
)

// options are the socket options that decide when a connection is given up.
type options struct{ userTimeoutMS, idle, interval, count int }

func optionsOf(t *testing.T, c net.Conn) options {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var out options
	require.NoError(t, raw.Control(func(fd uintptr) {
		for opt, into := range map[int]*int{
			unix.TCP_USER_TIMEOUT: &out.userTimeoutMS, unix.TCP_KEEPIDLE: &out.idle,
			unix.TCP_KEEPINTVL: &out.interval, unix.TCP_KEEPCNT: &out.count,
		} {
			*into, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, opt)
			require.NoError(t, err)
		}
	}))
	return out
}

// Guards against connections, dialed or accepted, without the options by which the loss of their other
// end is noticed.
func TestConnectionsHaveTimeouts(t *testing.T) {
	const accepted, dialed = 7 * time.Second, 1500 * time.Millisecond
	lis, err := httpd.Listen(t.Context(), "127.0.0.1:0", accepted)
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	out, err := httpd.Dialer(time.Second, dialed).DialContext(t.Context(), "tcp", lis.Addr().String())
	require.NoError(t, err)
	in, err := lis.Accept()
	require.NoError(t, err)
	require.Equal(t, options{1500, 5, 3, 3}, optionsOf(t, out))
	require.Equal(t, options{7000, 5, 3, 3}, optionsOf(t, in))
	require.NoError(t, out.Close())
	require.NoError(t, in.Close())
}

// Guards against a wrong idea of when an idle connection is given up: TCP_USER_TIMEOUT decides, in
// steps of the probes, whatever their count.
func TestIdleLimit(t *testing.T) {
	for userTimeout, want := range map[time.Duration]time.Duration{
		1500 * time.Millisecond: 8 * time.Second,
		5 * time.Second:         8 * time.Second,
		8 * time.Second:         8 * time.Second,
		10 * time.Second:        11 * time.Second,
		30 * time.Second:        32 * time.Second,
	} {
		require.Equal(t, want, httpd.IdleLimit(userTimeout), userTimeout)
	}
}
