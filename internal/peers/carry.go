package peers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/reply"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
)

const rpcCarry = "/peers/Carry"

// CarryCall asks a daemon to connect to a backend server and to carry the bytes of the connection.
type CarryCall struct {
	From  shed.Peer        `cbor:"1,keyasint"`
	Start shed.ServerStart `cbor:"2,keyasint"`
	// Addr is the address of the server, "ip:port".
	Addr string `cbor:"3,keyasint"`
	// Probe: nothing will be sent, so the server's rest doesn't matter. Daemons that don't know it refuse.
	Probe bool `cbor:"4,keyasint,omitempty"`
}

// CarryRefusal is why a daemon carries no connection. The set is closed.
type CarryRefusal uint8

const (
	// CarryAccepted means that it carries the connection.
	CarryAccepted CarryRefusal = iota
	// CarryDeclined means that it carries none now, whatever the server.
	CarryDeclined
	// CarryUnreachable means that it could not connect to the server.
	CarryUnreachable
	// CarryServerClosed means that the server accepts no new work, or none from this daemon.
	CarryServerClosed
	// CarryPathLost means that it lost its own path to the server, which says nothing of the server.
	CarryPathLost
)

var (
	// ErrCarryDeclined is returned if a peer carries no connection now.
	ErrCarryDeclined = errors.New("peer carries no connection")
	// ErrCarryUnreachable is returned if a peer could not connect to the server.
	ErrCarryUnreachable = errors.New("peer can't connect to the server")
	// ErrCarryPathLost is returned if a peer lost its own path to the server. It may carry connections to others.
	ErrCarryPathLost = errors.New("peer has no path to the server")
)

// CarryClosedError is returned if a peer knows that the server accepts no work from it. Rest is how
// much longer, if the server asked it for rest.
type CarryClosedError struct{ Rest time.Duration }

// Error implements error.
func (e CarryClosedError) Error() string { return "server accepts no work from the peer" }

// CarryStatus is the first reply to a CarryCall.
type CarryStatus struct {
	Refusal CarryRefusal `cbor:"1,keyasint,omitempty"`
	// Rest is how much longer the server wants no request from this daemon, for CarryServerClosed.
	Rest time.Duration `cbor:"2,keyasint,omitempty"`
}

// err returns the error of a refusal; nil if there is none.
func (s CarryStatus) err() error {
	switch s.Refusal {
	case CarryAccepted:
		return nil
	case CarryUnreachable:
		return ErrCarryUnreachable
	case CarryServerClosed:
		return CarryClosedError{Rest: s.Rest}
	case CarryPathLost:
		return ErrCarryPathLost
	}
	return ErrCarryDeclined
}

// carryChunk holds bytes of a carried connection, in either direction. An empty one is a heartbeat.
type carryChunk struct {
	Bytes []byte `cbor:"1,keyasint,omitempty"`
	// End: the server closed the connection; Aborted: it broke instead.
	End     bool `cbor:"2,keyasint,omitempty"`
	Aborted bool `cbor:"3,keyasint,omitempty"`
	// Begins: a request begins with the bytes. Refused: none of the last request's bytes was passed on, as the server
	// accepts no work from the carrying daemon.
	Begins  bool `cbor:"4,keyasint,omitempty"`
	Refused bool `cbor:"5,keyasint,omitempty"`
}

// carryLinger is how long after the server closed a carried connection bytes may arrive that the caller sent before it
// knew.
const carryLinger = 20 * time.Millisecond

// receiveCarry carries a connection until either side closes it. It connects to the server itself
// and never through another peer, so that no connection goes in circles.
func receiveCarry(srv any, _ context.Context, in1, in2 any) (drpc.Message, error) { //nolint:revive // drpc.Receiver fixes the order
	call, stream := in1.(*CarryCall), in2.(drpc.Stream)
	out := &sender{stream: stream}
	server, status := srv.(RelayHandler).Connect(stream.Context(), *call)
	if status.Refusal != CarryAccepted {
		return nil, out.send(&status)
	}
	defer srv.(RelayHandler).Disconnected(*call)
	conn := reply.NewConn(server)
	conn.Linger = carryLinger
	defer func() { _ = conn.Close() }()
	if err := out.send(&status); err != nil {
		return nil, err
	}
	// awaiting: the server has sent nothing since the caller did.
	var awaiting atomic.Bool
	stop := out.startHeartbeatsWhile(&carryChunk{}, awaiting.Load)
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return carryAnswers(conn, out, &awaiting) })
	err := carryRequests(stream, conn, &awaiting, func() bool {
		return srv.(RelayHandler).MayCarry(*call) || out.send(&carryChunk{End: true, Refused: true}) != nil
	})
	_ = conn.Close()
	_ = g.Wait()
	return nil, err
}

// carryRequests passes what the caller sends to the server, until the caller closes the stream or mayBegin refuses a
// request.
func carryRequests(stream drpc.Stream, conn net.Conn, awaiting *atomic.Bool, mayBegin func() bool) error {
	for {
		var chunk carryChunk
		if err := stream.MsgRecv(&chunk, wire); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if chunk.Begins && !mayBegin() {
			return nil
		}
		awaiting.Store(true)
		if _, err := conn.Write(chunk.Bytes); err != nil {
			// The caller learns of it by the end of the answers.
			_ = conn.Close()
		}
	}
}

