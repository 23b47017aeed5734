package relay

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
	"jasmineshed/internal/engine"
	"jasmineshed/internal/peers"
	"jasmineshed/internal/reach"
	"jasmineshed/internal/reply"

	"github.com/sirupsen/logrus"
)

// unreachableRetry is when the caller of a VM that can't serve anybody may come back: another VM may
// serve it at once.
const unreachableRetry = time.Second

// errPathLost is the cause of a request cancelled because the path to its server is lost.
var errPathLost = errors.New("path to the server is lost")

// paths is the relay's state about its paths to servers. It is guarded by Relay.mu.
type paths struct {
	table *reach.Table
	// flights are the requests in flight over direct connections.
	flights map[*flight]struct{}
	// ends are the times at which servers' connections ended, of servers with one within endsKept.
	ends map[shed.ServerStart][]time.Time
	// heardFrom is when each server last sent something over a direct connection; silent are those,
	// with their pools, that have sent nothing to anybody's request for its patience, as of the last tick.
	heardFrom map[reach.Addr]time.Time
	silent    map[reach.Addr]shed.PoolID
	// heardPool is when any server of a pool last sent something over a direct connection, if that was
	// within vmSilence; quiet are the servers, with their pools, that have requests and sent nothing for
	// vmSilence, as of the last tick.
	heardPool map[shed.PoolID]time.Time
	quiet     map[reach.Addr]shed.PoolID
	// addrs are the addresses of the listed servers, sorted, as of the roster's version addrsVersion.
	addrs        []reach.Addr
	addrsVersion uint64
	// isolated: all paths were lost at the last check.
	isolated bool
	carriers carriers
}

func newPaths() paths {
	return paths{
		table: reach.New(), flights: map[*flight]struct{}{}, ends: map[shed.ServerStart][]time.Time{}, carriers: newCarriers(),
		heardFrom: map[reach.Addr]time.Time{}, silent: map[reach.Addr]shed.PoolID{},
		heardPool: map[shed.PoolID]time.Time{}, quiet: map[reach.Addr]shed.PoolID{},
	}
}

// transmit sends a request to its server, directly or carried by a peer. If sent is false, no byte
// of it was sent.
func (r *Relay) transmit(e *exchange, req *http.Request) (resp *http.Response, sent bool, err error) {
	addr := e.addr()
	r.mu.Lock()
	path := r.paths.table.Path(time.Now(), addr, e.once)
	r.mu.Unlock()
	if path == reach.Carried {
		resp, sent, err = r.transmitCarried(e, req)
		if !errors.Is(err, errNoCarrier) || r.isPathLost(addr) {
			return resp, sent, err
		}
	}
	resp, sent, err = r.transmitDirectly(e, req)
	if path != reach.Direct || !errors.Is(err, engine.ErrNotConnected) || req.Context().Err() != nil || r.isServerDark(err) {
		return resp, sent, err
	}
	carriedResp, carriedSent, carriedErr := r.transmitCarried(e, req)
	if errors.Is(carriedErr, errNoCarrier) {
		r.recordUnreached(addr)
		return nil, false, err
	}
	r.comparePaths(addr, reach.Closed, levelOf(carriedSent, carriedErr))
	if !carriedSent && carriedErr != nil {
		return nil, false, err
	}
	return carriedResp, carriedSent, carriedErr
}

// isPathLost reports whether the path to a server is lost.
func (r *Relay) isPathLost(addr reach.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paths.table.IsLost(addr)
}

// isServerDark reports whether a connection attempt timed out while other servers are heard from. Most
// likely that server is down, and a peer would wait in vain too; a probe finds out.
func (r *Relay) isServerDark(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return timedOut(err) && r.paths.table.Silence(time.Now()) < vmSilence
}

// levelOf returns how far an exchange got.
func levelOf(sent bool, err error) reach.Level {
	switch {
	case err == nil:
		return reach.Answered
	case !sent || closedByServer(err):
		return reach.Closed
	}
	return reach.Connected
}

// transmitCarried has a peer carry the request; errNoCarrier if none does.
func (r *Relay) transmitCarried(e *exchange, req *http.Request) (*http.Response, bool, error) {
	var conn atomic.Pointer[peers.CarriedConn]
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := engine.Unwrap(info.Conn).(*peers.CarriedConn); ok && conn.CompareAndSwap(nil, c) {
			e.carrier = c.Carrier()
		}
	}})
	resp, sent, err := r.carriedSender.Do(req.WithContext(ctx), e.once, r.gate(e))
	if c := conn.Load(); err != nil && c != nil && c.Refused() {
		r.recordCarryRefusal(e)
		return nil, false, errServerClosed
	}
	if err == nil {
		r.stats.carriedRequests.Inc(1)
		r.mu.Lock()
		r.paths.table.AnsweredCarried(time.Now())
		r.mu.Unlock()
	}
	return resp, sent, err
}

