package shed

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A relayed request is one whose body the system never inspects: it is
// forwarded byte for byte to a backend server chosen by its route, and the
// answer is returned the same way. The types here describe such requests, the
// routes, and the servers.

// RouteID identifies a route.
type RouteID string

// Catalog is one configuration of the relay: routes, pools, workspaces, limits.
// It is immutable once built.
type Catalog struct {
	// Version is the operator's own version, for logs. Number is its value if it is a number, else
	// 0. Catalogs are ordered by the Revision of their item within an era of the store, and by
	// Number across eras.
	Version string
	Number  uint64
	Routes  []Route
	Pools   map[PoolID]*RelayPool
	// NeedsKey: callers need a key, except on public routes, also if APIKeys is empty.
	NeedsKey bool
	// APIKeys maps API keys to workspaces.
	APIKeys map[string]WorkspaceID
	Ranks   map[WorkspaceID]int
	Limits  RelayLimits
}

// RelayLimits limits what a caller may send; 0 means no limit here.
type RelayLimits struct {
	// BodyBytes is the maximum size of a body.
	BodyBytes int64
}

// Route sends requests of one host and path prefix to pools.
type Route struct {
	ID   RouteID
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Split distributes the route's requests over pools; never empty.
	Split []RouteShare
	// Timeout is the maximum time a caller waits for the final answer.
	Timeout time.Duration
	// Target is the time within which an answer has its full value; for a stream,
	// the time to its first event.
	Target time.Duration
	// Rank is the priority of the route; 0 is the most urgent.
	Rank int
	// MaxSends is the maximum number of servers one request is sent to; 1 or more.
	MaxSends int
	// Streaming is set if the answer is a stream of events.
	Streaming bool
	// Repeatable is set if running a request twice is harmless. Resumable is set if that
	// holds when the second run continues after the last event passed to the caller.
	Repeatable, Resumable bool
	// Public is set if callers need no key.
	Public bool
	// Steps is the work to be done before the request itself, in topological order:
	// each step follows those it depends on.
	Steps []RouteStep
}

// UsesPool reports whether a step of the route runs in the pool.
func (r *Route) UsesPool(pool PoolID) bool {
	return slices.ContainsFunc(r.Steps, func(s RouteStep) bool { return s.Pool == pool })
}

// RouteShare is one pool's share of a route.
type RouteShare struct {
	Pool   PoolID
	Weight int
}

// RouteStep is one preparation step, which consists of pieces that run in batches.
type RouteStep struct {
	// Index is the step's number on the wire.
	Index int
	Pool  PoolID
	// DependsOn lists the Index of each step whose results this step needs.
	DependsOn []int
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes int64
}

// RelayPool is the configuration of a pool of servers that do the same work.
type RelayPool struct {
	ID PoolID
	// ColdDuration is how long a server is cold after its start; 0 if it never is.
	ColdDuration time.Duration
	// ColdRate is the number of requests per second that a cold server can handle,
	// from all VMs together.
	ColdRate float64
	// Batch is set for pools whose servers run pieces.
	Batch *BatchLimits
	// Engine is set for pools of model engines.
	Engine *EngineLimits
}

// RunsPieces reports whether the pool's servers run pieces.
func (p *RelayPool) RunsPieces() bool { return p != nil && p.Batch != nil }

// EngineLimits are the limits of one model engine.
type EngineLimits struct {
	// Slots is the maximum number of concurrent requests.
	Slots int
	// TokenCapacity is the maximum number of prompt and answer tokens that the engine holds.
	TokenCapacity Tokens
	// FetchRate is the rate at which the engine fetches a prompt's KV cache from another
	// engine, in tokens per millisecond; 0 if it can't.
	FetchRate float64
}

// BatchLimits are the limits and costs of running pieces on one server.
type BatchLimits struct {
	// MaxPieces is the maximum number of pieces in one call.
	MaxPieces int
	// CallTime is the approximate fixed time of a call; PieceTime is the approximate
	// time that each piece adds.
	CallTime, PieceTime time.Duration
	// ResultCapacity is the maximum size in bytes of the results that the server holds.
	ResultCapacity int64
	// LargestResult is the size in bytes of the largest result of the routes that use the pool; 0 if
	// not specified.
	LargestResult int64
	// ResultRetention is how long the server keeps a result that was not freed.
	ResultRetention time.Duration
}

