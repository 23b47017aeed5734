package relay

import (
	"context"
	"errors"
	"io"
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

	"github.com/sirupsen/logrus"
)

const (
	// probeTimeout bounds a probe of a server, which answers at once.
	probeTimeout = 200 * time.Millisecond
	// vmSilence is how long no server may have sent this VM anything until a request without an
	// answer throws doubt on the path. While others send, it takes twice the request's patience.
	vmSilence = 300 * time.Millisecond
	// unreachableRetry is when the caller of a VM that can't serve anybody may come back: another VM may
	// serve it at once.
	unreachableRetry = time.Second
	// plainPatience and streamPatience are how long an answer and a stream's next event may take
	// without doubt on the path; for an answer to pieces it is piecesPatience of the call's limit.
	plainPatience  = 400 * time.Millisecond
	streamPatience = time.Second
	piecesPatience = 0.33
)

// errServerSilent is the cause of a request cancelled because its server sends nothing at all, while
// another one may still answer in time.
var errServerSilent = errors.New("server is silent")

// errPathLost is the cause of a request cancelled because the path to its server is lost.
var errPathLost = errors.New("path to the server is lost")

// flight is a request in flight over a direct connection.
type flight struct {
	addr reach.Addr
	// patience is how long the server may send nothing without doubt on the path.
	patience time.Duration
	// repeatable: the request may be cancelled and sent again. movable: that is also worth it while
	// the server is only silent.
	repeatable, movable bool
	pool                shed.PoolID
	cancel              context.CancelCauseFunc
	begunAt             time.Time
	// heardAfter is how long after begunAt the server last sent something, in nanoseconds; 0 if it
	// has sent nothing.
	heardAfter atomic.Int64
}

// heard records that the server sent something.
func (f *flight) heard() { f.heardAfter.Store(max(int64(time.Since(f.begunAt)), 1)) }

// heardAt returns when the server last sent something; zero if it has sent nothing.
func (f *flight) heardAt() time.Time {
	if after := f.heardAfter.Load(); after > 0 {
		return f.begunAt.Add(time.Duration(after))
	}
	return time.Time{}
}

// silence returns how long the server has sent nothing.
func (f *flight) silence(now time.Time) time.Duration {
	return now.Sub(shed.Later(f.begunAt, f.heardAt()))
}

// paths is the relay's state about its paths to servers. It is guarded by Relay.mu.
type paths struct {
	table *reach.Table
	// flights are the requests in flight over direct connections.
	flights map[*flight]struct{}
	// heardAt is when any server last sent something over a direct connection, as of the last check.
	heardAt time.Time
	// heardFrom is when each server last sent something over a direct connection; silent are those
	// that have sent nothing to anybody's request for its patience, as of the last tick.
	heardFrom map[reach.Addr]time.Time
	silent    map[reach.Addr]bool
	// addrs are the addresses of the listed servers, sorted, as of the roster's version addrsVersion.
	addrs        []reach.Addr
	addrsVersion uint64
	// isolated: all paths were lost at the last check.
	isolated bool
	carriers carriers
}

func newPaths() paths {
	return paths{
		table: reach.New(), flights: map[*flight]struct{}{}, carriers: newCarriers(),
		heardFrom: map[reach.Addr]time.Time{}, silent: map[reach.Addr]bool{},
	}
}

// transmit sends a request to its server, directly or carried by a peer. If sent is false, no byte
// of it was sent.
func (r *Relay) transmit(e *exchange, req *http.Request) (resp *http.Response, sent bool, err error) {
	addr := reach.Addr(e.server.Addr)
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
	return timedOut(err) && time.Since(r.paths.heardAt) < vmSilence
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
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := engine.Unwrap(info.Conn).(*peers.CarriedConn); ok {
			e.carrier = c.Carrier()
		}
	}})
	resp, sent, err := r.carriedSender.Do(req.WithContext(ctx), e.once, e.sendBy)
	if err == nil {
		r.stats.carriedRequests.Inc(1)
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
	f := &flight{
		addr: reach.Addr(e.server.Addr), patience: e.patience, repeatable: !e.once, movable: e.movable, pool: e.server.Pool,
		cancel: cancel, begunAt: time.Now(),
	}
	r.beginFlight(f)
	resp, sent, err := r.sender.Do(req.WithContext(ctx), e.once, e.sendBy)
	if err != nil {
		r.endFlight(f)
		r.recordDirectFailure(f, sent, err)
		if cause := context.Cause(ctx); errors.Is(cause, errPathLost) || errors.Is(cause, errServerSilent) {
			err = cause
		}
		cancel(nil)
		return nil, sent, err
	}
	f.heard()
	if fresh.Load() {
		r.recordDirectAnswer(f.addr)
	}
	resp.Body = &flightBody{ReadCloser: resp.Body, relay: r, flight: f, ctx: ctx}
	return resp, sent, nil
}

// flightBody is the body of an answer over a direct connection. Close ends the flight.
type flightBody struct {
	io.ReadCloser
	relay  *Relay
	flight *flight
	ctx    context.Context
}

// Read implements io.Reader.
func (b *flightBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.flight.heard()
	}
	if err != nil && !errors.Is(err, io.EOF) && errors.Is(context.Cause(b.ctx), errPathLost) {
		err = errPathLost
	}
	return n, err
}

// Close implements io.Closer.
func (b *flightBody) Close() error {
	b.relay.endFlight(b.flight)
	err := b.ReadCloser.Close()
	b.flight.cancel(nil)
	return err
}

func (r *Relay) beginFlight(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths.flights[f] = struct{}{}
}

func (r *Relay) endFlight(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.paths.flights[f]; !ok {
		return
	}
	delete(r.paths.flights, f)
	r.recordHeard(f)
}

