package engine

import (
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/reply"
)

// discardConn accepts every byte.
type discardConn struct{ net.Conn }

func (discardConn) Write(b []byte) (int, error) { return io.Discard.Write(b) }

// The call is reported as not run because net/http gave up before its writing goroutine ran.
// When that runs later, its write must fail; otherwise the call would run after all.
func TestNothingLeavesAfterNotStarted(t *testing.T) {
	c := &conn{Conn: reply.NewConn(discardConn{}), wrote: true}
	s := &sendTracker{}
	s.gotConn(httptrace.GotConnInfo{Conn: c})
	require.False(t, s.mayHaveSent())
	_, err := c.Write([]byte("POST"))
	require.ErrorIs(t, err, errWritesBlocked)
}

// net/http takes a second connection for a request that it has already sent. Nothing may be
// sent on it; otherwise a call of a plain service would run twice.
func TestSecondSendingIsSealed(t *testing.T) {
	first := &conn{Conn: reply.NewConn(discardConn{})}
	second := &conn{Conn: reply.NewConn(discardConn{})}
	s := &sendTracker{gate: before(time.Now().Add(time.Hour))}
	s.gotConn(httptrace.GotConnInfo{Conn: first})
	_, err := first.Write([]byte("POST"))
	require.NoError(t, err)
	s.gotConn(httptrace.GotConnInfo{Conn: second})
	_, err = second.Write([]byte("POST"))
	require.ErrorIs(t, err, errWritesBlocked)
	require.True(t, s.mayHaveSent())
}

// A connection of unknown type counts as one on which bytes have been sent.
func TestUnknownConnectionMayHaveSent(t *testing.T) {
	s := &sendTracker{}
	s.gotConn(httptrace.GotConnInfo{Conn: discardConn{}})
	require.True(t, s.mayHaveSent())
}

// Guards against a paused call that is reported as broken: net/http returned the error of the
// connection that it closed after the blocked write.
func TestTooLateIsTheCauseWhateverNetHTTPReturns(t *testing.T) {
	c := &conn{Conn: reply.NewConn(discardConn{}), wrote: true}
	s := &sendTracker{gate: before(time.Now().Add(-time.Second))}
	s.gotConn(httptrace.GotConnInfo{Conn: c})
	_, err := c.Write([]byte("POST"))
	require.ErrorIs(t, err, ErrTooLate)
	require.ErrorIs(t, s.sendError(net.ErrClosed), ErrTooLate)
	require.ErrorIs(t, s.sendError(net.ErrClosed), net.ErrClosed)
	c.assign(nil)
	require.NotErrorIs(t, s.sendError(net.ErrClosed), ErrTooLate)
}

// Guards against a request that is sent although its server has begun to leave while the connection was set up.
func TestGateIsAskedRightBeforeTheFirstByte(t *testing.T) {
	closed := errors.New("server leaves")
	open := true
	c := &conn{Conn: reply.NewConn(discardConn{}), wrote: true}
	s := &sendTracker{gate: func() error {
		if open {
			return nil
		}
		return closed
	}}
	s.gotConn(httptrace.GotConnInfo{Conn: c})
	open = false
	_, err := c.Write([]byte("POST"))
	require.ErrorIs(t, err, closed)
	require.False(t, s.mayHaveSent())
	require.ErrorIs(t, s.sendError(net.ErrClosed), closed)
}
