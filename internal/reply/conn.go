package reply

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// sentTimeout bounds how long the end of an early answer waits until the server has the rest of its request.
	sentTimeout = time.Second
	// sentPoll is the time between two looks at what the server has.
	sentPoll = time.Millisecond
)

// errUnread is the error of a connection whose server closed it before it had the whole request.
var errUnread = fmt.Errorf("%w: the server didn't read the whole request", syscall.ECONNRESET)

// Conn is a connection to a server whose end of file means that the server had the whole request and closed it in order.
// Otherwise the end may be a reset: the kernel reports one once, and if a write gets it, reads return io.EOF; and a
// server that closes the connection first resets it when more of the request arrives.
type Conn struct {
	net.Conn
	// Linger is how long after the end of file a write may come that shows that the request isn't complete. It is for
	// connections on which nobody calls BeginRequest.
	Linger time.Duration

	mu sync.Mutex
	// changed is closed and replaced when one of the fields below changes after the end of file.
	changed chan struct{}
	// writing: a write is in progress. unsent: a request has begun and isn't written to its end.
	writing, unsent, closed bool
	// ended: a read has returned io.EOF, or is about to.
	ended bool
	// failed is the error of a write.
	failed error
}

// NewConn returns a Conn over c. It is not used by more than one writer and one reader at a time.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, changed: make(chan struct{})} }

// Tracked returns the connection itself; connections that embed it are found by this method.
func (c *Conn) Tracked() *Conn { return c }

// update changes the fields and wakes the reader, which waits at the end of file only.
func (c *Conn) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	if c.ended {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// BeginRequest records that a request is about to be written.
func (c *Conn) BeginRequest() { c.update(func() { c.unsent = true }) }

// EndRequest records that the request was written to its end, or failed.
func (c *Conn) EndRequest(err error) {
	c.update(func() {
		c.unsent = false
		if c.failed == nil {
			c.failed = err
		}
	})
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.update(func() {
		c.writing = true
		if c.ended && c.Linger > 0 {
			c.failed = errUnread
		}
	})
	n, err := c.Conn.Write(b)
	c.update(func() {
		c.writing = false
		if c.failed == nil {
			c.failed = err
		}
	})
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.update(func() { c.closed = true })
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, io.EOF) {
		err = c.endOfFile()
	}
	return n, err
}

// endOfFile returns io.EOF if the server closed the connection after it had the whole request, and an error if it may
// have reset it.
func (c *Conn) endOfFile() error {
	c.update(func() { c.ended = true })
	began := time.Now()
	for {
		c.mu.Lock()
		failed, closed, busy, changed := c.failed, c.closed, c.writing || c.unsent, c.changed
		c.mu.Unlock()
		elapsed := time.Since(began)
		wait := sentTimeout - elapsed
		switch {
		case failed != nil:
			return fmt.Errorf("%w: writing the request: %w", syscall.ECONNRESET, failed)
		case closed:
			return net.ErrClosed
		case busy && wait <= 0:
			return errUnread
		case busy:
		case c.Linger > elapsed:
			wait = c.Linger - elapsed
		default:
			unread, err := queued(c.Conn)
			if err != nil || unread && wait <= 0 {
				return errors.Join(errUnread, err)
			}
			if !unread {
				return io.EOF
			}
			wait = sentPoll
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
