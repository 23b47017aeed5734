package relay

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/quota"
	"jasmineshed/internal/reply"
)

// exitTime is how long the kernel may take to close the connections of a process that was killed.
const exitTime = 20 * time.Millisecond

// errUnproven is the error of an answer that ended while its server was leaving. Another server is asked for it, or for
// what may be missing of it.
var errUnproven = errors.New("the server may have been killed while it was leaving")

// judgeEnding decides whether the answer, whose end was read, is whole.
func (a *attempt) judgeEnding(ctx context.Context) reply.Verdict {
	if !a.endsWithConnection {
		return reply.Whole
	}
	r, server, ended := a.relay, a.exchange.server, time.Now()
	// The listener of a killed process accepts connections until the process is gone.
	sleep(ctx, r.extend(exitTime))
	e := reply.Ending{Serves: !r.serverEnded(server)}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Leaving = r.roster.IsLeaving(server.Start())
	crashedAt, crashed := r.poison.CrashedAt(server.Start())
	// This VM may have stood still, and what serves now may be the next start.
	e.Crashed = crashed && crashedAt.After(a.began) || !e.Leaving && r.roster.IsReplaced(server)
	e.Together, e.Open = r.paths.countEnds(server.Start(), ended)
	return e.Verdict()
}

// checkBody returns an error unless an answer that is no stream is whole. A server that has an empty body to send says so
// by its length; one that stopped after the head doesn't.
func (a *attempt) checkBody(ctx context.Context, body *quota.Body) error {
	if a.endsWithConnection && body.Size() == 0 && a.job.request.Method != http.MethodHead {
		return io.ErrUnexpectedEOF
	}
	return a.checkWhole(ctx, false)
}

// checkWhole returns an error unless the answer, whose end was read, is whole. One that is unproven counts as whole unless
// it is an empty rest of a stream, or another server can prove it.
func (a *attempt) checkWhole(ctx context.Context, emptyRest bool) error {
	switch verdict := a.judgeEnding(ctx); {
	case verdict == reply.CutOff:
		return io.ErrUnexpectedEOF
	case verdict == reply.Unproven && (emptyRest || a.canProve()):
		return errUnproven
	}
	return nil
}

// canProve reports whether the request may be sent to another server, whose answer shows what is missing of this one.
func (a *attempt) canProve() bool {
	a.pursuit.mu.Lock()
	defer a.pursuit.mu.Unlock()
	return a.job.mayRunTwice() && a.canGoElsewhere()
}

// recordConnEnd records that the server's side ended the connection of a flight.
func (r *Relay) recordConnEnd(f *flight) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	r.paths.recordEnd(now, f.server.Start())
}

// recordEnd records that a connection to a server ended.
func (p *paths) recordEnd(now time.Time, start shed.ServerStart) {
	old := func(t time.Time) bool { return now.Sub(t) > endsKept }
	maps.DeleteFunc(p.ends, func(_ shed.ServerStart, ends []time.Time) bool { return old(ends[len(ends)-1]) })
	p.ends[start] = append(slices.DeleteFunc(p.ends[start], old), now)
}

// countEnds returns how many connections to a server ended at about a time, and how many of those on which it has sent
// something are still open.
func (p *paths) countEnds(start shed.ServerStart, at time.Time) (together, open int) {
	for _, t := range p.ends[start] {
		if t.Sub(at).Abs() < exitTime {
			together++
		}
	}
	for f := range p.flights {
		if f.server.Start() == start && !f.ended && !f.heardAt().IsZero() {
			open++
		}
	}
	return together, open
}

// endsKept is how long the ends of a server's connections are kept.
const endsKept = time.Second
