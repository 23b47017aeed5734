package procs

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// lastPort is the offset of the port that reservePort tried last.
var lastPort atomic.Int32

// reservePort returns an address at which a process can be started and restarted. Its port is not
// from the system's ephemeral range: while the process is down, any outgoing connection could
// take such a port, and the process could not restart.
func reservePort(t *testing.T) string {
	t.Helper()
	const first, last = 20000, 32000
	lastPort.CompareAndSwap(0, int32(first+os.Getpid()*17%(last-first)))
	for range last - first {
		port := first + int(lastPort.Add(1))%(last-first)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err == nil {
			_ = l.Close()
			return addr
		}
	}
	t.Fatal("no port is free")
	return ""
}
