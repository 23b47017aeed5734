package httpd

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes of an idle connection. With TCP_USER_TIMEOUT set, as here, Linux ignores their
// count: the connection is closed at the first probe that is due after the timeout, and after one was
// sent. IdleLimit is when that is.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 3 * time.Second
	keepAliveCount    = 3
)

// IdleLimit returns how long after its other end was lost an idle connection is closed whose bytes may
// stay unacknowledged for userTimeout. The time counts from the last byte received.
func IdleLimit(userTimeout time.Duration) time.Duration {
	limit := keepAliveIdle + keepAliveInterval
	for limit < userTimeout {
		limit += keepAliveInterval
	}
	return limit
}

// KeepAlive is the keep-alive configuration of the connections of this system.
var KeepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// Listen opens a TCP listener at address ("ip:port"). The kernel closes a connection on which
// bytes stay unacknowledged for userTimeout.
//
// Without that, writes to a caller that has vanished succeed for minutes, because the kernel
// buffers them for retransmission, and the request occupies an engine for nobody. Keep-alive
// probes don't help there: they are sent only while nothing is unacknowledged.
func Listen(ctx context.Context, address string, userTimeout time.Duration) (net.Listener, error) {
	lc := net.ListenConfig{
		KeepAliveConfig: KeepAlive,
		// Accepted connections inherit the option.
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, userTimeout) },
	}
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("opening a listener: %w", err)
	}
	return l, nil
}

// Dialer opens TCP connections that the kernel closes when bytes stay unacknowledged for
// userTimeout; see Listen. connectTimeout bounds the connection set-up.
func Dialer(connectTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: KeepAlive,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, userTimeout) },
	}
}

func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// ListenSpec is a listener to open at Addr, unless *Listener is already set.
type ListenSpec struct {
	Listener *net.Listener
	Addr     string
}

// ListenAll opens listeners as Listen does. If one fails, those before it stay open.
func ListenAll(ctx context.Context, userTimeout time.Duration, specs []ListenSpec) error {
	for _, spec := range specs {
		if *spec.Listener != nil {
			continue
		}
		l, err := Listen(ctx, spec.Addr, userTimeout)
		if err != nil {
			return err
		}
		*spec.Listener = l
	}
	return nil
}