// transmitDirectly sends the request over a direct connection and follows it until its answer ends.
func (r *Relay) transmitDirectly(e *exchange, req *http.Request) (*http.Response, bool, error) {
	e.carrier = ""
	var fresh atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		fresh.Store(!info.Reused)
	}})
	ctx, cancel := context.WithCancelCause(ctx)
	f := &flight{exchange: e, cancel: cancel, begunAt: time.Now()}
	r.beginFlight(f)
	resp, sent, err := r.sender.Do(req.WithContext(ctx), e.once, r.gate(e))
	if err != nil {
		r.endFlight(f)
		r.recordDirectFailure(f, sent, err)
		err = cancelCause(ctx, err)
		cancel(nil)
		return nil, sent, err
	}
	f.heard()
	if fresh.Load() {
		r.recordDirectAnswer(e.addr())
	}
	resp.Body = &flightBody{ReadCloser: resp.Body, relay: r, flight: f, ctx: ctx, endsWithConnection: reply.EndsWithConnection(resp)}
	return resp, sent, nil
}

func (r *Relay) recordDirectAnswer(addr reach.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths.table.AnsweredDirectly(time.Now(), addr)
	r.checkIsolation()
}

// recordDirectFailure records a failure that may be due to the path.
func (r *Relay) recordDirectFailure(f *flight, sent bool, err error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case sent && f.silence(now)-r.allowance() >= f.patience:
		r.paths.table.Suspect(now, f.addr(), r.paths.table.Silence(now)-r.allowance() >= vmSilence)
	case errors.Is(err, context.Canceled), wasNotAdmitted(err), sent && !closedByServer(err):
	default:
		r.paths.table.Failed(now, f.addr())
	}
}

// isPathFailure reports whether a request failed because of the path to its server, so that the
// failure says nothing of the server.
func (r *Relay) isPathFailure(e *exchange, err error) bool {
	if errors.Is(err, errPathLost) {
		return true
	}
	return e.carrier == "" && !errors.Is(err, peers.ErrCarryUnreachable) && r.isPathLost(e.addr())
}

// recordUnreached records that this VM can't connect to a server and no peer can be asked.
func (r *Relay) recordUnreached(addr reach.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths.table.Unreached(time.Now(), addr, len(r.serverAddrs()))
	r.checkIsolation()
}

// rejectUnreachable refuses a request if neither this VM nor a peer that can carry it reaches any
// server.
func (r *Relay) rejectUnreachable(ctx context.Context, j *job) *refusal {
	now := time.Now()
	r.mu.Lock()
	hopeless := r.paths.table.Hopeless(now) || r.paths.isolated && len(r.carrierCandidates(now)) == 0
	r.mu.Unlock()
	if !hopeless {
		return nil
	}
	return r.refuseUnreachable(ctx, j, unreachableRetry)
}

// comparePaths records how far this VM and a peer got with the same server.
func (r *Relay) comparePaths(addr reach.Addr, direct, carried reach.Level) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.paths.table.IsLost(addr)
	r.paths.table.Compared(time.Now(), addr, direct, carried, len(r.serverAddrs()))
	if lost := r.paths.table.IsLost(addr); lost != was {
		r.stats.stateChanges.Inc(1)
		r.log.WithFields(logrus.Fields{"addr": addr, "lost": lost, "direct": direct, "carried": carried}).Info("path to a server")
	}
	r.checkIsolation()
}

// serverAddrs returns the addresses of the listed servers, sorted. The caller holds mu.
func (r *Relay) serverAddrs() []reach.Addr {
	if v := r.roster.Version(); v != r.paths.addrsVersion || r.paths.addrs == nil {
		r.paths.addrs, r.paths.addrsVersion = []reach.Addr{}, v
		for _, addr := range r.roster.OpenAddrs() {
			r.paths.addrs = append(r.paths.addrs, reach.Addr(addr))
		}
		slices.Sort(r.paths.addrs)
		gone := func(a reach.Addr) bool { return r.roster.OpenServerAt(string(a)) == nil }
		r.paths.table.Retain(func(a reach.Addr) bool { return !gone(a) })
		maps.DeleteFunc(r.paths.heardFrom, func(a reach.Addr, _ time.Time) bool { return gone(a) })
	}
	return r.paths.addrs
}

// checkIsolation acts on the loss or return of all paths. The caller holds mu.
func (r *Relay) checkIsolation() {
	isolated := r.paths.table.Isolated()
	if isolated == r.paths.isolated {
		return
	}
	r.paths.isolated = isolated
	r.mesh.owners = nil
	r.stats.stateChanges.Inc(1)
	lost := len(r.paths.table.Lost())
	if !isolated {
		r.stats.isolated.Update(0)
		r.log.WithField("lost", lost).Info("path to backend servers is back")
		r.work.Go(func() error {
			r.carriedSender.Close()
			return nil
		})
		return
	}
	r.stats.isolated.Update(1)
	r.log.WithField("lost", lost).Warn("no path to any backend server; peers carry requests")
	// What failed until now was the path, not the servers.
	r.picker.ForgetFailures()
	if owners := r.eligibleOwners(time.Now()); !slices.Contains(owners, r.mesh.self.VM) {
		r.performBatch(r.batcher.Handle(time.Now(), batch.Stopped{}))
	}
}

// logCarrier adds the peer that carried a request to its log line, if one did.
func logCarrier(fields logrus.Fields, carrier shed.VM) {
	if carrier != "" {
		fields["carrier"] = carrier
	}
}
