package peers_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	shed "jasmineshed"
	"jasmineshed/internal/peers"
)

// newCarrier starts a peer that carries connections, and returns its address and a function that
// ends it.
func newCarrier(t *testing.T) (shed.VM, func()) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := peers.NewServer(peers.ServerConfig{Listener: lis, Relay: &relayStub{}})
	ctx, stop := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return srv.Serve(ctx) })
	end := func() {
		stop()
		_ = g.Wait()
	}
	t.Cleanup(end)
	return shed.VM(lis.Addr().String()), end
}

// startServer starts a server that handles one connection, and returns its address.
func startServer(t *testing.T, handle func(net.Conn)) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var g errgroup.Group
	g.Go(func() error {
		c, err := lis.Accept()
		if err == nil {
			handle(c)
			_ = c.Close()
		}
		return nil
	})
	t.Cleanup(func() {
		_ = lis.Close()
		_ = g.Wait()
	})
	return lis.Addr().String()
}

func carry(t *testing.T, carrier shed.VM, addr string) *peers.CarriedConn {
	return carryTo(t, carrier, peers.CarryCall{Addr: addr})
}

func carryTo(t *testing.T, carrier shed.VM, call peers.CarryCall) *peers.CarriedConn {
	client := peers.NewClient(peers.ClientConfig{})
	t.Cleanup(func() { _ = client.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	c, err := client.Carry(ctx, carrier, call, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against carried connections that lose bytes, or that end while they are unused or while the
// server takes long to answer.
func TestCarriedConnection(t *testing.T) {
	large := strings.Repeat("0123456789", 20000)
	addr := startServer(t, func(c net.Conn) {
		buf := make([]byte, len(large))
		_, _ = io.ReadFull(c, buf)
		time.Sleep(1300 * time.Millisecond)
		_, _ = c.Write(buf)
		_, _ = io.ReadFull(c, buf[:4])
		_, _ = c.Write([]byte("bye"))
	})
	carrier, _ := newCarrier(t)
	c := carry(t, carrier, addr)
	_, err := c.Write([]byte(large))
	require.NoError(t, err)
	got := make([]byte, len(large))
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, large, string(got))
	time.Sleep(1300 * time.Millisecond)
	_, err = c.Write([]byte("more"))
	require.NoError(t, err)
	rest, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "bye", string(rest))
}

// Guards against a reset that looks like the regular end of an answer.
func TestCarriedConnectionIsReset(t *testing.T) {
	addr := startServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4))
		_, _ = c.Write([]byte("part"))
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	carrier, _ := newCarrier(t)
	c := carry(t, carrier, addr)
	_, err := c.Write([]byte("go"))
	require.NoError(t, err)
	_, err = io.ReadAll(c)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a server that works on for a caller who has left.
func TestCarriedConnectionIsClosed(t *testing.T) {
	ended := make(chan time.Time, 1)
	addr := startServer(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		ended <- time.Now()
	})
	carrier, _ := newCarrier(t)
	c := carry(t, carrier, addr)
	_, err := c.Write([]byte("request"))
	require.NoError(t, err)
	closedAt := time.Now()
	require.NoError(t, c.Close())
	require.Less(t, (<-ended).Sub(closedAt), 300*time.Millisecond)
}

// Guards against requests that hang when the peer that carries them dies.
func TestCarryingPeerDies(t *testing.T) {
	release := make(chan struct{})
	addr := startServer(t, func(net.Conn) { <-release })
	carrier, end := newCarrier(t)
	c := carry(t, carrier, addr)
	_, err := c.Write([]byte("request"))
	require.NoError(t, err)
	began := time.Now()
	time.AfterFunc(50*time.Millisecond, end)
	_, err = io.ReadAll(c)
	require.Error(t, err)
	require.Less(t, time.Since(began), 1500*time.Millisecond)
	close(release)
}

// Guards against a server that nobody reaches being taken for a peer that carries nothing.
func TestPeerReachesNoServer(t *testing.T) {
	carrier, _ := newCarrier(t)
	client := peers.NewClient(peers.ClientConfig{})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := lis.Addr().String()
	require.NoError(t, lis.Close())
	_, err = client.Carry(t.Context(), carrier, peers.CarryCall{Addr: addr}, nil)
	require.ErrorIs(t, err, peers.ErrCarryUnreachable)
	_, err = client.Carry(t.Context(), shed.VM(addr), peers.CarryCall{Addr: addr}, nil)
	require.Error(t, err)
	require.False(t, errors.Is(err, peers.ErrCarryUnreachable))
	require.NoError(t, client.Close())
}

// Guards against a request that a carrier passes on to a server which it knows to leave, and against one that it
// breaks off in its middle.
func TestCarrierRefusesARequestBeforeItBegins(t *testing.T) {
	received := make(chan string, 1)
	addr := startServer(t, func(c net.Conn) {
		got, _ := io.ReadAll(c)
		received <- string(got)
	})
	carrier, _ := newCarrier(t)
	c := carryTo(t, carrier, peers.CarryCall{Addr: addr, Start: shed.ServerStart{Server: "closed"}})
	_, err := c.Write([]byte("rest of a body, "))
	require.NoError(t, err)
	c.BeginRequest()
	_, err = c.Write([]byte("request"))
	require.NoError(t, err)
	_, err = io.ReadAll(c)
	require.ErrorAs(t, err, &peers.CarryClosedError{})
	require.True(t, c.Refused())
	require.Equal(t, "rest of a body, ", <-received)
}
