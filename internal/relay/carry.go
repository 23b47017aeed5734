package relay

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/reach"

	"github.com/sirupsen/logrus"
)

const (
	// maxCarriers is how many peers are asked to carry one connection.
	maxCarriers = 3
	// unreachedTime is how long a peer that couldn't connect to a server isn't asked to again.
	unreachedTime = time.Second
	// maxReportedLost bounds the servers without a path in a load report.
	maxReportedLost = 32
	// carrierBackoff is how long a peer that declined or gave no answer isn't asked again.
	carrierBackoff = time.Second
	// carryTimeout bounds opening a connection that a peer carries: the peer itself may wait for the
	// timeout of its own attempt.
	carryTimeout = 500 * time.Millisecond
	// maxCarried bounds the connections that this VM carries for peers.
	maxCarried = 1024
)

// errNoCarrier: no peer carries connections now.
var errNoCarrier = errors.New("no peer carries the connection")

// carriers is the relay's state about carried connections. It is guarded by Relay.mu.
type carriers struct {
	// isolated are the peers that reported that they reach no server.
	isolated map[shed.VM]bool
	// backoffUntil is until when a peer isn't asked.
	backoffUntil map[shed.VM]time.Time
	// unreachedUntil is until when a peer is not asked to connect to a server.
	unreachedUntil map[peerServer]time.Time
	// open are the connections that each peer carries for this VM.
	open map[shed.VM]map[*peers.CarriedConn]struct{}
	// forPeers counts the connections that this VM carries, by server and peer.
	forPeers map[shed.ServerStart]map[shed.VM]int
}

// total is the number of connections that this VM carries.
func (c *carriers) total() int {
	n := 0
	for _, byVM := range c.forPeers {
		for _, conns := range byVM {
			n += conns
		}
	}
	return n
}

// peerServer is a pair of a peer and a server.
type peerServer struct {
	vm   shed.VM
	addr reach.Addr
}

func newCarriers() carriers {
	return carriers{
		isolated: map[shed.VM]bool{}, backoffUntil: map[shed.VM]time.Time{}, unreachedUntil: map[peerServer]time.Time{},
		open: map[shed.VM]map[*peers.CarriedConn]struct{}{}, forPeers: map[shed.ServerStart]map[shed.VM]int{},
	}
}

// dialCarried opens a connection to a server that a peer carries. The error is errNoCarrier if no
// peer could be asked, and peers.ErrCarryUnreachable if one of those that were could not connect.
func (r *Relay) dialCarried(ctx context.Context, _, addr string) (net.Conn, error) {
	ctx, cancel := r.withTimeout(ctx, carryTimeout)
	defer cancel()
	var conn net.Conn
	var closed peers.CarryClosedError
	failure := errNoCarrier
	r.askCarriers(ctx, peers.CarryCall{Addr: addr}, func(c net.Conn, err error) (done bool) {
		switch {
		case err == nil:
			conn, failure = c, nil
		case ctx.Err() != nil, errors.Is(err, peers.ErrCarryUnreachable), errors.As(err, &closed) && errors.Is(failure, errNoCarrier):
			failure = err
		}
		return err == nil
	})
	if errors.As(failure, &closed) && closed.Rest > 0 {
		// This VM's requests wait as those of the peers that would carry them do.
		r.receiveRestAt(addr, closed.Rest)
	}
	return conn, failure
}

// askCarriers has peers open a connection to a server, one after the other, until answered reports that the caller
// is done, ctx has ended, or maxCarriers were asked.
func (r *Relay) askCarriers(ctx context.Context, call peers.CarryCall, answered func(net.Conn, error) (done bool)) {
	var asked []shed.VM
	for range maxCarriers {
		vm, call, ok := r.nextCarrier(call, asked)
		if !ok || answered(r.carryBy(ctx, vm, call)) || ctx.Err() != nil {
			return
		}
		asked = append(asked, vm)
	}
}

// receiveRestAt applies a rest that the server at addr asked a peer for.
func (r *Relay) receiveRestAt(addr string, rest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.roster.OpenServerAt(addr); s != nil {
		r.receivePeerRest(time.Now(), shed.RestUpdate{Start: s.Start(), Rest: rest})
	}
}

