package reply

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// queued reports whether the kernel still has bytes to send that the other side hasn't acknowledged, and returns the
// connection's error. It knows nothing of connections other than TCP.
func queued(c net.Conn) (bool, error) {
	raw := rawConn(c)
	if raw == nil {
		return false, nil
	}
	var n, code int
	var queueErr, codeErr error
	err := raw.Control(func(fd uintptr) {
		n, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		code, codeErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	if code != 0 {
		return false, syscall.Errno(code)
	}
	return n > 0, errors.Join(err, queueErr, codeErr)
}

// rawConn returns the kernel's connection under c; nil if there is none.
func rawConn(c net.Conn) syscall.RawConn {
	for {
		if s, ok := c.(syscall.Conn); ok {
			raw, err := s.SyscallConn()
			if err != nil {
				return nil
			}
			return raw
		}
		under, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = under.NetConn()
	}
}
