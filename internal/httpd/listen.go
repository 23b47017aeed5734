package httpd

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Probes of an idle connection: with these, one whose other end is lost is
// closed after about a quarter of a minute.
const (
	probeIdle  = 5 * time.Second
	probeEvery = 3 * time.Second
	probeCount = 3
)

// KeepAlive are the probes for connections of the system.
var KeepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     probeIdle,
	Interval: probeEvery,
	Count:    probeCount,
}

// Listen opens a TCP listener at address ("ip:port"). A connection on which
// bytes stay unacknowledged for silence is closed by the kernel.
//
// Without that, writes to a caller that is lost without a word go on well for
// minutes, since the kernel keeps them to send again; the request would hold its
// place on an engine for nobody. Probes don't help there: they are sent only
// while nothing is unacknowledged.
func Listen(ctx context.Context, address string, silence time.Duration) (net.Listener, error) {
	lc := net.ListenConfig{
		KeepAliveConfig: KeepAlive,
		// Accepted connections inherit the option.
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, silence) },
	}
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("opening a listener: %w", err)
	}
	return l, nil
}

// Dialer opens TCP connections on which bytes that stay unacknowledged for
// silence close the connection; see Listen. connect bounds the opening.
func Dialer(connect, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connect,
		KeepAliveConfig: KeepAlive,
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, silence) },
	}
}

func setUserTimeout(c syscall.RawConn, silence time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// ListenSpec is a listener to be opened, unless there is one.
type ListenSpec struct {
	Listener *net.Listener
	Addr     string
}

// ListenAll opens listeners as Listen does. After an error, those before it are
// open.
func ListenAll(ctx context.Context, silence time.Duration, all []ListenSpec) error {
	for _, o := range all {
		if *o.Listener != nil {
			continue
		}
		l, err := Listen(ctx, o.Addr, silence)
		if err != nil {
			return err
		}
		*o.Listener = l
	}
	return nil
}