// carryAnswers passes what the server sends to the caller, until the server closes the connection.
func carryAnswers(conn net.Conn, out *sender, awaiting *atomic.Bool) error {
	buf := make([]byte, partSize)
	for {
		n, err := conn.Read(buf)
		awaiting.Store(false)
		chunk := carryChunk{Bytes: buf[:n], End: err != nil, Aborted: err != nil && !errors.Is(err, io.EOF)}
		if sendErr := out.send(&chunk); sendErr != nil || err != nil {
			return sendErr
		}
	}
}

// CarriedConn is a connection to a backend server that a peer carries.
type CarriedConn struct {
	stream *stream
	cancel context.CancelFunc
	server carriedAddr
	// awaiting: the server has sent nothing since the last write. The peer sends heartbeats until it
	// does.
	awaiting atomic.Bool
	// begins: the next write begins a request. refused: the peer passed nothing of the last request on.
	begins, refused atomic.Bool

	// readMu guards rest, the bytes received and not yet read, and end, the error after them.
	readMu sync.Mutex
	rest   []byte
	end    error

	closeOnce sync.Once
	onClose   func(*CarriedConn)
}

var _ net.Conn = (*CarriedConn)(nil)

// carriedAddr is the address of the server of a carried connection.
type carriedAddr string

// Network implements net.Addr.
func (carriedAddr) Network() string { return "carried" }

// String implements net.Addr.
func (a carriedAddr) String() string { return string(a) }

// Carry opens a connection to a backend server through a peer; ctx bounds the set-up only. If there
// is an error, nothing was sent to the server. onClose is called once the connection is closed.
func (c *Client) Carry(ctx context.Context, to shed.VM, call CarryCall, onClose func(*CarriedConn)) (*CarriedConn, error) {
	call.From = c.cfg.Self
	connCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	s, err := c.startCall(connCtx, to, rpcCarry, &call)
	if err != nil {
		cancel()
		return nil, err
	}
	err = s.awaitConnected()
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		s.close()
		cancel()
		return nil, fmt.Errorf("carry by peer %s: %w", to, err)
	}
	return &CarriedConn{stream: s, cancel: cancel, server: carriedAddr(call.Addr), onClose: onClose}, nil
}

// awaitConnected waits until the peer is connected to the server.
func (s *stream) awaitConnected() error {
	var status CarryStatus
	if err := s.recv(&status); err != nil {
		return err
	}
	s.idleTimer.Stop()
	return status.err()
}

// Carrier returns the peer that carries the connection.
func (c *CarriedConn) Carrier() shed.VM { return c.stream.key.to }

// Read implements net.Conn.
func (c *CarriedConn) Read(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for len(c.rest) == 0 {
		if c.end != nil {
			return 0, c.end
		}
		c.receive()
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// receive waits for the next bytes or the end. The caller holds readMu.
func (c *CarriedConn) receive() {
	var chunk carryChunk
	if err := c.stream.recv(&chunk); err != nil {
		c.end = err
		return
	}
	c.rest = chunk.Bytes
	if len(chunk.Bytes) > 0 || chunk.End {
		c.awaiting.Store(false)
	}
	if !c.awaiting.Load() {
		// No more heartbeats are due.
		c.stream.idleTimer.Stop()
	}
	switch {
	case chunk.Refused:
		c.refused.Store(true)
		c.end = CarryClosedError{}
	case chunk.Aborted:
		c.end = fmt.Errorf("carried by peer %s: %w", c.Carrier(), syscall.ECONNRESET)
	case chunk.End:
		c.end = io.EOF
	}
}

// BeginRequest implements shed.RequestConn.
func (c *CarriedConn) BeginRequest() { c.begins.Store(true) }

// Refused reports whether the peer passed nothing of the last request on, since it knows that the server accepts no
// work.
func (c *CarriedConn) Refused() bool { return c.refused.Load() }

// Write implements net.Conn.
func (c *CarriedConn) Write(b []byte) (int, error) {
	for sent := 0; sent < len(b); {
		n := min(partSize, len(b)-sent)
		c.awaiting.Store(true)
		c.stream.idleTimer.Reset(heartbeatTimeout)
		if err := c.stream.send(&carryChunk{Bytes: b[sent : sent+n], Begins: c.begins.Swap(false)}); err != nil {
			return sent, err
		}
		sent += n
	}
	return len(b), nil
}

// Close implements net.Conn. The peer closes its connection to the server.
func (c *CarriedConn) Close() error {
	c.closeOnce.Do(func() {
		if c.awaiting.Load() {
			// A peer that gives no sign must not hold up the cancellation.
			c.cancel()
		}
		c.stream.close()
		c.cancel()
		if c.onClose != nil {
			c.onClose(c)
		}
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *CarriedConn) LocalAddr() net.Addr { return carriedAddr(c.Carrier()) }

// RemoteAddr implements net.Conn.
func (c *CarriedConn) RemoteAddr() net.Addr { return c.server }

// SetDeadline implements net.Conn; deadlines are not supported.
func (c *CarriedConn) SetDeadline(time.Time) error { return errors.ErrUnsupported }

// SetReadDeadline implements net.Conn; deadlines are not supported.
func (c *CarriedConn) SetReadDeadline(time.Time) error { return errors.ErrUnsupported }

// SetWriteDeadline implements net.Conn; deadlines are not supported.
func (c *CarriedConn) SetWriteDeadline(time.Time) error { return errors.ErrUnsupported }
