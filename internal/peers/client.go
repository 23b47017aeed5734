package peers

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/frame"
	"jasmineshed/internal/httpd"
	"jasmineshed/internal/strain"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	// dialTimeout bounds connecting to a peer; the round trip to a peer takes milliseconds.
	dialTimeout = 500 * time.Millisecond
	// sendTimeout is how long sent bytes may stay unacknowledged on a connection to a peer. A call
	// ends sooner, by its heartbeats; this closes the connections of calls that send none.
	sendTimeout = 5 * time.Second
	// controlTimeout bounds one control message.
	controlTimeout = time.Second
	// heartbeatTimeout is the longest time without any message on a stream before its connection
	// counts as dead: five heartbeats.
	heartbeatTimeout = 5 * heartbeatInterval
	// maxIdleTime is how long an unused connection is kept.
	maxIdleTime = 10 * time.Second
	// maxIdlePerPeer and maxIdleTotal bound the number of unused connections.
	maxIdlePerPeer = 64
	maxIdleTotal   = 4096
	// maxConcurrentControls bounds the control messages in flight. Further ones are dropped,
	// which every receiver tolerates.
	maxConcurrentControls = 256
	// maxConcurrentUrgent bounds those of them that can't wait for a later message, which have room of their own.
	maxConcurrentUrgent = 1024
)

// ErrHeartbeatTimeout is returned when no heartbeat was received on a connection in time.
var ErrHeartbeatTimeout = errors.New("peer connection is silent")

// ClientConfig configures a Client.
type ClientConfig struct {
	// Self is sent with every call.
	Self shed.Peer
	// TLS returns the mutual TLS configuration for a new connection, whose certificates may have
	// been renewed since the last one; nil for plain TCP.
	TLS func() *tls.Config
	// Dial connects; nil uses a plain TCP dialer. Tests inject link failures here.
	Dial func(ctx context.Context, to shed.VM) (net.Conn, error)
	// OnHeard is called for a peer that sent a message on a stream; may be nil. It must not block.
	OnHeard func(from shed.VM)
	// OnAnswered is called with the time that a peer took to acknowledge a control message; may be nil. It must not
	// block.
	OnAnswered func(from shed.VM, took time.Duration)
	// Extend extends a time limit for peers by how late this VM itself is; nil leaves it.
	Extend func(limit time.Duration) time.Duration
	// OnDropped is called for a control message that was dropped because too many are in flight; may be nil. It
	// must not block.
	OnDropped func()
	// OnPeerLost is called for a peer whose connection timed out or can't be established; may be nil.
	// It must not block.
	OnPeerLost func(to shed.VM)
}

// connKey is the pool key of idle connections. A connection that times out increments the
// peer's generation, so that no other connection of that generation is reused: a middlebox or
// host that has lost the state of one has likely lost the state of all.
type connKey struct {
	to         shed.VM
	generation uint64
}

// Client calls peers.
type Client struct {
	cfg      ClientConfig
	pool     *drpcpool.Pool[connKey, drpcpool.Conn]
	controls errgroup.Group
	// urgent are the control messages in flight that change which servers get work.
	urgent errgroup.Group

	// bytesReceived counts the bytes received on connections that this client opened.
	bytesReceived atomic.Int64

	mu          sync.Mutex
	generations map[shed.VM]uint64
}

// BytesReceived returns how many bytes were received on the connections that this client opened.
func (c *Client) BytesReceived() int64 { return c.bytesReceived.Load() }

// countingConn counts the bytes received on a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	if cfg.Extend == nil {
		cfg.Extend = func(limit time.Duration) time.Duration { return limit }
	}
	c := &Client{
		cfg:         cfg,
		generations: make(map[shed.VM]uint64),
		pool: drpcpool.New[connKey, drpcpool.Conn](drpcpool.Options{
			Expiration: maxIdleTime, Capacity: maxIdleTotal, KeyCapacity: maxIdlePerPeer,
		}),
	}
	c.controls.SetLimit(maxConcurrentControls)
	c.urgent.SetLimit(maxConcurrentUrgent)
	return c
}

// Close waits for control messages in flight and closes the idle connections.
func (c *Client) Close() error {
	_ = c.controls.Wait()
	_ = c.urgent.Wait()
	return c.pool.Close()
}

func dialTCP(ctx context.Context, to shed.VM) (net.Conn, error) {
	return httpd.Dialer(dialTimeout+strain.MaxAllowance, sendTimeout).DialContext(ctx, "tcp", string(to))
}

func (c *Client) connKey(to shed.VM) connKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	return connKey{to: to, generation: c.generations[to]}
}

// dropIdleConns stops the reuse of all idle connections to the peer and reports it as lost.
func (c *Client) dropIdleConns(l connKey) {
	c.mu.Lock()
	if c.generations[l.to] == l.generation {
		c.generations[l.to]++
	}
	c.mu.Unlock()
	c.notifyLost(l.to)
}

func (c *Client) notifyLost(to shed.VM) {
	if c.cfg.OnPeerLost != nil {
		c.cfg.OnPeerLost(to)
	}
}

