package peers

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	shed "jasmineshed"

	"storj.io/drpc"
)

// stream is one streaming call to a peer, watched for silence.
type stream struct {
	drpc.Stream
	client *Client
	line   line
	// parent is the caller's context; the stream's own also ends on silence.
	parent context.Context
	cancel context.CancelFunc
	done   func()
	timer  *time.Timer
	silent atomic.Bool
}

func (c *Client) open(ctx context.Context, to shed.VM, rpc string, fresh bool) (*stream, error) {
	l := c.line(to)
	own, cancel := context.WithCancel(ctx)
	conn, done, err := c.conn(own, l, fresh)
	if err != nil {
		cancel()
		c.lost(to)
		return nil, err
	}
	inner, err := conn.NewStream(own, rpc, wire)
	if err != nil {
		done()
		cancel()
		c.lost(to)
		return nil, fmt.Errorf("call peer %s: %w", to, err)
	}
	s := &stream{Stream: inner, client: c, line: l, parent: ctx, cancel: cancel, done: done}
	s.timer = time.AfterFunc(linkSilence, s.onSilence)
	return s, nil
}

// onSilence ends the stream. Cancelling its context closes the connection, so
// nothing uses it again.
func (s *stream) onSilence() {
	s.silent.Store(true)
	s.client.silent(s.line)
	s.cancel()
}

func (s *stream) wasSilent() bool { return s.silent.Load() }

func (s *stream) send(msg drpc.Message) error {
	if err := s.MsgSend(msg, wire); err != nil {
		return fmt.Errorf("send to peer %s: %w", s.line.to, err)
	}
	return nil
}

// sendInParts sends a call that may be large. It counts as silent when no part leaves
// for a while, not when it takes long; the far side sends heartbeats from the first
// part on, while it reads the others.
func (s *stream) sendInParts(msg drpc.Message) error {
	return sendParts(msg, func(p *part) error {
		err := s.send(p)
		if err == nil {
			s.timer.Reset(linkSilence)
		}
		return err
	})
}

func (s *stream) recv(msg drpc.Message) error {
	if err := s.MsgRecv(msg, wire); err != nil {
		if s.wasSilent() {
			err = ErrHeartbeatTimeout
		}
		return fmt.Errorf("receive from peer %s: %w", s.line.to, err)
	}
	s.timer.Reset(linkSilence)
	return nil
}

func (s *stream) close() {
	s.timer.Stop()
	_ = s.Close()
	s.cancel()
	s.done()
}
