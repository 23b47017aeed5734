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

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	// dialTimeout bounds connecting to a peer; peers are milliseconds away.
	dialTimeout = 500 * time.Millisecond
	// controlTimeout bounds one control message.
	controlTimeout = time.Second
	// linkSilence is the longest time without any message on a stream before
	// its connection is taken for dead: five heartbeats.
	linkSilence = 5 * beatEvery
	// idleFor is how long an unused connection is kept.
	idleFor = 10 * time.Second
	// idlePerPeer and idleInAll bound the unused connections.
	idlePerPeer = 64
	idleInAll   = 4096
	// controlsAtOnce bounds control messages under way; further ones are lost,
	// which every receiver bears.
	controlsAtOnce = 256
)

// ErrHeartbeatTimeout is the cause when a connection gave no heartbeat in time.
var ErrHeartbeatTimeout = errors.New("peer connection is silent")

// ClientConfig is what a Client needs.
type ClientConfig struct {
	// Self is sent along with every call.
	Self shed.Peer
	// TLS gives the mutual TLS of a new connection, which may have been
	// renewed since the last; nil for plain TCP.
	TLS func() *tls.Config
	// Dial connects; nil takes a plain TCP dialer. Tests cut links here.
	Dial func(ctx context.Context, to shed.VM) (net.Conn, error)
	// OnPeerLost is told of a peer whose connection went silent or can't be made;
	// may be nil. It does not block.
	OnPeerLost func(to shed.VM)
}

// line is what idle connections are kept by. A silent connection raises the
// age, so that no other connection of that time is used again: whatever lost
// track of one has likely lost track of them all.
type line struct {
	to  shed.VM
	age uint64
}

// Client calls peers.
type Client struct {
	cfg      ClientConfig
	pool     *drpcpool.Pool[line, drpcpool.Conn]
	controls errgroup.Group

	// received counts the bytes that came on connections made here.
	received atomic.Int64

	mu   sync.Mutex
	ages map[shed.VM]uint64
}

// BytesReceived is how many bytes have come on the connections that this client made.
func (c *Client) BytesReceived() int64 { return c.received.Load() }

// counted is a connection whose incoming bytes are counted.
type counted struct {
	net.Conn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// NewClient makes a Client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	c := &Client{
		cfg:  cfg,
		ages: make(map[shed.VM]uint64),
		pool: drpcpool.New[line, drpcpool.Conn](drpcpool.Options{
			Expiration: idleFor, Capacity: idleInAll, KeyCapacity: idlePerPeer,
		}),
	}
	c.controls.SetLimit(controlsAtOnce)
	return c
}

// Close drops the idle connections and waits for control messages under way.
func (c *Client) Close() error {
	_ = c.controls.Wait()
	return c.pool.Close()
}

func dialTCP(ctx context.Context, to shed.VM) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", string(to))
}

func (c *Client) line(to shed.VM) line {
	c.mu.Lock()
	defer c.mu.Unlock()
	return line{to: to, age: c.ages[to]}
}

// silent gives up all idle connections to the peer.
func (c *Client) silent(l line) {
	c.mu.Lock()
	if c.ages[l.to] == l.age {
		c.ages[l.to]++
	}
	c.mu.Unlock()
	c.lost(l.to)
}

func (c *Client) lost(to shed.VM) {
	if c.cfg.OnPeerLost != nil {
		c.cfg.OnPeerLost(to)
	}
}

func (c *Client) dial(ctx context.Context, l line) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.cfg.Dial(ctx, l.to)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", l.to, err)
	}
	raw = counted{Conn: raw, received: &c.received}
	if c.cfg.TLS != nil {
		secure := tls.Client(raw, c.cfg.TLS())
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, fmt.Errorf("dial peer %s: %w", l.to, err)
		}
		raw = secure
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// conn gives a connection to the peer. A fresh one is made for this call only:
// an idle one may have died unseen, and then a call that must not be repeated
// would end as unknown for nothing.
func (c *Client) conn(ctx context.Context, l line, fresh bool) (drpc.Conn, func(), error) {
	if !fresh {
		return c.pool.Get(ctx, l, c.dial), func() {}, nil
	}
	conn, err := c.dial(ctx, l)
	if err != nil {
		return nil, nil, err
	}
	return conn, func() { _ = conn.Close() }, nil
}

// Send sends a control message. It does not block; the message may be lost.
func (c *Client) Send(to shed.VM, msg shed.Message) { c.SendAll([]shed.VM{to}, msg) }

// SendAll sends a control message to several peers, as Send does. It is encoded once,
// and later: the caller doesn't change what it refers to.
func (c *Client) SendAll(to []shed.VM, msg shed.Message) {
	encode := sync.OnceValues(func() (encoded, error) {
		e, err := seal(c.cfg.Self, msg)
		if err != nil {
			return nil, err
		}
		return wire.Marshal(&e)
	})
	for _, vm := range to {
		c.controls.TryGo(func() error {
			if e, err := encode(); err == nil {
				c.control(vm, e)
			}
			return nil
		})
	}
}

// control makes the call of one control message.
func (c *Client) control(to shed.VM, e encoded) {
	l := c.line(to)
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	err := c.pool.Get(ctx, l, c.dial).Invoke(ctx, rpcControl, wire, &e, &received{})
	if errors.Is(err, context.DeadlineExceeded) {
		c.silent(l)
	}
}

// Stage hands a stage call over and passes its frames to sink. A silent link
// ends it as broken; so does an error of sink.
func (c *Client) Stage(ctx context.Context, to shed.VM, call StageCall, fresh bool, sink func(shed.Frame) error) shed.CallEnded {
	call.From = c.cfg.Self
	end := shed.CallEnded{Call: call.Request.Call}
	s, err := c.open(ctx, to, rpcStage, fresh)
	if err != nil {
		end.End, end.Reason = shed.EndNotStarted, shed.ReasonBroken
		return end
	}
	defer s.close()
	if err := s.sendInParts(&call); err != nil {
		return s.broken(end, err)
	}
	for {
		var reply stageReply
		if err := s.recv(&reply); err != nil {
			return s.broken(end, err)
		}
		if reply.End != nil {
			// The call's identity is ours, whatever the far side says.
			reply.End.Call = call.Request.Call
			return *reply.End
		}
		if reply.Frame == nil {
			continue
		}
		if err := sink(*reply.Frame); err != nil {
			return s.broken(end, err)
		}
	}
}

// broken ends a call whose bytes may have arrived.
func (s *stream) broken(end shed.CallEnded, err error) shed.CallEnded {
	end.End, end.Reason = shed.EndBroken, shed.ReasonBroken
	switch {
	case s.wasSilent():
		end.Reason = shed.ReasonSilent
	case s.parent.Err() != nil:
		end.End, end.Reason = shed.EndCancelled, shed.ReasonCallerGone
	case errors.Is(err, ErrBadMessage):
		end.End, end.Reason = shed.EndBadReply, shed.ReasonBadReply
	}
	return end
}

// Request hands a request over to its home. sent tells whether the home may
// have got it; if it is false, nothing was run. home is false if another
// incarnation answered.
func (c *Client) Request(ctx context.Context, call RequestCall, update func(shed.Update)) (answer shed.Answer, home, sent bool, err error) {
	call.From = c.cfg.Self
	s, err := c.open(ctx, call.To.VM, rpcRequest, true)
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
