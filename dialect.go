package shed

import (
	"errors"
	"net/http"
)

// HopHeaders are the hop-by-hop headers of requests and answers, and the length,
// which the sender of each hop sets itself.
var HopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Dialect is the protocol of callers and backend servers of the relay: names and
// formats, no decisions. Implementations are safe for concurrent use.
type Dialect interface {
	// ParseRequest parses the head of a caller's request.
	ParseRequest(r *http.Request) (RequestHead, error)
	// NewForwardRequest returns the head of the request to a server.
	NewForwardRequest(head *RequestHead, hop Hop) (*http.Request, error)
	// ParseReply parses the head of a server's answer.
	ParseReply(r *http.Response) ReplyHead
	// NewPiecesRequest returns a call for pieces, and ParseResults parses its answer, which
	// has a result for each piece.
	NewPiecesRequest(server ServerEntry, pieces []Piece) (*http.Request, error)
	ParseResults(body []byte, pieces int) ([]PieceResult, error)
	// NewProbeRequest returns a request that a server answers at once and never runs.
	NewProbeRequest(addr string) (*http.Request, error)
	// NewReportRequest returns a call that a server answers with its state without a slot, and
	// ParseReport parses the answer.
	NewReportRequest(server ServerEntry) (*http.Request, error)
	ParseReport(body []byte) (ServerReport, error)
	// NewCacheRequest returns a call that a server answers with the parts of prompts in its cache, and
	// ParseCache parses the answer.
	NewCacheRequest(server ServerEntry) (*http.Request, error)
	ParseCache(body []byte) ([]PromptPart, error)
	// NewFreeRequest returns a call that releases results.
	NewFreeRequest(addr string, refs []ResultRef) (*http.Request, error)
	// Producer returns the address of the server that produced and holds the result.
	Producer(ref ResultRef) string
	// EventID returns the id of an event of a stream; empty if it has none.
	EventID(event []byte) string
}

// ServerReport is what a backend server reports of its state.
type ServerReport struct {
	// FreeBytes is the free result capacity of a server that runs pieces.
	FreeBytes int64
}

// ErrBadReport is returned by a Dialect for a report that can't be parsed or lacks the free capacity.
var ErrBadReport = errors.New("bad report of a server")

// ErrBadCache is returned by a Dialect for a list of cached parts that can't be parsed.
var ErrBadCache = errors.New("bad list of cached parts of a server")

// ErrBadRequestHead is returned by a Dialect for a request with an invalid head, such as one
// without exactly one id.
var ErrBadRequestHead = errors.New("bad request head")