// nextCarrier chooses the peer to carry a connection to the server at addr: the better of two that
// are drawn by their capacity.
func (r *Relay) nextCarrier(call peers.CarryCall, asked []shed.VM) (shed.VM, peers.CarryCall, bool) {
	addr := call.Addr
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.roster.OpenServerAt(addr)
	if server == nil {
		return "", peers.CarryCall{}, false
	}
	c := &r.paths.carriers
	vms := slices.DeleteFunc(r.carrierCandidates(now), func(vm shed.VM) bool {
		return slices.Contains(asked, vm) || now.Before(c.unreachedUntil[peerServer{vm, reach.Addr(addr)}])
	})
	if len(vms) == 0 {
		return "", peers.CarryCall{}, false
	}
	vm, other := r.drawByPower(vms), r.drawByPower(vms)
	if r.carriedLoad(other) < r.carriedLoad(vm) {
		vm = other
	}
	call.Start = server.Start()
	return vm, call, true
}

// carrierCandidates returns the peers that may carry connections. The caller holds mu.
func (r *Relay) carrierCandidates(now time.Time) []shed.VM {
	c := &r.paths.carriers
	return slices.DeleteFunc(r.activeVMs(now), func(vm shed.VM) bool {
		return vm == r.mesh.self.VM || c.isolated[vm] || now.Before(c.backoffUntil[vm]) || now.Before(r.mesh.backoffUntil[vm])
	})
}

// carriedLoad is the number of connections that a peer carries for this VM, by its capacity.
func (r *Relay) carriedLoad(vm shed.VM) float64 {
	return float64(len(r.paths.carriers.open[vm])) / r.powerOf(vm)
}

// powerOf returns the capacity of a VM, above 0.
func (r *Relay) powerOf(vm shed.VM) float64 {
	m, _ := r.group.Lookup(vm)
	return max(m.Power, 1)
}

// drawByPower draws a VM with a probability in proportion to its capacity.
func (r *Relay) drawByPower(vms []shed.VM) shed.VM {
	total := 0.0
	for _, vm := range vms {
		total += r.powerOf(vm)
	}
	at := rand.Float64() * total
	for _, vm := range vms {
		if at -= r.powerOf(vm); at < 0 {
			return vm
		}
	}
	return vms[len(vms)-1]
}

// carryBy opens a connection through one peer.
func (r *Relay) carryBy(ctx context.Context, vm shed.VM, call peers.CarryCall) (net.Conn, error) {
	r.mu.Lock()
	client := r.client
	r.mu.Unlock()
	conn, err := client.Carry(ctx, vm, call, r.endCarried)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.paths.carriers.recordFailure(time.Now(), peerServer{vm, reach.Addr(call.Addr)}, err)
		return nil, err
	}
	if r.paths.carriers.open[vm] == nil {
		r.paths.carriers.open[vm] = map[*peers.CarriedConn]struct{}{}
	}
	r.paths.carriers.open[vm][conn] = struct{}{}
	return conn, nil
}

// recordFailure records that a peer opened no connection to a server. What it says of this server alone doesn't
// keep it from carrying connections to others.
func (c *carriers) recordFailure(now time.Time, asked peerServer, err error) {
	var closed peers.CarryClosedError
	if errors.Is(err, peers.ErrCarryUnreachable) || errors.Is(err, peers.ErrCarryPathLost) || errors.As(err, &closed) {
		c.unreachedUntil[asked] = now.Add(unreachedTime)
		return
	}
	c.backoffUntil[asked.vm] = now.Add(carrierBackoff)
}

// recordCarryRefusal records that a peer passed a request on to no server because it knows that the server leaves.
func (r *Relay) recordCarryRefusal(e *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths.carriers.recordFailure(time.Now(), peerServer{e.carrier, e.addr()}, peers.CarryClosedError{})
}

func (r *Relay) endCarried(conn *peers.CarriedConn) {
	vm := conn.Carrier()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.paths.carriers.open[vm], conn)
	if len(r.paths.carriers.open[vm]) == 0 {
		delete(r.paths.carriers.open, vm)
	}
}

// checkCarriers closes the connections that peers carry which are no longer active: requests on
// them would wait in vain. Of those that a stopping peer carries only unused ones are closed. The
// caller holds mu.
func (r *Relay) checkCarriers(now time.Time) {
	if len(r.paths.carriers.open) == 0 {
		return
	}
	active := r.activeVMs(now)
	for vm, open := range r.paths.carriers.open {
		if slices.Contains(active, vm) {
			continue
		}
		if m, _ := r.group.Lookup(vm); m.Status == shed.StatusLeaving {
			// It ends once the requests that it carries have.
			r.work.Go(func() error {
				r.carriedSender.Close()
				return nil
			})
			continue
		}
		for c := range open {
			r.work.Go(c.Close)
		}
	}
}

// lostServers returns the servers to which this VM lost its path, for a load report. The caller holds
// mu.
func (r *Relay) lostServers() []shed.ServerID {
	if r.paths.isolated {
		return nil
	}
	var out []shed.ServerID
	for _, addr := range r.paths.table.Lost() {
		if s := r.roster.OpenServerAt(string(addr)); s != nil && len(out) < maxReportedLost {
			out = append(out, s.ID)
		}
	}
	return out
}

