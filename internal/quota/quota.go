// Package quota accounts for what callers make a process hold: connections, and the bytes of their requests' bodies and
// of the answers that they have not read yet. It decides what is taken in, and what is given up for it when there is no
// more room. It opens no sockets.
//
// Load pattern: callers that the operator doesn't control open many connections, begin large bodies and stop just short
// of their end, or ask for large answers and never read them. Each stays inside the limits of one request, and all
// together take more memory or descriptors than the VM has. What waits for a caller that makes no progress is given up
// first; what waits for this system or its servers never is. See docs/design/quota.md.
package quota

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// StallTime is how long a caller may make no progress before what it holds may be given up, if there is no room.
	StallTime = time.Second
	// HeadStallTime is StallTime for a connection whose request has not begun or whose header is incomplete.
	HeadStallTime = 500 * time.Millisecond
	// SmallBody is the size up to which a body may use all the room, in bytes. Larger ones may use half of it together,
	// so that they keep out neither small requests nor answers.
	SmallBody = 64 << 10
)

// Errors of bodies and answers that are not taken in.
var (
	// ErrTooLarge: it is larger than its limit.
	ErrTooLarge = errors.New("larger than the limit")
	// ErrNoRoom: there is no room for it now.
	ErrNoRoom = errors.New("no room")
	// ErrGivenUp: it was given up for others.
	ErrGivenUp = errors.New("given up to make room")
)

// Config configures an Account.
type Config struct {
	// Bytes is the maximum number of bytes of all headers, bodies and answers.
	Bytes int64
	// Connections is the maximum number of connections.
	Connections int
}

// Account is what the callers of one process hold. Its methods are safe for concurrent use.
type Account struct {
	cfg Config

	mu sync.Mutex
	// used are the bytes of all headers, bodies and answers, large those of bodies larger than SmallBody. ending are the
	// bytes of headers and answers that were given up and are given back as soon as their handlers notice.
	used, large, ending int64
	// garbage are the bytes of large bodies that were complete and given back since garbage was last collected for them.
	garbage int64
	// open is the number of connections, most the largest that it was, conns the list of them, in no order.
	open, most int
	conns      *Conn
	// refused counts what there was no room for, givenUp what was given up for others.
	refused, givenUp int64
	// freed is closed when something is given back, if somebody waits for that; else nil.
	freed chan struct{}
}

// New returns an account of which nothing is used.
func New(cfg Config) *Account { return &Account{cfg: cfg} }

// Usage is what callers hold.
type Usage struct {
	Bytes int64
	// Connections is their number, MostConnections the largest that it was.
	Connections, MostConnections int
	// Refused counts the requests for which there was no room, GivenUp the connections and requests that were given up
	// for others.
	Refused, GivenUp int64
	// Full is set if there is no room for more connections, or hardly any for more bytes.
	Full bool
}

// fullShare is the part of the bytes from which on an account is full.
const fullShare = 0.9

// Usage returns what callers hold now.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{
		Bytes: a.used, Connections: a.open, MostConnections: a.most, Refused: a.refused, GivenUp: a.givenUp,
		Full: a.open >= a.cfg.Connections || float64(a.used) > fullShare*float64(a.cfg.Bytes),
	}
}

// phase is what a connection waits for. The set is closed.
type phase uint8

const (
	// awaitingRequest: for the caller to send a header.
	awaitingRequest phase = iota
	// receiving: for the caller to send a body.
	receiving
	// serving: for this system.
	serving
	// sending: for the caller to read an answer.
	sending
	// leaving: for its end, since what it held was given up.
	leaving
)

// Hooks end what a connection waits for. They don't block, and call no method of the Account or the Conn.
type Hooks struct {
	// StopReading ends the wait for the caller to send: the request's handler can still answer. StopWriting ends the wait
	// for the caller to read.
	StopReading, StopWriting func()
	// Close closes the connection.
	Close func()
}

// Conn is one connection of a caller, with the request on it. A nil *Conn accounts for nothing.
type Conn struct {
	account *Account
	hooks   Hooks
	// readsHead is set while what is read is a header, headRead is how many bytes of it were read.
	readsHead atomic.Bool
	headRead  atomic.Int64

	// The fields below are guarded by Account.mu.

	phase phase
	// began is when the request's body began to arrive, progress when the caller last made progress.
	began, progress time.Time
	// unread is set while a part of the request's body may not have been read.
	unread bool
	// body are the bytes of the request's body, blocks its memory; both are part of what the account has in use.
	body   int64
	blocks [][]byte
	// kept are the bytes of the request's header and of answers, which its handler gives back, head those of the header.
	kept, head int64
	prev, next *Conn
	closed     bool
}

