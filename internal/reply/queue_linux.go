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
	below, ok := under[syscall.Conn](c)
	if !ok {
		return false, nil
	}
	raw, err := below.SyscallConn()
	if err != nil {
		return false, err
	}
	var n, code int
	var queueErr, codeErr error
	err = raw.Control(func(fd uintptr) {
		n, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		code, codeErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	if code != 0 {
		return false, syscall.Errno(code)
	}
	return n > 0, errors.Join(err, queueErr, codeErr)
}
