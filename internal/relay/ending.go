package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/quota"
	"jasmineshed/internal/reply"
)

// exitTime is how long the kernel may take to close the connections of a process that was killed.
const exitTime = 20 * time.Millisecond

// errUnproven is the error of an answer that ended while its server was leaving, and that another server can prove.
var errUnproven = errors.New("the server may have been killed while it was leaving")

// judgeEnding decides whether the answer, whose end was read, is whole.
func (a *attempt) judgeEnding(ctx context.Context) reply.Verdict {
	if !a.endsWithConnection {
		return reply.Whole
	}
	r, server, ended := a.relay, a.exchange.server, time.Now()
	// Until a killed process is gone, its listener still accepts connections.
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

// checkWhole returns an error unless the answer, whose end was read, is whole as far as can be told. One that can be
// proved by another attempt has to be.
func (a *attempt) checkWhole(ctx context.Context, proof bool) error {
	verdict := a.judgeEnding(ctx)
	switch {
	case verdict == reply.Whole:
		return nil
	case verdict == reply.Unproven && !proof:
		return nil
	case verdict == reply.Unproven:
		return errUnproven
	}
	return io.ErrUnexpectedEOF
}

// canProve reports whether another server may be asked for the same answer, or for what may be missing of it.
func (a *attempt) canProve() bool {
	j := a.job
	if !j.mayRunTwice() {
		return false
	}
	a.pursuit.mu.Lock()
	left := a.pursuit.earlierSends+a.pursuit.begun < j.route.MaxSends
	a.pursuit.mu.Unlock()
	return left && a.relay.hasOtherServer(j, a.choice)
}

// isHeadOnly reports whether nothing followed the head of an answer that ends with its connection. A server that has
// an empty body to send says so by its length; one that stopped after the head doesn't.
func (a *attempt) isHeadOnly(body *quota.Body) bool {
	return a.endsWithConnection && body.Size() == 0 && a.job.request.Method != http.MethodHead
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
	for s, ends := range p.ends {
		if now.Sub(ends[len(ends)-1]) > endsKept {
			delete(p.ends, s)
		}
	}
	p.ends[start] = append(p.ends[start], now)
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
