package engine

import (
	"io"
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blackhole takes every byte.
type blackhole struct{ net.Conn }

func (blackhole) Write(b []byte) (int, error) { return io.Discard.Write(b) }

// The caller is told not_run. net/http gave up while its writing goroutine had
// not run yet; when it runs, it must find that it may not write any more.
func TestNothingLeavesAfterNotStarted(t *testing.T) {
	c := &conn{Conn: blackhole{}, wrote: true}
	s := &sending{}
	s.gotConn(httptrace.GotConnInfo{Conn: c})
	require.False(t, s.mayHaveLeft())
	_, err := c.Write([]byte("POST"))
	require.ErrorIs(t, err, errSealed)
}

// A call of a plain service would run twice: net/http takes a second
// connection for a request that it has sent already. Nothing leaves on it.
func TestSecondSendingIsSealed(t *testing.T) {
	first := &conn{Conn: blackhole{}}
	second := &conn{Conn: blackhole{}}
	s := &sending{until: time.Now().Add(time.Hour)}
	s.gotConn(httptrace.GotConnInfo{Conn: first})
	_, err := first.Write([]byte("POST"))
	require.NoError(t, err)
	s.gotConn(httptrace.GotConnInfo{Conn: second})
	_, err = second.Write([]byte("POST"))
	require.ErrorIs(t, err, errSealed)
	require.True(t, s.mayHaveLeft())
}

// A connection that can't be asked counts as one on which bytes have left.
func TestUnknownConnectionMayHaveSent(t *testing.T) {
	s := &sending{}
	s.gotConn(httptrace.GotConnInfo{Conn: blackhole{}})
	require.True(t, s.mayHaveLeft())
}
