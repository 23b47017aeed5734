package shed

import "time"

// Message is a control message between daemons. It may be lost, late, doubled
// or reordered; every receiver bears that.
type Message interface{ message() }

// PartHash is the SHA-256 of one part of the configuration.
type PartHash [32]byte

// ConfigIndex is one configuration: the parts, in order, that make its text.
type ConfigIndex struct {
	Revision Revision   `cbor:"1,keyasint"`
	Parts    []PartHash `cbor:"2,keyasint"`
}

// ConfigDigest says which revision the sender has in force and how long ago
// that was known to be the newest, by the platform itself or by a chain of
// peers back to it.
type ConfigDigest struct {
	Revision     Revision      `cbor:"1,keyasint"`
	ConfirmedAgo time.Duration `cbor:"2,keyasint"`
	// NeverConfirmed is true if the sender was never confirmed; Confirmed is then void.
	NeverConfirmed bool `cbor:"3,keyasint,omitempty"`
	// WantReply wants a ConfigDigest back.
	WantReply bool `cbor:"4,keyasint,omitempty"`
	// Sequence of an Ask comes back in its answer; 0 in a digest that nobody
	// asked for. An answer can't be older than its ask, so the asker knows how
	// old Confirmed is at the most, however long the answer was on its way.
	Sequence uint64 `cbor:"5,keyasint,omitempty"`
}

// ConfigPull asks a peer for its configuration, but for the parts held.
type ConfigPull struct {
	Have []PartHash `cbor:"1,keyasint,omitempty"`
}

// ConfigPush carries a whole configuration, but for the parts that the puller
// said it holds.
type ConfigPush struct {
	Index ConfigIndex         `cbor:"1,keyasint"`
	Parts map[PartHash][]byte `cbor:"2,keyasint,omitempty"`
}

// Status of a member.
type Status uint8

// The states of a member. A higher one overrules a lower one of the same
// incarnation; a higher incarnation overrules all.
const (
	StatusAlive Status = iota + 1
	StatusSuspect
	StatusLeaving
	StatusDead
)

// Member is what one daemon tells others of a process.
type Member struct {
	Peer   Peer   `cbor:"1,keyasint"`
	Zone   ZoneID `cbor:"2,keyasint"`
	Status Status `cbor:"3,keyasint"`
	// Successor holds the unused tickets of a process that left; zero if none.
	Successor Peer `cbor:"4,keyasint,omitempty"`
	// Refute counts how often the process denied being dead; a higher one wins
	// within an incarnation.
	Refute uint32 `cbor:"5,keyasint,omitempty"`
	// Power is how strong the process's VM is beside others; 0 if it doesn't say.
	Power float64 `cbor:"6,keyasint,omitempty"`
}

// Probe asks whether the receiver lives. Sequence comes back in the ProbeAck.
type Probe struct {
	Sequence uint64   `cbor:"1,keyasint"`
	Self     Member   `cbor:"2,keyasint"`
	Gossip   []Member `cbor:"3,keyasint,omitempty"`
	// Target, if set, asks the receiver to probe that VM on the sender's behalf.
	Target VM `cbor:"4,keyasint,omitempty"`
	// ViewHash is the sender's view of its zone, as a hash. If the receiver is of
	// the same zone and has another, it adds more gossip to its ack.
	ViewHash uint64 `cbor:"5,keyasint,omitempty"`
}

// ProbeAck answers a Probe.
type ProbeAck struct {
	Sequence uint64   `cbor:"1,keyasint"`
	Self     Member   `cbor:"2,keyasint"`
	Gossip   []Member `cbor:"3,keyasint,omitempty"`
	// Target is set if the ack is passed on for another VM.
	Target VM `cbor:"4,keyasint,omitempty"`
	// ViewHash as in Probe.
	ViewHash uint64 `cbor:"5,keyasint,omitempty"`
}

// SlotRelease says that the sender uses no slot of these servers any more but
// for those that its view gives it; no servers means all of the zone.
type SlotRelease struct {
	Servers []ServerID `cbor:"1,keyasint"`
	// ViewHash is the sender's view, as a hash, for which it let go.
	ViewHash uint64 `cbor:"2,keyasint"`
	// Epoch is new after each change of the sender's view; Seen is the last Epoch
	// that the sender heard from the receiver, so a late release is known as
	// such.
	Epoch     uint64 `cbor:"3,keyasint,omitempty"`
	SeenEpoch uint64 `cbor:"4,keyasint,omitempty"`
}

// LoadDigest spreads load reports within a zone.
type LoadDigest struct {
	Reports map[ServerID]LoadReport `cbor:"1,keyasint"`
}