// ServerEntry is a backend server's own entry in the platform's store.
type ServerEntry struct {
	ID   ServerID
	Pool PoolID
	// Addr is the ip:port at which the server accepts requests.
	Addr string
	Zone ZoneID
	// Slots is the maximum number of concurrent requests; 0 if not specified.
	Slots int
	// Leaving is set if the server accepts no new work.
	Leaving bool
	// ColdRemaining is the remaining cold time that the server reported.
	ColdRemaining time.Duration
	// StartedMs distinguishes starts under one id: the Unix time of the start in
	// milliseconds, 0 if not specified.
	StartedMs int64
	// Version is the version of the server's software; empty if not specified. Versions have no
	// order.
	Version SoftwareVersion
}

// SoftwareVersion is the version of a backend server's software.
type SoftwareVersion string

// Start returns the start of the server that the entry describes.
func (e ServerEntry) Start() ServerStart {
	return ServerStart{Server: e.ID, StartedMs: e.StartedMs}
}

// ZoneClosed records that operators took a zone out of service: nothing more is
// sent to its servers.
type ZoneClosed struct{ Zone ZoneID }

// Record is the parsed content of an item of the platform's store: *Catalog,
// ServerEntry or ZoneClosed.
type Record interface{ record() }

func (*Catalog) record()    {}
func (ServerEntry) record() {}
func (ZoneClosed) record()  {}

