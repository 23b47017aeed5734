package daemon

import (
	"context"
	"time"

	shed "jasmineshed"
)

// handle passes one event to the core and performs the resulting actions.
func (d *Daemon) handle(ev shed.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.cfg.Core.Handle(time.Now(), ev))
}

// perform starts each action without blocking. The caller holds d.mu.
func (d *Daemon) perform(acts []shed.Action) {
	for _, act := range acts {
		switch a := act.(type) {
		case shed.StartCall:
			d.startCall(a)
		case shed.ForwardStage:
			d.forwardStage(a)
		case shed.ForwardRequest:
			d.forwardRequest(a)
		case shed.CancelCall:
			d.cancelCall(a)
		case shed.RefuseStage:
			d.refuseStage(a)
		case shed.StageDone:
			d.stageDone(a)
		case shed.Finish:
			d.finish(a)
		default:
			d.performGlobal(act)
		}
	}
}

// performGlobal starts an action that belongs to no request.
func (d *Daemon) performGlobal(act shed.Action) {
	switch a := act.(type) {
	case shed.SendPeer:
		d.cfg.Peers.Send(a.To, a.Message)
	case shed.ReadConfig:
		d.background(func(ctx context.Context) { d.readConfig(ctx, a) })
	case shed.ReadVMs:
		d.background(d.readVMs)
	case shed.PollServer:
		d.background(func(ctx context.Context) { d.pollServer(ctx, a) })
	case shed.SendOrder:
		d.background(func(ctx context.Context) { d.sendOrder(ctx, a) })
	case shed.RulesInForce:
		d.rules.Store(a.Rules)
		d.cfg.Log.WithField("revision", a.Rules.Revision).Info("rules in force")
	case shed.SetReady:
		d.ready.Store(a.Ready)
		d.cfg.Log.WithField("ready", a.Ready).Info("readiness")
	case shed.Note:
		d.recordNote(a)
	case shed.Exit:
		d.exitOnce.Do(func() { close(d.exit) })
	}
}

// background runs f in a goroutine of the daemon's group.
func (d *Daemon) background(f func(ctx context.Context)) {
	d.work.Go(func() error {
		f(d.base)
		return nil
	})
}

const (
	// readTimeout bounds a read from the platform, on top of its own wait.
	readTimeout = 2 * time.Second
	// pollTimeout bounds the read of one load report.
	pollTimeout = time.Second
	// orderTimeout bounds an order, which may have to load a model.
	orderTimeout = time.Minute
)

func (d *Daemon) readConfig(ctx context.Context, a shed.ReadConfig) {
	ctx, cancel := context.WithTimeout(ctx, a.Wait+readTimeout)
	defer cancel()
	got, err := d.cfg.Platform.Config(ctx, a)
	if err != nil {
		d.cfg.Log.WithError(err).WithField("parts", len(got.Parts)).Debug("reading the configuration failed")
		// Received parts are kept: otherwise a large configuration would never be
		// complete.
		got.Failed = len(got.Parts) == 0
	}
	d.handle(got)
}

func (d *Daemon) readVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	vms, err := d.cfg.Platform.VMs(ctx)
	if err != nil {
		d.cfg.Log.WithError(err).Debug("reading the VM list failed")
	}
	d.handle(shed.VMsRead{Failed: err != nil, VMs: vms})
}

func (d *Daemon) pollServer(ctx context.Context, a shed.PollServer) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := d.cfg.Backend.Load(ctx, a.URL)
	if err != nil {
		d.handle(shed.ServerSilent{Server: a.Server})
		return
	}
	d.handle(shed.LoadReported{Server: a.Server, Report: report})
}

func (d *Daemon) sendOrder(ctx context.Context, a shed.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	end, err := d.cfg.Backend.Order(ctx, a)
	if err != nil {
		d.cfg.Log.WithError(err).WithField("server", a.Server).Warn("order to engine failed")
		end = shed.OrderEnded{}
	}
	end.Server, end.Fence = a.Server, a.Fence
	d.handle(end)
}
