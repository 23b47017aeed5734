package shed

import "time"

// Message is a control message between daemons. It may be lost, delayed,
// duplicated or reordered; every receiver tolerates that.
type Message interface{ message() }

// PartHash is the SHA-256 of one part of the configuration.
type PartHash [32]byte

// ConfigIndex describes one configuration by the parts, in order, of its text.
type ConfigIndex struct {
	Revision Revision   `cbor:"1,keyasint"`
	Parts    []PartHash `cbor:"2,keyasint"`
}

// ConfigDigest reports the revision in force at the sender and how long ago it
// was confirmed as the newest, by the platform itself or through a chain of
// peers.
type ConfigDigest struct {
	Revision     Revision      `cbor:"1,keyasint"`
	ConfirmedAgo time.Duration `cbor:"2,keyasint"`
	// NeverConfirmed is set if the revision was never confirmed; ConfirmedAgo is then not
	// valid.
	NeverConfirmed bool `cbor:"3,keyasint,omitempty"`
	// WantReply requests a ConfigDigest in reply.
	WantReply bool `cbor:"4,keyasint,omitempty"`
	// Sequence of a request is returned in its reply; 0 in an unsolicited digest.
	// A reply can't be older than its request, which bounds the age of ConfirmedAgo
	// whatever the propagation delay of the reply.
	Sequence uint64 `cbor:"5,keyasint,omitempty"`
}

// ConfigPull requests a peer's configuration, except for the parts in Have.
type ConfigPull struct {
	Have []PartHash `cbor:"1,keyasint,omitempty"`
}

// ConfigPush carries a whole configuration, except for the parts that the
// ConfigPull listed.
type ConfigPush struct {
	Index ConfigIndex         `cbor:"1,keyasint"`
	Parts map[PartHash][]byte `cbor:"2,keyasint,omitempty"`
}

// Status of a member.
type Status uint8

// The states of a member. A higher one overrides a lower one of the same
// incarnation; a higher incarnation overrides all.
const (
	StatusAlive Status = iota + 1
	StatusSuspect
	StatusLeaving
	StatusDead
)

// Member is the state of a process, as gossiped between daemons.
type Member struct {
	Peer   Peer   `cbor:"1,keyasint"`
	Zone   ZoneID `cbor:"2,keyasint"`
	Status Status `cbor:"3,keyasint"`
	// Successor is the process that holds the unused tickets of one that left; zero if none.
	Successor Peer `cbor:"4,keyasint,omitempty"`
	// Refute counts how often the process refuted reports that it is dead; a higher
	// count wins within an incarnation.
	Refute uint32 `cbor:"5,keyasint,omitempty"`
	// Power is the relative capacity of the process's VM; 0 if not known.
	Power float64 `cbor:"6,keyasint,omitempty"`
}

// Probe checks that the receiver is alive. Sequence is returned in the ProbeAck.
type Probe struct {
	Sequence uint64   `cbor:"1,keyasint"`
	Self     Member   `cbor:"2,keyasint"`
	Gossip   []Member `cbor:"3,keyasint,omitempty"`
	// Target, if set, is the VM that the receiver is to probe on the sender's behalf.
	Target VM `cbor:"4,keyasint,omitempty"`
	// ViewHash is a hash of the sender's view of its zone. If the receiver is in the same
	// zone and has a different one, it adds more gossip to its ack.
	ViewHash uint64 `cbor:"5,keyasint,omitempty"`
}

// ProbeAck answers a Probe.
type ProbeAck struct {
	Sequence uint64   `cbor:"1,keyasint"`
	Self     Member   `cbor:"2,keyasint"`
	Gossip   []Member `cbor:"3,keyasint,omitempty"`
	// Target is the probed VM if the ack is passed on for another VM.
	Target VM `cbor:"4,keyasint,omitempty"`
	// ViewHash is a hash of the sender's view, as in Probe.
	ViewHash uint64 `cbor:"5,keyasint,omitempty"`
}

