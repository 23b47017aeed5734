package shed

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"
)

// A relayed request is one whose body the system never looks into: it is
// passed on byte for byte to a backend server that its route names, and the
// answer comes back the same way. The types here say what is known of such
// requests, of the routes, and of the servers.

// RouteID names a route.
type RouteID string

// Catalog is one configuration of the relay: routes, pools, workspaces, limits.
// It is never changed after it was built.
type Catalog struct {
	// Version is the operator's own number, for logs; Revision of the item that
	// holds it gives the order.
	Version string
	Routes  []Route
	Pools   map[PoolID]*RelayPool
	// APIKeys are the workspaces' API keys; empty if callers need none.
	APIKeys map[string]WorkspaceID
	Ranks   map[WorkspaceID]int
	Limits  RelayLimits
}

// RelayLimits bound what a caller may send; 0 means not limited here.
type RelayLimits struct {
	// BodyBytes is the largest body.
	BodyBytes int64
}

// Route sends requests of one host and path prefix to pools.
type Route struct {
	ID   RouteID
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Split shares the route's requests out; never empty.
	Split []RouteShare
	// Timeout is the longest that a caller is kept waiting for the final answer.
	Timeout time.Duration
	// Target is the time within which an answer is worth most; for a stream,
	// the time to its first event.
	Target time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// MaxSends is how many servers one request may be sent to; 1 or more.
	MaxSends int
	// Streaming: the answer is a stream of events.
	Streaming bool
	// Repeatable: running a request twice does no harm. Resumable: the same,
	// if the second run goes on behind the last event that was passed on.
	Repeatable, Resumable bool
	// Public: callers need no key.
	Public bool
	// Steps is the work to be done before the request itself, in an order in
	// which each step follows those it needs.
	Steps []RouteStep
}

// UsesPool tells whether a step of the route runs in the pool.
func (r *Route) UsesPool(pool PoolID) bool {
	return slices.ContainsFunc(r.Steps, func(s RouteStep) bool { return s.Pool == pool })
}

// RouteShare is one pool's share of a route.
type RouteShare struct {
	Pool   PoolID
	Weight int
}

// RouteStep is one step of preparation, made of pieces that run in batches.
type RouteStep struct {
	// Index is the step's number on the wire.
	Index int
	Pool  PoolID
	// DependsOn are the Index of the steps whose results it needs.
	DependsOn []int
	// ResultBytes is about how large the result of one piece is.
	ResultBytes int64
}

// RelayPool is what the configuration says of the servers that do the same work.
type RelayPool struct {
	ID PoolID
	// ColdDuration is how long a server stays cold after its start; 0 if it never is.
	ColdDuration time.Duration
	// ColdRate is how many requests a second a cold server bears, from all VMs
	// together.
	ColdRate float64
	// Batch is set for pools whose servers make pieces.
	Batch *BatchLimits
	// Engine is set for pools of model engines.
	Engine *EngineLimits
}

// RunsPieces tells whether this is a pool whose servers make pieces.
func (p *RelayPool) RunsPieces() bool { return p != nil && p.Batch != nil }

// EngineLimits say what one model engine bears.
type EngineLimits struct {
	// Slots is how many requests it runs at once.
	Slots int
	// TokenCapacity is how many tokens of prompts and answers it holds.
	TokenCapacity Tokens
	// FetchRate is how many tokens of a prompt's KV cache it fetches from another
	// engine in a millisecond; 0 if it can't.
	FetchRate float64
}

// BatchLimits say how one server makes pieces.
type BatchLimits struct {
	// MaxPieces is the most pieces in one call.
	MaxPieces int
	// CallTime is what a call takes however little it holds; PieceTime what
	// each piece adds, about.
	CallTime, PieceTime time.Duration
	// ResultCapacity is how many bytes of results the server holds at once.
	ResultCapacity int64
	// ResultRetention is how long it keeps a result that nobody freed.
	ResultRetention time.Duration
}

// ServerEntry is a backend server as it has listed itself on the platform.
type ServerEntry struct {
	ID   ServerID
	Pool PoolID
	// Addr is where it takes requests, as ip:port.
	Addr string
	Zone ZoneID
	// Slots is how many requests it runs at once; 0 if it doesn't say.
	Slots int
	// Leaving: it takes no new work.
	Leaving bool
	// ColdRemaining is how much longer it said that it stays cold.
	ColdRemaining time.Duration
	// StartedMs tells two starts under one id apart: the Unix millisecond of the
	// start, 0 if it doesn't say.
	StartedMs int64
}

