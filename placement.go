package shed

import "time"

// Placer decides where one stage call runs. It reserves nothing, so the caller
// must act on the answer in the same step.
type Placer interface {
	Place(now time.Time, req PlaceRequest) Placement
}

// PlaceRequest is the input of a Placer.
type PlaceRequest struct {
	StageRequest
	Stage    Stage
	Deadline time.Time
}

// PlaceKind is the kind of a Placer's answer. The set is closed.
type PlaceKind uint8

// The answers of a Placer.
const (
	// PlaceLocal: run the call on Server, in this zone.
	PlaceLocal PlaceKind = iota + 1
	// PlacePeer: forward the call to Peer.
	PlacePeer
	// PlaceWait: every eligible server is full; try again when one has a free slot.
	PlaceWait
	// PlaceNowhere: no server may run the call now.
	PlaceNowhere
)

// Placement is the answer of a Placer.
type Placement struct {
	Kind   PlaceKind
	Server *Server
	Peer   VM
	Reason Reason
	Rule   Origin
	// RetryAfter is the retry delay, for PlaceNowhere.
	RetryAfter time.Duration
}

// Candidate is a server eligible for a call, with its state as this daemon knows it.
type Candidate struct {
	Server *Server
	// Running is the estimated number of calls on the server: the last report,
	// adjusted by the calls that this daemon has since started and seen end.
	Running int
	// OwnCalls is the number of this daemon's calls on the server.
	OwnCalls int
	// Cold servers can handle only Server.ColdCapacity calls.
	Cold bool
	// Age of the server's last report.
	Age time.Duration
	// MedianCallTime is the recent median time per call; 0 if unknown.
	MedianCallTime time.Duration
}

// Policy selects a server among candidates that all have a free slot.
// Implementations are pure; randomness comes only from the seed they were built with.
type Policy interface {
	// Pick returns the index of the chosen candidate. from is never empty and is
	// sorted by server id.
	Pick(now time.Time, prefix uint64, from []Candidate) int
}
