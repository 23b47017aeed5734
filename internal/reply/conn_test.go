package reply_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"jasmineshed/internal/reply"
)

// endedConn is at its end. Its writes return writeErr once release is closed.
type endedConn struct {
	net.Conn
	release  chan struct{}
	writeErr error
}

func (c endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c endedConn) Close() error { return nil }

func (c endedConn) Write(b []byte) (int, error) {
	<-c.release
	return len(b), c.writeErr
}

// Guards against a reset that only a write has seen: the reader would take the end of file for the end of the answer.
func TestEndOfFileBesideAWrite(t *testing.T) {
	for name, c := range map[string]struct {
		writeErr error
		begins   bool
		ends     bool
		want     error
	}{
		"write fails":             {writeErr: syscall.EPIPE, want: syscall.ECONNRESET},
		"write succeeds":          {want: io.EOF},
		"request written":         {begins: true, ends: true, want: io.EOF},
		"request never written":   {begins: true, want: syscall.ECONNRESET},
		"last write of it failed": {begins: true, ends: true, writeErr: syscall.EPIPE, want: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			ended := endedConn{release: make(chan struct{}), writeErr: c.writeErr}
			conn := reply.NewConn(ended)
			if c.begins {
				conn.BeginRequest()
			}
			var g errgroup.Group
			writing := make(chan struct{})
			g.Go(func() error {
				close(writing)
				_, _ = conn.Write([]byte("x"))
				if c.ends {
					conn.EndRequest(nil)
				}
				return nil
			})
			<-writing
			time.Sleep(10 * time.Millisecond)
			g.Go(func() error {
				time.Sleep(10 * time.Millisecond)
				close(ended.release)
				return nil
			})
			_, err := conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, c.want)
			require.NoError(t, g.Wait())
		})
	}
}

// Guards against a carried connection whose end is passed on while bytes are on their way that its server won't read.
func TestWriteAfterTheEndOfACarriedConnection(t *testing.T) {
	ended := endedConn{release: make(chan struct{})}
	close(ended.release)
	conn := reply.NewConn(ended)
	conn.Linger = time.Second
	var g errgroup.Group
	g.Go(func() error {
		time.Sleep(50 * time.Millisecond)
		_, err := conn.Write([]byte("x"))
		return err
	})
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.NoError(t, g.Wait())
}

// Guards against holding up a reader whose connection is closed here.
func TestEndOfFileOfAClosedConnection(t *testing.T) {
	conn := reply.NewConn(endedConn{})
	conn.BeginRequest()
	require.NoError(t, conn.Close())
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, net.ErrClosed)
}