// Open records a connection if there is room for it. If there is none, it closes the one that has stalled longest, or
// returns a channel that is closed once something was given back.
func (a *Account) Open(now time.Time, hooks Hooks) (c *Conn, freed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open >= a.cfg.Connections {
		v := a.stalledConn(now)
		if v == nil {
			return nil, a.awaitFreed()
		}
		a.givenUp++
		a.remove(v)
		v.hooks.Close()
	}
	c = &Conn{account: a, hooks: hooks, progress: now, next: a.conns}
	c.readsHead.Store(true)
	if c.next != nil {
		c.next.prev = c
	}
	a.conns = c
	a.open++
	a.most = max(a.most, a.open)
	return c, nil
}

// awaitFreed returns a channel that is closed when something is given back. The caller holds mu.
func (a *Account) awaitFreed() <-chan struct{} {
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return a.freed
}

// notify wakes those who wait for room. The caller holds mu.
func (a *Account) notify() {
	if a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// Close records that the connection has ended.
func (c *Conn) Close() {
	if c == nil {
		return
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(c)
	a.giveBack(c, c.head)
	c.head = 0
	a.notify()
}

// remove removes the connection from the account; its answers are given back by its handler. The caller holds mu.
func (a *Account) remove(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		a.conns = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	}
	a.open--
	a.end(c)
}

// end gives the body back, and records that the answers will be. The caller holds mu.
func (a *Account) end(c *Conn) {
	a.freeBody(c)
	if c.phase != leaving {
		c.phase = leaving
		a.ending += c.kept
	}
}

// AwaitRequest records that the connection waits for a request, or that the first byte of one has arrived.
func (c *Conn) AwaitRequest(now time.Time) { _ = c.enter(now, awaitingRequest) }

// Send records that the connection's request waits for the caller to read its answer, and that the caller has read some
// of it. The error is ErrGivenUp.
func (c *Conn) Send(now time.Time) error { return c.enter(now, sending) }

func (c *Conn) enter(now time.Time, p phase) error {
	if c == nil {
		return nil
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.phase == leaving {
		return ErrGivenUp
	}
	c.phase, c.progress = p, now
	c.readsHead.Store(p == awaitingRequest)
	return nil
}

// stalledFor returns for how long the connection has waited for its caller beyond what it may while there is no room;
// below 0 if it may wait on.
func (c *Conn) stalledFor(now time.Time) time.Duration {
	switch c.phase {
	case awaitingRequest:
		return now.Sub(c.progress) - HeadStallTime
	case receiving, sending, leaving:
		return now.Sub(c.progress) - StallTime
	default:
		return -1
	}
}

// stalledConn returns the connection that has stalled longest; nil if there is none. The caller holds mu.
func (a *Account) stalledConn(now time.Time) *Conn {
	var worst *Conn
	longest := time.Duration(-1)
	for c := a.conns; c != nil; c = c.next {
		if d := c.stalledFor(now); d > longest {
			worst, longest = c, d
		}
	}
	return worst
}

// giveUp gives up what the connection holds, and ends its wait. The caller holds mu.
func (a *Account) giveUp(now time.Time, c *Conn) {
	stop := c.hooks.Close
	switch c.phase {
	case receiving:
		stop = c.hooks.StopReading
	case sending:
		stop = c.hooks.StopWriting
	}
	a.end(c)
	a.givenUp++
	c.progress = now
	stop()
}

// GiveUpStalled gives up all connections whose callers have made no progress for StallTime.
func (a *Account) GiveUpStalled(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := a.conns; c != nil; c = c.next {
		if c.phase != serving && c.phase != leaving && now.Sub(c.progress) >= StallTime {
			a.giveUp(now, c)
		}
	}
}

// freeBody gives back the connection's body. The caller holds mu.
func (a *Account) freeBody(c *Conn) {
	if c.phase == receiving && len(c.blocks) > 1 {
		// The last one is being filled.
		recycle(c.blocks[:len(c.blocks)-1])
	}
	a.used -= c.body
	if c.body > SmallBody {
		a.large -= c.body
	}
	c.body, c.blocks = 0, nil
}
