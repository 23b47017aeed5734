package peers

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	shed "jasmineshed"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Listener accepts peers only, never callers or operators.
	Listener net.Listener
	Handler  Handler
	// Relay, if set, handles the calls of relaying daemons in place of Handler.
	Relay RelayHandler
	// TLS is the mutual TLS configuration for peers; nil for plain TCP.
	TLS *tls.Config
	// Log receives errors of single connections; may be nil.
	Log func(error)
}

// Server answers the calls of peers. It is a suture service.
type Server struct {
	cfg ServerConfig
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

// String returns the service's name in the supervisor's log.
func (s *Server) String() string { return "peers" }

// Serve handles calls until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	mux := drpcmux.New()
	if err := s.register(mux); err != nil {
		return fmt.Errorf("register peer calls: %w", err)
	}
	lis := s.cfg.Listener
	if s.cfg.TLS != nil {
		lis = tls.NewListener(lis, s.cfg.TLS)
	}
	srv := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: managerOptions(),
		Log:     s.cfg.Log,
	})
	return srv.Serve(ctx, lis)
}

func (s *Server) register(mux *drpcmux.Mux) error {
	if s.cfg.Relay != nil {
		return mux.Register(s.cfg.Relay, relayDescription{})
	}
	return mux.Register(s.cfg.Handler, description{})
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
	}
}

// description lists the calls for drpc's mux, in place of generated code.
type description struct{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 3 }

// Method implements drpc.Description. The function values only give the mux the signature of
// each call.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return rpcControl, wire, receiveControl, (func(controlHandler, context.Context, *envelope) (*ack, error))(nil), true
	case 1:
		return rpcStage, wire, receiveStage, (func(Handler, *part, drpc.Stream) error)(nil), true
	case 2:
		return rpcRequest, wire, receiveRequest, (func(Handler, *part, drpc.Stream) error)(nil), true
	}
	return "", nil, nil, nil, false
}

func receiveControl(srv any, _ context.Context, in1, _ any) (drpc.Message, error) { //nolint:revive // drpc.Receiver fixes the order
	e := in1.(*envelope)
	msg, err := e.unwrap()
	if err != nil {
		return nil, err
	}
	srv.(controlHandler).Control(e.From, msg)
	return &ack{}, nil
}

func receiveStage(srv any, _ context.Context, in1, in2 any) (drpc.Message, error) { //nolint:revive // drpc.Receiver fixes the order
	stream := in2.(drpc.Stream)
	out := &sender{stream: stream}
	stop := out.startHeartbeats(&stageReply{})
	defer stop()
	var call StageCall
	if err := readCall(in1, stream, &call); err != nil {
		return nil, err
	}
	end := srv.(Handler).Stage(stream.Context(), call, func(f shed.Frame) error {
		return out.send(&stageReply{Frame: &f})
	})
	return nil, out.send(&stageReply{End: &end})
}

func receiveRequest(srv any, _ context.Context, in1, in2 any) (drpc.Message, error) { //nolint:revive // drpc.Receiver fixes the order
	stream := in2.(drpc.Stream)
	out := &sender{stream: stream}
	stop := out.startHeartbeats(&requestReply{})
	defer stop()
	var call RequestCall
	if err := readCall(in1, stream, &call); err != nil {
		return nil, err
	}
	answer, home := srv.(Handler).Request(stream.Context(), call, func(u shed.Update) {
		// A failed send ends the stream's context.
		_ = out.send(&requestReply{Update: &u})
	})
	if !home {
		return nil, out.send(&requestReply{NotHome: true})
	}
	return nil, out.send(&requestReply{Answer: &answer})
}

// readCall reads a call that is sent in parts, of which in1 is the first.
func readCall(in1 any, stream drpc.Stream, into drpc.Message) error {
	return readParts(*in1.(*part), func(p *part) error { return stream.MsgRecv(p, wire) }, into)
}

// sender serializes the messages and heartbeats of one stream.
type sender struct {
	mu       sync.Mutex
	stream   drpc.Stream
	lastSent time.Time
	stopped  bool
}

func (s *sender) send(msg drpc.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSent = time.Now()
	return s.stream.MsgSend(msg, wire)
}

// startHeartbeats sends msg at once, so that the caller knows that the link works, and then
// whenever nothing else was sent for heartbeatInterval. Without heartbeats, a connection whose
// state a middlebox has lost can't be told from a slow stage. stop ends the heartbeats.
func (s *sender) startHeartbeats(msg drpc.Message) (stop func()) {
	_ = s.send(msg)
	return s.startHeartbeatsWhile(msg, func() bool { return true })
}

// startHeartbeatsWhile sends msg, while due returns true, whenever nothing else was sent for
// heartbeatInterval. due must not block.
func (s *sender) startHeartbeatsWhile(msg drpc.Message, due func() bool) (stop func()) {
	var timer *time.Timer
	s.mu.Lock()
	timer = time.AfterFunc(heartbeatInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.stopped {
			return
		}
		if time.Since(s.lastSent) >= heartbeatInterval && due() {
			s.lastSent = time.Now()
			_ = s.stream.MsgSend(msg, wire)
		}
		timer.Reset(heartbeatInterval)
	})
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		s.stopped = true
		s.mu.Unlock()
		timer.Stop()
	}
}