// SlotRelease reports that the sender uses only those slots of these servers
// that its view assigns to it; no servers means all of the zone.
type SlotRelease struct {
	Servers []ServerID `cbor:"1,keyasint"`
	// ViewHash is a hash of the sender's view for which it released the slots.
	ViewHash uint64 `cbor:"2,keyasint"`
	// Epoch changes with each change of the sender's view; SeenEpoch is the last one that
	// the sender received from the receiver, so a late release can be detected.
	Epoch     uint64 `cbor:"3,keyasint,omitempty"`
	SeenEpoch uint64 `cbor:"4,keyasint,omitempty"`
}

// LoadDigest shares load reports within a zone.
type LoadDigest struct {
	Reports map[ServerID]LoadReport `cbor:"1,keyasint"`
}

// TicketMove transfers unused tickets to a successor. The sender drops them
// before it sends: a lost move loses tickets but never duplicates one.
type TicketMove struct {
	From    Peer          `cbor:"1,keyasint"`
	Tickets []MovedTicket `cbor:"2,keyasint"`
	// To is the only process that may adopt the tickets. A copy that reaches a
	// later process on the same VM must be ignored: the earlier process may have
	// run some of them.
	To Peer `cbor:"3,keyasint"`
}

// MovedTicket is one unused ticket in a TicketMove.
type MovedTicket struct {
	ID        RequestID     `cbor:"1,keyasint"`
	Workspace WorkspaceID   `cbor:"2,keyasint"`
	Pipeline  PipelineID    `cbor:"3,keyasint"`
	ExpiresIn time.Duration `cbor:"4,keyasint"`
}

// RelayLoad reports to peers the sender's requests in flight on backend servers, and
// its waiting pieces. It replaces the sender's earlier reports.
type RelayLoad struct {
	// Sequence increases with each report of a process; an older report is dropped.
	Sequence uint64                   `cbor:"1,keyasint"`
	Servers  map[ServerID]ServerShare `cbor:"2,keyasint,omitempty"`
	Waits    []PieceWait              `cbor:"3,keyasint,omitempty"`
	// Placed lists the prompts placed since the last report.
	Placed []PromptPlaced `cbor:"4,keyasint,omitempty"`
	// AsOf is the revision up to which the sender knows all changes of the store,
	// Digest a hash of the items it holds, ConfirmedAgo the time since the store
	// answered the sender, or a peer that knew no later revision.
	AsOf         Revision      `cbor:"5,keyasint,omitempty"`
	Digest       uint64        `cbor:"7,keyasint,omitempty"`
	ConfirmedAgo time.Duration `cbor:"8,keyasint,omitempty"`
	// Catalog is the revision of the configuration in force at the sender.
	Catalog Revision `cbor:"11,keyasint,omitempty"`
	// NeedsKey is set once a configuration needed keys, at the sender or at a peer of it.
	NeedsKey bool `cbor:"22,keyasint,omitempty"`
	// HeldBytes is the size in bytes of the results that each server holds for the sender,
	// which coordinates batches of pieces.
	HeldBytes map[ServerID]int64 `cbor:"6,keyasint,omitempty"`
	// ExpectedPieces is the number of pieces that the sender's requests will need from each
	// pool once their earlier steps are done.
	ExpectedPieces map[PoolID]int `cbor:"10,keyasint,omitempty"`
	// ExpectedBytes is the size of the results of these pieces, for pools whose result capacity can
	// bind.
	ExpectedBytes map[PoolID]int64 `cbor:"20,keyasint,omitempty"`
	// Limits are the limits of servers that the sender knows of.
	Limits []ServerLimit `cbor:"14,keyasint,omitempty"`
	// Leaving are the servers that said that they leave while their entries don't say so.
	Leaving []ServerStart `cbor:"15,keyasint,omitempty"`
	// Isolated is set if the sender has no path to any backend server.
	Isolated bool `cbor:"16,keyasint,omitempty"`
	// Strained is set if the sender's processor or link makes its work late.
	Strained bool `cbor:"21,keyasint,omitempty"`
	// Lost are servers to which the sender lost its path though it reaches others; not all if there
	// are many.
	Lost []ServerID `cbor:"17,keyasint,omitempty"`
	// WorkTimes are the work times of servers that VMs have read from answers since the last report.
	WorkTimes []WorkTime `cbor:"18,keyasint,omitempty"`
	// ForwardToAll is set if the load is sent only to the receiver, which forwards it to all.
	ForwardToAll bool `cbor:"12,keyasint,omitempty"`
	// Forwarded are loads of other VMs that the sender forwards.
	Forwarded []ForwardedLoad `cbor:"13,keyasint,omitempty"`
}

