package relay

import (
	"context"
	"errors"
	"io"
	"maps"
	"sync/atomic"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/reach"
)

const (
	// vmSilence is how long no server may have sent this VM anything until a request without an
	// answer throws doubt on the path. While others send, it takes twice the request's patience.
	vmSilence = 300 * time.Millisecond
	// plainPatience and streamPatience are how long an answer and a stream's next event may take
	// without doubt on the path; for an answer to pieces it is piecesPatience of the call's limit.
	plainPatience  = 400 * time.Millisecond
	streamPatience = time.Second
	piecesPatience = 0.33
)

// flight is a request in flight over a direct connection.
type flight struct {
	*exchange
	cancel  context.CancelCauseFunc
	begunAt time.Time
	// heardAfter is how long after begunAt the server last sent something, in nanoseconds; 0 if it
	// has sent nothing.
	heardAfter atomic.Int64
	// ended: the server's side ended the connection. Guarded by Relay.mu.
	ended bool
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

// flightBody is the body of an answer over a direct connection. Close ends the flight.
type flightBody struct {
	io.ReadCloser
	relay  *Relay
	flight *flight
	ctx    context.Context
	// endsWithConnection: the answer has neither a length nor chunks.
	endsWithConnection bool
}

// Read implements io.Reader.
func (b *flightBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.flight.heard()
	}
	if closedByServer(err) && (b.endsWithConnection || !errors.Is(err, io.EOF)) {
		b.relay.recordConnEnd(b.flight)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = cancelCause(b.ctx, err)
	}
	return n, err
}

// cancelCause returns why a request's context was cancelled here, or err if it wasn't.
func cancelCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errPathLost) {
		return cause
	}
	return err
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
	r.paths.table.Heard(at)
	r.paths.heardFrom[f.addr()] = shed.Later(r.paths.heardFrom[f.addr()], at)
	r.paths.heardPool[f.server.Pool] = shed.Later(r.paths.heardPool[f.server.Pool], at)
}

// checkSilence throws doubt on the paths of requests without an answer, and cancels those whose path
// is lost. The caller holds mu.
func (r *Relay) checkSilence(now time.Time) {
	for f := range r.paths.flights {
		r.recordHeard(f)
	}
	maps.DeleteFunc(r.paths.heardPool, func(_ shed.PoolID, at time.Time) bool { return now.Sub(at) >= vmSilence })
	clear(r.paths.silent)
	clear(r.paths.quiet)
	// What this VM's own delay may hold up says nothing of the servers.
	allowance := r.allowance()
	allSilent := r.paths.table.Silence(now)-allowance >= vmSilence
	for f := range r.paths.flights {
		silence := f.silence(now) - allowance
		if silence < min(vmSilence, f.patience) {
			continue
		}
		heardAgo := now.Sub(r.paths.heardFrom[f.addr()]) - allowance
		if silence >= vmSilence && heardAgo >= vmSilence {
			r.paths.quiet[f.addr()] = f.server.Pool
		}
		if silence < f.patience {
			continue
		}
		if r.paths.table.IsLost(f.addr()) {
			if !f.once {
				f.cancel(errPathLost)
			}
			continue
		}
		if heardAgo >= f.patience {
			r.paths.silent[f.addr()] = f.server.Pool
		}
		if allSilent || silence >= 2*f.patience {
			r.paths.table.Suspect(now, f.addr(), allSilent)
		}
	}
}

// poolServersAt returns the servers of a pool at some addresses, paths.silent or paths.quiet. The caller
// holds mu.
func (r *Relay) poolServersAt(addrs map[reach.Addr]shed.PoolID, pool shed.PoolID) []shed.ServerID {
	var out []shed.ServerID
	for addr := range addrs {
		if s := r.roster.OpenServerAt(string(addr)); s != nil && s.Pool == pool {
			out = append(out, s.ID)
		}
	}
	return out
}

// minQuietServers is how many servers must be quiet until silence is the pool's rather than theirs.
const minQuietServers = 2

// isPoolSilent reports whether several servers of a pool have requests of this VM and none of the pool's
// servers sends anything. The caller holds mu.
func (r *Relay) isPoolSilent(now time.Time, pool shed.PoolID) bool {
	quiet := 0
	for _, p := range r.paths.quiet {
		if p == pool {
			quiet++
		}
	}
	return quiet >= minQuietServers && now.Sub(r.paths.heardPool[pool]) >= vmSilence
}
