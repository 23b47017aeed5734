package shed

import "time"

// Placer decides where one stage call runs. It reserves nothing; the caller
// acts on the answer in the same step.
type Placer interface {
	Place(now time.Time, ask PlaceRequest) Placement
}

// PlaceRequest is the question to a Placer.
type PlaceRequest struct {
	StageRequest
	Stage    Stage
	Deadline time.Time
}

// PlaceKind tells the answers of a Placer apart. The set is closed.
type PlaceKind uint8

// The answers of a Placer.
const (
	// PlaceLocal: run it on Server, in this zone.
	PlaceLocal PlaceKind = iota + 1
	// PlacePeer: hand it over to Peer.
	PlacePeer
	// PlaceWait: every server that may run it is full; ask again when one frees.
	PlaceWait
	// PlaceNowhere: nothing may run it now.
	PlaceNowhere
)

// Placement is the answer of a Placer.
type Placement struct {
	Kind   PlaceKind
	Server *Server
	Peer   VM
	Reason Reason
	Rule   Origin
	// RetryAfter says when to come back, for PlaceNowhere.
	RetryAfter time.Duration
}

// Candidate is one server that may run a call, as far as this daemon knows.
type Candidate struct {
	Server *Server
	// Running is the estimate of calls on it: the last report, corrected by
	// what this daemon has sent and seen end since.
	Running int
	// OwnCalls is how many of this daemon's calls run on it.
	OwnCalls int
	// Cold servers bear only Server.ColdCapacity calls.
	Cold bool
	// Age of the last report.
	Age time.Duration
	// MedianCallTime is the recent median time per call, or 0 if unknown.
	MedianCallTime time.Duration
}

// Policy picks a server among candidates that all have room. Implementations
// are pure; chance comes from the seed they were built with.
type Policy interface {
	// Pick returns the index of the chosen candidate. from is never empty and
	// sorted by server id.
	Pick(now time.Time, prefix uint64, from []Candidate) int
}