// WorkTime is how long work took on a server's machine when a VM read it from an answer.
type WorkTime struct {
	Start ServerStart `cbor:"1,keyasint"`
	// Percent is relative to the usual time; above 0.
	Percent int `cbor:"2,keyasint"`
	// Age is the time since it was read.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// ForwardedLoad is the load of a VM other than the sender.
type ForwardedLoad struct {
	// From is the process whose load it is.
	From Peer `cbor:"1,keyasint"`
	// Age is the time since the sender received it.
	Age  time.Duration `cbor:"2,keyasint,omitempty"`
	Load RelayLoad     `cbor:"3,keyasint"`
}

// ServerShare is the load that one daemon puts on one server.
type ServerShare struct {
	Running int `cbor:"1,keyasint"`
	// Reading is the number of prompt tokens of requests without a first event yet.
	Reading Tokens `cbor:"2,keyasint,omitempty"`
}

// PieceWait is the predicted time of a piece at the sender, which coordinates the
// pieces for the pool.
type PieceWait struct {
	Pool PoolID `cbor:"1,keyasint"`
	// Timely is the time if the piece is queued before those that can no longer be in
	// time, Last if it is queued after all others.
	Timely time.Duration `cbor:"2,keyasint"`
	Last   time.Duration `cbor:"3,keyasint"`
	// Slow is the ratio of actual to configured call time.
	Slow float64 `cbor:"4,keyasint,omitempty"`
	// Rate is the throughput of the pool with full calls, in pieces per second.
	Rate float64 `cbor:"5,keyasint,omitempty"`
	// FreeBytes is the pool's free result capacity beyond what is released during calls, PendingBytes the
	// size of the results of pending pieces that can still meet their target, and ByteRate how many bytes of results per second the pool has capacity for; ByteRate is
	// 0 if the capacity can't bind or isn't known.
	FreeBytes    int64   `cbor:"6,keyasint,omitempty"`
	PendingBytes int64   `cbor:"7,keyasint,omitempty"`
	ByteRate     float64 `cbor:"8,keyasint,omitempty"`
	// Promised is by how much reservations lengthen the queue, which Timely and Last don't include.
	Promised time.Duration `cbor:"9,keyasint,omitempty"`
}

// PromptPlaced reports that a server processes a prompt; Chain holds the hashes of
// the prompt's shared parts.
type PromptPlaced struct {
	Server ServerID `cbor:"1,keyasint"`
	Chain  []uint64 `cbor:"2,keyasint"`
}

// ResultsFreed releases results of pieces at the VM that requested them.
type ResultsFreed struct {
	Refs []ResultRef `cbor:"1,keyasint"`
}

// StoreUpdate forwards the changes of the platform's store after a revision.
type StoreUpdate struct {
	After Revision     `cbor:"1,keyasint"`
	AsOf  Revision     `cbor:"2,keyasint"`
	Items []ItemChange `cbor:"3,keyasint"`
	// Unsent is set if the changes are too large for a message; Items is then empty,
	// and the receiver has to fetch them from the sender.
	Unsent bool `cbor:"4,keyasint,omitempty"`
}

// RestUpdate reports a rest that a server asked for to a VM that shares connections to it with the
// sender: one carries them for the other.
type RestUpdate struct {
	Start ServerStart   `cbor:"1,keyasint"`
	Rest  time.Duration `cbor:"2,keyasint"`
}

func (RestUpdate) message()   {}
func (StoreUpdate) message()  {}
func (RelayLoad) message()    {}
func (ResultsFreed) message() {}
func (ConfigDigest) message() {}
func (ConfigPull) message()   {}
func (ConfigPush) message()   {}
func (Probe) message()        {}
func (ProbeAck) message()     {}
func (SlotRelease) message()  {}
func (LoadDigest) message()   {}
func (TicketMove) message()   {}
