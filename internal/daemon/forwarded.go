package daemon

import (
	"context"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/peers"

	"go.opentelemetry.io/otel/propagation"
)

var _ peers.Handler = (*Daemon)(nil)

// forwardedCall is a stage call that a peer forwarded to this daemon.
type forwardedCall struct {
	// ctx ends with the peer's stream.
	ctx     context.Context
	payload shed.Payload
	send    func(shed.Frame) error

	once   sync.Once
	ended  chan struct{}
	result shed.CallEnded
}

func (g *forwardedCall) finish(e shed.CallEnded) {
	g.once.Do(func() {
		g.result = e
		close(g.ended)
	})
}

// Stage implements peers.Handler.
func (d *Daemon) Stage(ctx context.Context, in peers.StageCall, send func(shed.Frame) error) shed.CallEnded {
	ctx = propagator.Extract(ctx, propagation.MapCarrier(in.Trace))
	g := &forwardedCall{ctx: ctx, payload: in.Payload, send: send, ended: make(chan struct{})}
	id := in.Request.Call
	if !d.acceptForwarded(id, g, shed.StageRequested{Request: in.Request, From: in.From}) {
		// This attempt is already known: a duplicated message must not run twice.
		return shed.CallEnded{Call: id, End: shed.EndNotStarted, Reason: shed.ReasonDuplicate}
	}
	// The call's own context is derived from ctx, so the loss of the peer cancels it.
	<-g.ended
	d.mu.Lock()
	delete(d.forwarded, id)
	d.mu.Unlock()
	return g.result
}

// acceptForwarded registers a forwarded call and reports it to the core. It
// returns false if the call is already known.
func (d *Daemon) acceptForwarded(id shed.Call, g *forwardedCall, ev shed.StageRequested) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.forwarded[id] != nil || d.calls[id] != nil {
		return false
	}
	d.forwarded[id] = g
	d.perform(d.cfg.Core.Handle(time.Now(), ev))
	return true
}

// refuseStage ends a forwarded call that was not run. The caller holds d.mu.
func (d *Daemon) refuseStage(a shed.RefuseStage) {
	g := d.forwarded[a.Call]
	if g == nil {
		return
	}
	g.finish(shed.CallEnded{Call: a.Call, End: shed.EndNotStarted, Reason: a.Reason, RetryAfter: a.RetryAfter})
}

// Control implements peers.Handler.
func (d *Daemon) Control(from shed.Peer, msg shed.Message) {
	d.handle(shed.PeerMessage{From: from, Message: msg})
}

// PeerLost reports to the core that the connection to a peer timed out or can't
// be established. It does not block.
func (d *Daemon) PeerLost(to shed.VM) {
	d.background(func(context.Context) { d.handle(shed.PeerLost{Peer: to}) })
}
