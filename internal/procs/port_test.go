package procs

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// lastPort is the port that keptPort gave out last.
var lastPort atomic.Int32

// reservePort is an address that a process can be started at, and started again
// later. Ports from the system's own range won't do: while the process is down,
// any outgoing connection may take one, and the process can't come back.
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