// TicketMove hands unused tickets to an heir. The sender has forgotten them
// before it sends: a lost move loses tickets, it never doubles one.
type TicketMove struct {
	From    Peer          `cbor:"1,keyasint"`
	Tickets []MovedTicket `cbor:"2,keyasint"`
	// To is the one process that may adopt the tickets. A copy that reaches a
	// later process on the same VM must not count: the earlier one may have run
	// some of them.
	To Peer `cbor:"3,keyasint"`
}

// MovedTicket is one unused ticket on its way to an heir.
type MovedTicket struct {
	ID        RequestID     `cbor:"1,keyasint"`
	Workspace WorkspaceID   `cbor:"2,keyasint"`
	Pipeline  PipelineID    `cbor:"3,keyasint"`
	ExpiresIn time.Duration `cbor:"4,keyasint"`
}

// RelayLoad tells peers what the sender has under way: on backend servers, and
// waiting for pieces. It replaces what the sender told before.
type RelayLoad struct {
	// Sequence grows with each one of a process; an older one is dropped.
	Sequence uint64                   `cbor:"1,keyasint"`
	Servers  map[ServerID]ServerShare `cbor:"2,keyasint,omitempty"`
	Waits    []PieceWait              `cbor:"3,keyasint,omitempty"`
	// Placed are the prompts placed since the last one.
	Placed []PromptPlaced `cbor:"4,keyasint,omitempty"`
	// AsOf is up to which revision of the store the sender knows everything,
	// Digest a hash of what it holds of it, Confirmed how long ago the store
	// answered, to the sender or to a peer of its that knew no more.
	AsOf         Revision      `cbor:"5,keyasint,omitempty"`
	Digest       uint64        `cbor:"7,keyasint,omitempty"`
	ConfirmedAgo time.Duration `cbor:"8,keyasint,omitempty"`
	// Catalog is the revision of the configuration in force at the sender.
	Catalog Revision `cbor:"11,keyasint,omitempty"`
	// HeldBytes are the bytes of results that servers hold for the sender, which
	// gathers pieces.
	HeldBytes map[ServerID]int64 `cbor:"6,keyasint,omitempty"`
	// ExpectedPieces is how many pieces the sender's requests will ask of each pool once
	// the steps before are done.
	ExpectedPieces map[PoolID]int `cbor:"10,keyasint,omitempty"`
	// Limits are what servers said that they take, as the sender has heard.
	Limits []ServerLimit `cbor:"14,keyasint,omitempty"`
	// ForwardToAll: only the receiver is told; it passes the load on to all.
	ForwardToAll bool `cbor:"12,keyasint,omitempty"`
	// Forwarded are loads of other VMs that the sender passes on.
	Forwarded []ForwardedLoad `cbor:"13,keyasint,omitempty"`
}

// ForwardedLoad is the load of another VM than the one that sends it.
type ForwardedLoad struct {
	// From is the process whose load it is.
	From Peer `cbor:"1,keyasint"`
	// Age is how long ago the sender heard it.
	Age  time.Duration `cbor:"2,keyasint,omitempty"`
	Load RelayLoad     `cbor:"3,keyasint"`
}

// ServerShare is what one daemon has on one server.
type ServerShare struct {
	Running int `cbor:"1,keyasint"`
	// Reading are the prompt tokens of requests whose first event is still out.
	Reading Tokens `cbor:"2,keyasint,omitempty"`
}

// PieceWait is how long a piece would take at the sender, which gathers the
// pieces for the pool.
type PieceWait struct {
	Pool PoolID `cbor:"1,keyasint"`
	// Timely is the time if the piece goes before those that can't be in time
	// any more, Last if it goes after all others.
	Timely time.Duration `cbor:"2,keyasint"`
	Last   time.Duration `cbor:"3,keyasint"`
	// Slow is how much longer calls take than the configuration says.
	Slow float64 `cbor:"4,keyasint,omitempty"`
	// Rate is how many pieces the pool makes in a second in full calls.
	Rate float64 `cbor:"5,keyasint,omitempty"`
}

// PromptPlaced says that a server reads a prompt; Chain are the hashes of its
// shared parts.
type PromptPlaced struct {
	Server ServerID `cbor:"1,keyasint"`
	Chain  []uint64 `cbor:"2,keyasint"`
}

// ResultsFreed gives results of pieces up at the VM that had them made.
type ResultsFreed struct {
	Refs []ResultRef `cbor:"1,keyasint"`
}

// StoreUpdate passes on what has changed in the platform's store after a revision.
type StoreUpdate struct {
	After Revision     `cbor:"1,keyasint"`
	AsOf  Revision     `cbor:"2,keyasint"`
	Items []ItemChange `cbor:"3,keyasint"`
	// Unsent: the changes are too large for a message; Items is empty, and they are
	// to be read from the sender.
	Unsent bool `cbor:"4,keyasint,omitempty"`
}

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
