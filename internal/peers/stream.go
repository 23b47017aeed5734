package peers

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	shed "jasmineshed"

	"storj.io/drpc"
)

// stream is one streaming call to a peer with a heartbeat timeout.
type stream struct {
	drpc.Stream
	client *Client
	key    connKey
	// parent is the caller's context; the stream's own also ends on a heartbeat timeout.
	parent    context.Context
	cancel    context.CancelFunc
	release   func()
	idleTimer *time.Timer
	timedOut  atomic.Bool

	mu sync.Mutex
	// onSilent, if set, is called after heartbeatTimeout without a message, and again every
	// shed.SilenceEvery while the silence lasts; the stream then goes on.
	onSilent func(silent time.Duration)
	// activeAt is when a message was last received, or a part of the call sent.
	activeAt time.Time
	closed   bool
}

func (c *Client) openStream(ctx context.Context, to shed.VM, rpc string, fresh bool) (*stream, error) {
	l := c.connKey(to)
	streamCtx, cancel := context.WithCancel(ctx)
	conn, done, err := c.conn(streamCtx, l, fresh)
	if err != nil {
		cancel()
		c.notifyLost(to)
		return nil, err
	}
	rpcStream, err := conn.NewStream(streamCtx, rpc, wire)
	if err != nil {
		done()
		cancel()
		c.notifyLost(to)
		return nil, fmt.Errorf("call peer %s: %w", to, err)
	}
	s := &stream{
		Stream: rpcStream, client: c, key: l, parent: ctx, cancel: cancel, release: done, activeAt: time.Now(),
	}
	s.idleTimer = time.AfterFunc(c.cfg.Extend(heartbeatTimeout), s.onTimeout)
	return s, nil
}

// startCall opens a stream to the peer and sends the call.
func (c *Client) startCall(ctx context.Context, to shed.VM, rpc string, call drpc.Message) (*stream, error) {
	s, err := c.openStream(ctx, to, rpc, false)
	if err != nil {
		return nil, err
	}
	if err := s.send(call); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// call makes a call to a peer that has one reply, and reads it into reply.
func (c *Client) call(ctx context.Context, to shed.VM, rpc string, call, reply drpc.Message) error {
	s, err := c.startCall(ctx, to, rpc, call)
	if err != nil {
		return err
	}
	defer s.close()
	return s.recv(reply)
}

// onTimeout ends the stream, unless silence is to be reported. Cancelling its context closes the
// connection, so that it is not reused.
func (s *stream) onTimeout() {
	s.mu.Lock()
	onSilent, silent := s.onSilent, time.Since(s.activeAt)
	s.mu.Unlock()
	if onSilent != nil {
		s.reportSilence(silent, onSilent)
		return
	}
	s.timedOut.Store(true)
	s.client.dropIdleConns(s.key)
	s.cancel()
}

func (s *stream) setOnSilent(onSilent func(silent time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onSilent = onSilent
}

func (s *stream) reportSilence(silent time.Duration, onSilent func(silent time.Duration)) {
	if silent >= heartbeatTimeout {
		s.client.dropIdleConns(s.key)
		onSilent(silent)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.idleTimer.Reset(shed.SilenceEvery)
	}
}

// markActive restarts the wait for a heartbeat.
func (s *stream) markActive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeAt = time.Now()
	s.idleTimer.Reset(s.client.cfg.Extend(heartbeatTimeout))
}

func (s *stream) hasTimedOut() bool { return s.timedOut.Load() }

func (s *stream) send(msg drpc.Message) error {
	if err := s.MsgSend(msg, wire); err != nil {
		return fmt.Errorf("send to peer %s: %w", s.key.to, err)
	}
	return nil
}

// sendInParts sends a call that may be large. It times out when no part is sent for
// heartbeatTimeout, not when the whole transfer takes long; the remote side sends heartbeats
// from the first part on, while it reads the others.
func (s *stream) sendInParts(msg drpc.Message) error {
	return sendParts(msg, func(p *part) error {
		err := s.send(p)
		if err == nil {
			s.markActive()
		}
		return err
	})
}

func (s *stream) recv(msg drpc.Message) error {
	if err := s.MsgRecv(msg, wire); err != nil {
		if s.hasTimedOut() {
			err = ErrHeartbeatTimeout
		}
		return fmt.Errorf("receive from peer %s: %w", s.key.to, err)
	}
	s.markActive()
	if s.client.cfg.OnHeard != nil {
		s.client.cfg.OnHeard(s.key.to)
	}
	return nil
}

func (s *stream) close() {
	s.mu.Lock()
	s.closed = true
	s.idleTimer.Stop()
	s.mu.Unlock()
	_ = s.Close()
	s.cancel()
	s.release()
}
