package fault

import (
	"net"
	"sync"
)

// Freezer suspends the network use of a server inside a test as if its process stood still: it accepts,
// reads, writes and closes nothing until it is thawed, and loses nothing. The system still establishes
// connections to it and buffers what they bring.
type Freezer struct {
	mu sync.Mutex
	// thawed is closed when the server goes on; nil while it is not frozen.
	thawed chan struct{}
}

// Freeze suspends the server, if it is not frozen already.
func (f *Freezer) Freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thawed == nil {
		f.thawed = make(chan struct{})
	}
}

// Thaw lets the server go on where it was.
func (f *Freezer) Thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thawed != nil {
		close(f.thawed)
		f.thawed = nil
	}
}

// Wait waits while the server is frozen. Work of the server has to call it after each pause.
func (f *Freezer) Wait() {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// WrapListener returns a listener that freezes with all connections that it accepts.
func (f *Freezer) WrapListener(l net.Listener) net.Listener {
	return frozenListener{Listener: l, freezer: f}
}

type frozenListener struct {
	net.Listener
	freezer *Freezer
}

// Accept implements net.Listener.
func (l frozenListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.freezer.Wait()
	if err != nil {
		return nil, err
	}
	return frozenConn{Conn: c, freezer: l.freezer}, nil
}

type frozenConn struct {
	net.Conn
	freezer *Freezer
}

// Read implements net.Conn.
func (c frozenConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.freezer.Wait()
	return n, err
}

// Write implements net.Conn.
func (c frozenConn) Write(p []byte) (int, error) {
	c.freezer.Wait()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c frozenConn) Close() error {
	c.freezer.Wait()
	return c.Conn.Close()
}

// CloseWrite is that of a TCP connection. net/http calls it if it finds it.
func (c frozenConn) CloseWrite() error {
	c.freezer.Wait()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger is that of a TCP connection.
func (c frozenConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