// Item is one item of the platform's store, unparsed. Peers forward items to VMs
// that can't reach the store.
type Item struct {
	Key      string   `cbor:"1,keyasint"`
	Value    []byte   `cbor:"2,keyasint,omitempty"`
	Revision Revision `cbor:"3,keyasint"`
	// Deleted is set if the item was deleted at this revision.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// ItemChange is an Item as sent between VMs.
type ItemChange struct {
	Item
	// Packed is set if Value is packed, as the difference to the key's value at the
	// revision Base, or to an empty value if Base is 0.
	Packed bool     `cbor:"5,keyasint,omitempty"`
	Base   Revision `cbor:"6,keyasint,omitempty"`
	// SameAs, if not 0, is the hash of the value, which is left out because the receiver has it.
	SameAs uint64 `cbor:"7,keyasint,omitempty"`
}

// Errors of a Store.
var (
	// ErrStoreUnreachable: no complete answer arrived in time.
	ErrStoreUnreachable = errors.New("store unreachable")
	// ErrStoreBusy: the store rejected the call.
	ErrStoreBusy = errors.New("store busy")
	// ErrCompacted: the store no longer has all changes since the given revision, or has come back
	// from a copy that never had it; list all items again.
	ErrCompacted = errors.New("store history gone")
	// ErrStaleReply: the answer is of an earlier era of the store than one before.
	ErrStaleReply = errors.New("reply of an earlier era of the store")
	// ErrBadStoreReply: the answer is malformed.
	ErrBadStoreReply = errors.New("bad reply of the store")
	// ErrUnknownRecord: the item holds no record that the system knows.
	ErrUnknownRecord = errors.New("item says nothing known")
)

// Store reads the platform's store. Implementations are safe for concurrent use
// and never retry a call.
type Store interface {
	// List reads all items. They may or may not include changes after the returned
	// revision.
	List(ctx context.Context) ([]Item, Revision, error)
	// ListReplica is List from any replica of the store. The replica may lag by seconds; the
	// revision is then an earlier one, and Watch returns the missing changes. It costs a
	// fraction of List.
	ListReplica(ctx context.Context) ([]Item, Revision, error)
	// Watch returns all changes after a revision, and the revision up to which they are
	// complete. It waits for a change for at most wait.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Item, Revision, error)
	// ParseRecord parses the record of an item; ErrUnknownRecord if it holds none.
	ParseRecord(item Item) (Record, error)
	// IsRecordKey reports whether an item with this key can hold a record.
	IsRecordKey(key string) bool
	// IsCatalogKey reports whether the item with this key holds the configuration.
	IsCatalogKey(key string) bool
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// RequestHead is the parsed head of a relayed request.
type RequestHead struct {
	// ID is the caller's id of this attempt; each attempt has a different one.
	ID RequestID
	// Method, Host and Target are forwarded unchanged; Target is the path with
	// its query.
	Method, Host, Target string
	// Header is forwarded, without hop-by-hop headers and those that the system sets
	// itself.
	Header http.Header
	// Key is the caller's API key; empty if none was sent.
	Key string
	// Budget is how long the caller waits for the answer; 0 if not specified.
	Budget time.Duration
	// LastEventID is the id of the last event that the caller received; empty if none.
	LastEventID string
	// Resumes is the id of the attempt that brought the caller the first event of the stream that
	// it resumes; empty if none.
	Resumes RequestID
	// Prompt lists the parts of the prompt in order; the last one is specific to the
	// request or its session.
	Prompt []PromptPart
	// InputTokens is the size of the prompt, MaxOutputTokens the limit for the answer.
	InputTokens, MaxOutputTokens Tokens
	// Pieces is the number of pieces of each step of the route, by Index.
	Pieces []int
	// PieceKey is sent with pieces of steps that depend on no other.
	PieceKey string
}

// Fraction returns a number from 0 to 1 that is evenly distributed over requests and the same at
// each call, to spread what requests do over a time.
func (h *RequestHead) Fraction() float64 {
	return float64(xxhash.Sum64String(string(h.ID))>>11) / (1 << 53)
}

// Hop is what the system adds to a relayed request sent to one server.
type Hop struct {
	Server ServerEntry
	// Budget is the time that the server may take.
	Budget    time.Duration
	Workspace WorkspaceID
	// Urgency is from 0, the most urgent, to 9; below 0 to omit it.
	Urgency int
	// LastEventID is the id of the last event that the caller received; empty if none.
	LastEventID string
	// Inputs are the results that the server has to fetch.
	Inputs []ResultRef
	// CacheSource is the address of a server whose KV cache holds more of the prompt;
	// empty for no fetch.
	CacheSource string
}

// ResultRef identifies a piece's result at the server that produced it.
type ResultRef string

// ReplyHead is the parsed head of a server's answer.
type ReplyHead struct {
	// ID is the id of the answered request; empty if not specified.
	ID RequestID
	// Sealed is set if the answer carries the server's seal; a success without it does
	// not come from the server.
	Sealed bool
	// NotRun is set if the server reports that it has not run the request.
	NotRun bool
	// OtherServer is set if a server other than the expected one has the address.
	OtherServer bool
	// InputsGone is set if a result that the request needs no longer exists.
	InputsGone bool
	// Running and Waiting are the server's load; Running is below 0 if not
	// specified.
	Running, Waiting int
	// WorkTime is how long work takes on the server's machine at this moment, relative to the usual
	// time; 0 if not specified.
	WorkTime float64
	// ColdRemaining is the server's remaining cold time.
	ColdRemaining time.Duration
	// Limit is the request rate that the server accepts from all VMs together; 0 for no
	// limit. BadLimit is the server's text for it if that can't be parsed; Limit is then not
	// valid.
	Limit    Rate
	BadLimit string
	// Brittle is set if the server falls over when it has to turn away more than a few requests a
	// second.
	Brittle bool
	// Leaving is set if the server accepts no new work.
	Leaving bool
	// Rest is how long the server wants no request from this VM; 0 if it asks for none.
	Rest time.Duration
	// Malformed lists statements of the server that can't be parsed, as "name: value". They are
	// ignored.
	Malformed []string
}

// Piece is the request for one piece of a step.
type Piece struct {
	Request RequestID `cbor:"1,keyasint"`
	// Step and Number identify the piece within its request.
	Step   int `cbor:"2,keyasint"`
	Number int `cbor:"3,keyasint"`
	// Key is set for a step that depends on no other, otherwise Inputs.
	Key    string      `cbor:"4,keyasint,omitempty"`
	Inputs []ResultRef `cbor:"5,keyasint,omitempty"`
	// Bytes is the approximate size of the result.
	Bytes int64 `cbor:"6,keyasint,omitempty"`
	// Budget is the time after which the result has no value, Target the target time
	// for it; durations, since clocks of VMs differ.
	Budget time.Duration `cbor:"7,keyasint"`
	Target time.Duration `cbor:"8,keyasint"`
	// PreferredZone is the zone where the result is needed; empty if any will do.
	PreferredZone ZoneID `cbor:"9,keyasint,omitempty"`
	// SameZone is set if all pieces of the step are needed in the same zone, whichever
	// it is.
	SameZone bool `cbor:"10,keyasint,omitempty"`
	// Origin is the caller's request. It is the same for all pieces of a step, so it is
	// sent once per call for them.
	Origin RequestRef `cbor:"-"`
}

// PieceEnd is how a piece ended. The set is closed.
type PieceEnd uint8

// The ends of a piece.
const (
	// PieceComplete: the result is available.
	PieceComplete PieceEnd = iota + 1
	// PieceLate: its time had run out, or would have before the result.
	PieceLate
	// PieceInputsGone: a result that the piece needs no longer exists.
	PieceInputsGone
	// PieceNoCapacity: the server has no capacity for the result.
	PieceNoCapacity
	// PieceFailed: no server completed the piece.
	PieceFailed
	// PieceMoved: the VM no longer coordinates the pool; another one has to be asked.
	PieceMoved
)

// PieceResult answers a Piece.
type PieceResult struct {
	End PieceEnd  `cbor:"1,keyasint"`
	Ref ResultRef `cbor:"2,keyasint,omitempty"`
}