// ZoneClosed says that operators took a zone out: nothing more is sent to its
// servers.
type ZoneClosed struct{ Zone ZoneID }

// Record is what one item of the platform's store says: *Catalog, Listing or
// ZoneClosed.
type Record interface{ fact() }

func (*Catalog) fact()    {}
func (ServerEntry) fact() {}
func (ZoneClosed) fact()  {}

// Item is one item of the platform's store, as it is kept there. Peers pass
// items on to VMs that don't reach the store.
type Item struct {
	Key      string   `cbor:"1,keyasint"`
	Value    []byte   `cbor:"2,keyasint,omitempty"`
	Revision Revision `cbor:"3,keyasint"`
	// Deleted: the item was deleted at this revision.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// ItemChange is an Item on its way between VMs.
type ItemChange struct {
	Item
	// Packed: Value is packed, as the difference to the value that the key had at the
	// revision Base, or to nothing if that is 0.
	Packed bool     `cbor:"5,keyasint,omitempty"`
	Base   Revision `cbor:"6,keyasint,omitempty"`
}

// Errors of a Store.
var (
	// ErrStoreUnreachable: no whole answer came in time.
	ErrStoreUnreachable = errors.New("store unreachable")
	// ErrStoreBusy: the store turned the call away.
	ErrStoreBusy = errors.New("store busy")
	// ErrHistoryGone: the store no longer knows all changes since then; read anew.
	ErrHistoryGone = errors.New("store history gone")
	// ErrBadStoreReply: the answer makes no sense.
	ErrBadStoreReply = errors.New("bad reply of the store")
	// ErrUnknownRecord: the item says nothing that the system knows.
	ErrUnknownRecord = errors.New("item says nothing known")
)

// Store reads the platform's store. Implementations are safe for use by many
// goroutines, and never repeat a call by themselves.
type Store interface {
	// List reads all items. Changes after the returned revision may or may not
	// be in them.
	List(ctx context.Context) ([]Item, Revision, error)
	// ListReplica is List from any copy of the store. The copy may be seconds behind; the
	// revision is then an earlier one, and Watch tells what the copy lacks. It costs a
	// small part of List.
	ListReplica(ctx context.Context) ([]Item, Revision, error)
	// Watch returns the changes after a revision, waiting for one at most for
	// wait, and the revision up to which these are all.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Item, Revision, error)
	// ParseRecord tells what an item says; ErrUnknownRecord if nothing.
	ParseRecord(item Item) (Record, error)
	// IsRecordKey tells whether an item with this key can say a Fact.
	IsRecordKey(key string) bool
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// RequestHead is what the head of a relayed request says.
type RequestHead struct {
	// ID is the caller's own name for this attempt; each attempt has another.
	ID RequestID
	// Method, Host and Target are passed on unchanged; Target is the path with
	// its query.
	Method, Host, Target string
	// Header is passed on, without what concerns only one connection and what
	// the system sets itself.
	Header http.Header
	// Key is the caller's API key; empty if it gave none.
	Key string
	// Budget is how long the caller waits; 0 if it doesn't say.
	Budget time.Duration
	// LastEventID is the id of the last event that the caller has; empty if none.
	LastEventID string
	// Prompt are the parts of the prompt in order; the last one is the
	// request's or its session's own.
	Prompt []PromptPart
	// InputTokens and MaxOutputTokens are the prompt's tokens and the most tokens of the answer.
	InputTokens, MaxOutputTokens Tokens
	// Pieces is how many pieces each step of the route has, by Index.
	Pieces []int
	// PieceKey goes with pieces of steps that need no other.
	PieceKey string
}

// Hop is what the system adds to a relayed request on its way to one server.
type Hop struct {
	Server ServerEntry
	// Budget is how long the server may take.
	Budget    time.Duration
	Workspace WorkspaceID
	// Urgency is 0 for the most urgent to 9, below 0 to leave it out.
	Urgency int
	// LastEventID is the id of the last event that the caller has; empty if none.
	LastEventID string
	// Inputs are the results that the server is to fetch.
	Inputs []ResultRef
	// CacheSource is the address of the server whose KV cache has more of the prompt;
	// empty if none is to be asked.
	CacheSource string
}

// ResultRef names a piece's result at the server that made it.
type ResultRef string

// ReplyHead is what the head of a server's answer says.
type ReplyHead struct {
	// ID is the request that it answers; empty if it doesn't say.
	ID RequestID
	// Sealed: the answer has the server's own mark, without which a success
	// isn't the server's.
	Sealed bool
	// NotRun: the server says that it has not run the request.
	NotRun bool
	// OtherServer: another server than the expected one has the address.
	OtherServer bool
	// InputsGone: a result that the request needs no longer exists.
	InputsGone bool
	// Running and Waiting are the server's load; Running is below 0 if it
	// doesn't say.
	Running, Waiting int
	// ColdRemaining is how much longer the server stays cold.
	ColdRemaining time.Duration
	// Limit is how many requests it takes from all VMs together; 0 if any number. BadLimit
	// is what it said of that if it can't be read; Limit is void then.
	Limit    Rate
	BadLimit string
}

// Piece is one piece of a step, as it is asked for.
type Piece struct {
	Request RequestID `cbor:"1,keyasint"`
	// Step and Number name the piece within its request.
	Step   int `cbor:"2,keyasint"`
	Number int `cbor:"3,keyasint"`
	// Key is set for a step that needs no other, else Inputs.
	Key    string      `cbor:"4,keyasint,omitempty"`
	Inputs []ResultRef `cbor:"5,keyasint,omitempty"`
	// Bytes is about how large the result will be.
	Bytes int64 `cbor:"6,keyasint,omitempty"`
	// Budget is the time after which the result is worth nothing, Aim the time by
	// which it should be there; durations, since clocks of VMs differ.
	Budget time.Duration `cbor:"7,keyasint"`
	Target time.Duration `cbor:"8,keyasint"`
	// PreferredZone is the zone where the result is wanted; empty if it doesn't matter.
	PreferredZone ZoneID `cbor:"9,keyasint,omitempty"`
	// SameZone: all pieces of the step are wanted in one zone, whichever it is.
	SameZone bool `cbor:"10,keyasint,omitempty"`
	// Origin is the caller's request; the same for all pieces of a step, so that it goes
	// once with the call for them.
	Origin RequestRef `cbor:"-"`
}

// PieceEnd is how a piece ended. The set is closed.
type PieceEnd uint8

// The ends of a piece.
const (
	// PieceComplete: the result is there.
	PieceComplete PieceEnd = iota + 1
	// PieceLate: its time was over, or would have been.
	PieceLate
	// PieceInputsGone: a result that it needs no longer exists.
	PieceInputsGone
	// PieceNoCapacity: the server has no room for the result.
	PieceNoCapacity
	// PieceFailed: no server made it.
	PieceFailed
	// PieceMoved: the VM that was asked gathers no more; ask another one.
	PieceMoved
)

// PieceResult answers a Piece.
type PieceResult struct {
	End PieceEnd  `cbor:"1,keyasint"`
	Ref ResultRef `cbor:"2,keyasint,omitempty"`
}

// HopHeaders are the headers of requests and answers that concern one connection
// only, and the length, which the sender of each hop sets anew.
var HopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Dialect is the language that callers and backend servers of the relay speak:
// names and formats, no decisions. Implementations are safe for use by many
// goroutines.
type Dialect interface {
	// ParseRequest reads the head of a caller's request.
	ParseRequest(r *http.Request) (RequestHead, error)
	// NewForwardRequest writes the head of the request to a server.
	NewForwardRequest(ask *RequestHead, hop Hop) (*http.Request, error)
	// ParseReply reads the head of a server's answer.
	ParseReply(r *http.Response) ReplyHead
	// NewPiecesRequest writes a call for pieces, and Results reads its answer, which
	// has a result for each piece.
	NewPiecesRequest(server ServerEntry, pieces []Piece) (*http.Request, error)
	ParseResults(body []byte, pieces int) ([]PieceResult, error)
	// NewFreeRequest writes a call that gives results up.
	NewFreeRequest(addr string, refs []ResultRef) (*http.Request, error)
	// Producer is the address of the server that holds the result.
	Producer(ref ResultRef) string
	// EventID returns the id of an event of a stream; empty if it has none.
	EventID(event []byte) string
}

// ErrBadRequestHead is returned by a Dialect for a request that names itself wrongly.
var ErrBadRequestHead = errors.New("bad request head")