// receivePaths applies what a peer reported about its paths to servers. The caller holds mu.
func (r *Relay) receivePaths(now time.Time, vm shed.VM, isolated bool, lost []shed.ServerID) {
	c := &r.paths.carriers
	for _, id := range lost {
		if s, ok := r.roster.Server(id); ok {
			c.unreachedUntil[peerServer{vm, reach.Addr(s.Addr)}] = now.Add(unreachedTime)
		}
	}
	maps.DeleteFunc(c.unreachedUntil, func(_ peerServer, until time.Time) bool { return now.After(until) })
	if c.isolated[vm] == isolated {
		return
	}
	c.isolated[vm] = isolated
	r.mesh.owners = nil
	r.log.WithFields(logrus.Fields{"peer": vm, "isolated": isolated}).Info("path of a peer to backend servers")
}

// Connect implements peers.RelayHandler.
func (r *Relay) Connect(ctx context.Context, call peers.CarryCall) (net.Conn, peers.CarryStatus) {
	status := r.admitCarried(call)
	if status.Refusal != peers.CarryAccepted {
		return nil, status
	}
	dialCtx, cancel := context.WithTimeout(ctx, r.prefs.Load().Relay.Connect)
	defer cancel()
	conn, err := r.dialServer(dialCtx, "tcp", call.Addr)
	if err != nil {
		r.Disconnected(call)
		return nil, peers.CarryStatus{Refusal: peers.CarryUnreachable}
	}
	r.stats.carriedForPeers.Inc(1)
	return conn, status
}

// admitCarried decides whether this VM carries a connection, and counts it if it does.
func (r *Relay) admitCarried(call peers.CarryCall) peers.CarryStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.paths.carriers
	now := time.Now()
	server, rest := r.roster.OpenServerAt(call.Addr), r.access.RestLeft(now, call.Start)
	switch {
	case r.stopping.Load(), c.total() >= maxCarried, r.paths.table.Isolated():
		return peers.CarryStatus{Refusal: peers.CarryDeclined}
	case r.paths.table.IsLost(reach.Addr(call.Addr)):
		return peers.CarryStatus{Refusal: peers.CarryPathLost}
	case server == nil || server.Start() != call.Start || rest > 0 && !call.Probe:
		return peers.CarryStatus{Refusal: peers.CarryServerClosed, Rest: rest}
	}
	if c.forPeers[call.Start] == nil {
		c.forPeers[call.Start] = map[shed.VM]int{}
	}
	c.forPeers[call.Start][call.From.VM]++
	return peers.CarryStatus{}
}

// MayCarry implements peers.RelayHandler. The server may have begun to leave since the connection was opened, and the
// peer that sends the request may not know.
func (r *Relay) MayCarry(call peers.CarryCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.IsOpen(call.Start)
}

// Disconnected implements peers.RelayHandler.
func (r *Relay) Disconnected(call peers.CarryCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.paths.carriers
	byVM := c.forPeers[call.Start]
	if byVM[call.From.VM]--; byVM[call.From.VM] == 0 {
		delete(byVM, call.From.VM)
	}
	if len(byVM) == 0 {
		delete(c.forPeers, call.Start)
	}
}

// awaitCarried waits until this VM carries no connection any more, or ctx is done.
func (r *Relay) awaitCarried(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		total := r.paths.carriers.total()
		r.mu.Unlock()
		if total == 0 {
			return
		}
		sleep(ctx, stopPoll)
	}
}

// shareRest tells the VMs that share this VM's connections to a server that it asked for rest: the
// server can't distinguish a carried request from one of the VM that carries it. The caller holds
// mu.
func (r *Relay) shareRest(s shed.ServerStart, rest time.Duration, carrier shed.VM) {
	var to []shed.VM
	if carrier != "" {
		to = append(to, carrier)
	}
	for vm := range r.paths.carriers.forPeers[s] {
		to = append(to, vm)
	}
	if len(to) > 0 {
		r.client.SendAll(to, shed.RestUpdate{Start: s, Rest: rest})
	}
}

// receivePeerRest applies a rest that a server asked a VM for that shares connections with this one.
// The caller holds mu.
func (r *Relay) receivePeerRest(now time.Time, m shed.RestUpdate) {
	if m.Rest <= 0 {
		return
	}
	r.access.Rest(now, m.Start, min(m.Rest, maxPeerRest))
}

// maxPeerRest bounds a rest that a peer reports.
const maxPeerRest = time.Minute