func (c *Client) dial(ctx context.Context, l connKey) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Extend(dialTimeout))
	defer cancel()
	raw, err := c.cfg.Dial(ctx, l.to)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", l.to, err)
	}
	raw = countingConn{Conn: raw, bytes: &c.bytesReceived}
	if c.cfg.TLS != nil {
		tlsConn := tls.Client(raw, c.cfg.TLS())
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, fmt.Errorf("dial peer %s: %w", l.to, err)
		}
		raw = tlsConn
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// conn returns a connection to the peer and a function that releases it. A fresh one is opened
// for this call only: a pooled one may have died unnoticed, and then a call that must not be
// retried would needlessly end with an unknown outcome.
func (c *Client) conn(ctx context.Context, l connKey, fresh bool) (drpc.Conn, func(), error) {
	if !fresh {
		return c.pool.Get(ctx, l, c.dial), func() {}, nil
	}
	conn, err := c.dial(ctx, l)
	if err != nil {
		return nil, nil, err
	}
	return conn, func() { _ = conn.Close() }, nil
}

// Send sends a control message without blocking; the message may be lost.
func (c *Client) Send(to shed.VM, msg shed.Message) { c.SendAll([]shed.VM{to}, msg) }

// SendAll sends a control message to several peers, as Send does. It is encoded once and
// asynchronously, so the caller must not modify what the message refers to.
func (c *Client) SendAll(to []shed.VM, msg shed.Message) {
	encode := sync.OnceValues(func() (encoded, error) {
		e, err := newEnvelope(c.cfg.Self, msg)
		if err != nil {
			return nil, err
		}
		return wire.Marshal(&e)
	})
	group := &c.controls
	if isUrgent(msg) {
		group = &c.urgent
	}
	for _, vm := range to {
		sending := group.TryGo(func() error {
			if e, err := encode(); err == nil {
				c.sendControl(vm, e)
			}
			return nil
		})
		if !sending && c.cfg.OnDropped != nil {
			c.cfg.OnDropped()
		}
	}
}

// isUrgent reports whether a message changes which servers get work.
func isUrgent(msg shed.Message) bool {
	switch msg.(type) {
	case shed.StoreUpdate, shed.UrgentUpdate, shed.LeavingUpdate:
		return true
	}
	return false
}

// sendControl performs the call of one control message.
func (c *Client) sendControl(to shed.VM, e encoded) {
	l := c.connKey(to)
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Extend(controlTimeout))
	defer cancel()
	began := time.Now()
	err := c.pool.Get(ctx, l, c.dial).Invoke(ctx, rpcControl, wire, &e, &ack{})
	if err == nil && c.cfg.OnAnswered != nil {
		c.cfg.OnAnswered(to, time.Since(began))
	}
	if errors.Is(err, context.DeadlineExceeded) {
		c.dropIdleConns(l)
	}
}

// Stage forwards a stage call to a peer and passes its frames to sink. A heartbeat timeout ends
// it as broken, or is reported to sink if the call has ReportSilence. An error of sink ends it as
// broken, too. Calls of sink never overlap.
func (c *Client) Stage(ctx context.Context, to shed.VM, call StageCall, fresh bool, sink func(shed.Frame) error) shed.CallEnded {
	call.From = c.cfg.Self
	end := shed.CallEnded{Call: call.Request.Call}
	s, err := c.openStream(ctx, to, rpcStage, fresh)
	if err != nil {
		end.End, end.Reason = shed.EndNotStarted, shed.ReasonBroken
		return end
	}
	frames := frame.NewSink(sink)
	defer frames.Close()
	defer s.close()
	if call.Request.ReportSilence {
		s.setOnSilent(func(silent time.Duration) {
			// An error means that the call ends: it was replaced, or its last message arrived.
			_ = frames.Pass(shed.Frame{Call: end.Call, Silent: silent, LinkSilent: true})
		})
	}
	if err := s.sendInParts(&call); err != nil {
		return s.brokenEnd(end, err)
	}
	for {
		var reply stageReply
		if err := s.recv(&reply); err != nil {
			return s.brokenEnd(end, err)
		}
		if reply.End != nil {
			// The remote side is not trusted with the call's identity.
			reply.End.Call = call.Request.Call
			return *reply.End
		}
		if reply.Frame == nil {
			continue
		}
		if err := frames.Pass(*reply.Frame); err != nil {
			return s.brokenEnd(end, err)
		}
	}
}

// brokenEnd returns the end of a call that failed after its bytes may have arrived.
func (s *stream) brokenEnd(end shed.CallEnded, err error) shed.CallEnded {
	end.End, end.Reason = shed.EndBroken, shed.ReasonBroken
	switch {
	case s.hasTimedOut(), errors.Is(context.Cause(s.parent), shed.ErrReplaced):
		end.Reason = shed.ReasonSilent
	case s.parent.Err() != nil:
		end.End, end.Reason = shed.EndCancelled, shed.ReasonCallerGone
	case errors.Is(err, ErrBadMessage):
		end.End, end.Reason = shed.EndBadReply, shed.ReasonBadReply
	}
	return end
}

// Request forwards a request to its home. sent reports whether the home may have received it; if
// it is false, nothing was run. home is false if another incarnation answered.
func (c *Client) Request(ctx context.Context, call RequestCall, update func(shed.Update)) (answer shed.Answer, home, sent bool, err error) {
	call.From = c.cfg.Self
	s, err := c.openStream(ctx, call.To.VM, rpcRequest, true)
	if err != nil {
		return shed.Answer{}, false, false, err
	}
	defer s.close()
	if err := s.sendInParts(&call); err != nil {
		return shed.Answer{}, false, true, err
	}
	for {
		var reply requestReply
		if err := s.recv(&reply); err != nil {
			return shed.Answer{}, false, true, err
		}
		switch {
		case reply.NotHome:
			return shed.Answer{}, false, true, nil
		case reply.Answer != nil:
			return *reply.Answer, true, true, nil
		case reply.Update != nil && update != nil:
			update(*reply.Update)
		}
	}
}
