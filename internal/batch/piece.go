package batch

import (
	"time"

	shed "jasmineshed"
)

// piece is one piece of a job until it is settled.
type piece struct {
	shed.Piece
	job   *job
	index int // index in job.results
	tries int
	// inFlight counts the calls that include it; above 1 once one of them is suspect.
	inFlight int
	// overdue counts those of them that are suspect.
	overdue int
	// notBefore is when it may be sent again.
	notBefore time.Time
	// sentAt is when it was last sent.
	sentAt  time.Time
	settled bool
	// crashes counts the calls with it under which servers crashed. After a crash it is only
	// sent with pieces of its subgroup; 0 means no subgroup.
	crashes, subgroup int
	// queued is set while the piece is among the group's pending pieces, even if it is also in
	// flight.
	queued bool
}

// mayHedge reports whether the piece may be sent again while it is in flight.
func (p *piece) mayHedge() bool {
	return !p.settled && !p.job.dropped && p.tries+p.inFlight <= maxTries
}

// awaitLastTry delays the last try of a piece if there is time to.
func (p *piece) awaitLastTry(now time.Time) {
	g := p.job.group
	next := now.Add(lastTryPause)
	if p.tries == maxTries-1 && !g.earliestCompletion(next).After(p.job.deadline) {
		p.notBefore = next
	}
}

// mayRunAt reports whether a pending piece may be sent to a server, in addition to those where it is in
// flight. A silent server may only have lost its answers, but is not tried with one piece after the other.
func (p *piece) mayRunAt(now time.Time, m *producer) bool {
	switch {
	case now.Before(p.notBefore):
		return false
	case p.inFlight == 0:
		return true
	case m.silent:
		return p.inFlight == 1
	}
	return p.tries+p.inFlight < maxTries || m.answeredAt.After(p.sentAt)
}
