package engine

import (
	"io"
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// discardConn takes every byte.
type discardConn struct{ net.Conn }

func (discardConn) Write(b []byte) (int, error) { return io.Discard.Write(b) }

// The caller is told not_run. net/http gave up while its writing goroutine had
// not run yet; when it runs, it must find that it may not write any more.
func TestNothingLeavesAfterNotStarted(t *testing.T) {
	c := &conn{Conn: discardConn{}, wrote: true}
	s := &sendTracker{}
	s.gotConn(httptrace.GotConnInfo{Conn: c})
	require.False(t, s.mayHaveSent())
	_, err := c.Write([]byte("POST"))
	require.ErrorIs(t, err, errWritesBlocked)
}

// A call of a plain service would run twice: net/http takes a second
// connection for a request that it has sent already. Nothing leaves on it.
func TestSecondSendingIsSealed(t *testing.T) {
	first := &conn{Conn: discardConn{}}
	second := &conn{Conn: discardConn{}}
	s := &sendTracker{sendBy: time.Now().Add(time.Hour)}
	s.gotConn(httptrace.GotConnInfo{Conn: first})
	_, err := first.Write([]byte("POST"))
	require.NoError(t, err)
	s.gotConn(httptrace.GotConnInfo{Conn: second})
	_, err = second.Write([]byte("POST"))
	require.ErrorIs(t, err, errWritesBlocked)
	require.True(t, s.mayHaveSent())
}

// A connection that can't be asked counts as one on which bytes have left.
func TestUnknownConnectionMayHaveSent(t *testing.T) {
	s := &sendTracker{}
	s.gotConn(httptrace.GotConnInfo{Conn: discardConn{}})
	require.True(t, s.mayHaveSent())
}