// recordHeard records when a flight last heard from its server. The caller holds mu.
func (r *Relay) recordHeard(f *flight) {
	at := f.heardAt()
	if at.IsZero() {
		return
	}
	r.paths.heardAt = shed.Later(r.paths.heardAt, at)
	r.paths.heardFrom[f.addr] = shed.Later(r.paths.heardFrom[f.addr], at)
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
	case sent && f.silence(now) >= f.patience:
		r.paths.table.Suspect(now, f.addr, now.Sub(r.paths.heardAt) >= vmSilence)
	case errors.Is(err, context.Canceled), sent && !closedByServer(err):
	default:
		r.paths.table.Failed(now, f.addr)
	}
}

// isPathFailure reports whether a request failed because of the path to its server, so that the
// failure says nothing of the server.
func (r *Relay) isPathFailure(e *exchange, err error) bool {
	if errors.Is(err, errPathLost) || errors.Is(err, errServerSilent) {
		return true
	}
	return e.carrier == "" && !errors.Is(err, peers.ErrCarryUnreachable) && r.isPathLost(reach.Addr(e.server.Addr))
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
	r.mu.Lock()
	hopeless := r.paths.table.Hopeless() || r.paths.isolated && len(r.carrierCandidates(time.Now())) == 0
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

// tickPaths looks for silent requests, cancels those on lost paths, and begins due probes. The
// caller holds mu.
func (r *Relay) tickPaths(now time.Time) {
	r.checkSilence(now)
	r.checkCarriers(now)
	for _, p := range r.paths.table.DueProbes(now, r.probableAddrs(now)) {
		server := r.roster.OpenServerAt(string(p.Addr)).ServerEntry
		r.work.Go(func() error {
			r.probePath(p, server)
			return nil
		})
	}
}

// probableAddrs returns the servers that may be probed: not those that limit their requests or want
// none. The caller holds mu.
func (r *Relay) probableAddrs(now time.Time) []reach.Addr {
	addrs := r.serverAddrs()
	if r.paths.table.Empty() {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(addrs), func(a reach.Addr) bool {
		s := r.roster.OpenServerAt(string(a))
		return s.Cold(now) || r.isLimited(s) || r.access.IsRested(s.Start())
	})
}

// checkSilence throws doubt on the paths of requests without an answer, and cancels those whose path
// is lost. The caller holds mu.
func (r *Relay) checkSilence(now time.Time) {
	for f := range r.paths.flights {
		r.recordHeard(f)
	}
	clear(r.paths.silent)
	moved := map[shed.PoolID]int{}
	r.paths.table.Heard(r.paths.heardAt)
	quiet := now.Sub(r.paths.heardAt)
	for f := range r.paths.flights {
		silence := f.silence(now)
		if silence < f.patience {
			continue
		}
		if r.paths.table.IsLost(f.addr) {
			if f.repeatable {
				f.cancel(errPathLost)
			}
			continue
		}
		if now.Sub(r.paths.heardFrom[f.addr]) >= f.patience {
			r.paths.silent[f.addr] = true
			r.moveFlight(now, f, moved)
		}
		if quiet >= vmSilence || silence >= 2*f.patience {
			r.paths.table.Suspect(now, f.addr, quiet >= vmSilence)
		}
	}
}

// moveFlight cancels a request at a silent server if it can be sent to another one. moved counts the
// requests cancelled at the same time, which will draw on the retry budget. The caller holds mu.
func (r *Relay) moveFlight(now time.Time, f *flight, moved map[shed.PoolID]int) {
	if f.movable && len(r.roster.OpenServers(f.pool)) > 1 && r.retryBudget(f.pool).Remaining(now) > moved[f.pool] {
		moved[f.pool]++
		f.cancel(errServerSilent)
	}
}

// silentServers returns the servers of a pool that are silent. The caller holds mu.
func (r *Relay) silentServers(pool shed.PoolID) []shed.ServerID {
	var out []shed.ServerID
	for addr := range r.paths.silent {
		if s := r.roster.OpenServerAt(string(addr)); s != nil && s.Pool == pool {
			out = append(out, s.ID)
		}
	}
	return out
}

// probePath finds out whether the path to a server is lost.
func (r *Relay) probePath(p reach.Probe, server shed.ServerEntry) {
	r.stats.pathProbes.Inc(1)
	direct, _ := r.probe(r.sender, server)
	carried, carrierFound := reach.Closed, true
	if p.Compare && direct < reach.Answered {
		carried, carrierFound = r.probe(r.carriedSender, server)
	}
	if p.Compare && carrierFound {
		r.comparePaths(p.Addr, direct, carried)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !p.Compare {
		r.paths.table.ProbedDirectly(time.Now(), p.Addr, direct)
	}
	r.paths.table.EndProbe(p.Addr)
	r.checkIsolation()
}

// probe makes a request that no server runs. carrierFound is false if no peer carries it.
func (r *Relay) probe(sender *engine.Sender, server shed.ServerEntry) (level reach.Level, carrierFound bool) {
	ctx, cancel := context.WithTimeout(r.base, probeTimeout)
	defer cancel()
	req, err := r.cfg.Dialect.NewProbeRequest(server.Addr)
	if err != nil {
		return reach.Closed, false
	}
	resp, sent, err := sender.Do(req.WithContext(ctx), true, time.Time{})
	if err == nil {
		_ = resp.Body.Close()
	}
	return levelOf(sent, err), !errors.Is(err, errNoCarrier)
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

// logPath adds the carrier of a request to its log line.
func logPath(fields logrus.Fields, e *exchange) {
	if e.carrier != "" {
		fields["carrier"] = e.carrier
	}
}
