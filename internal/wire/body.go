package wire

import (
	"time"

	shed "jasmineshed"
)

// ChatRequest is a request to an engine to generate text.
type ChatRequest struct {
	Model         string        `json:"model"`
	Messages      []Message     `json:"messages"`
	MaxTokens     shed.Tokens   `json:"max_tokens,omitempty"`
	Stream        bool          `json:"stream"`
	StreamOptions StreamOptions `json:"stream_options"`
}

// StreamOptions of a ChatRequest.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one message of a conversation in a ChatRequest.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Roles of a Message.
const (
	RoleSystem    = "system"
	RoleUser      = "user"
	RoleAssistant = "assistant"
)

// Chunk is one event of a generated stream.
type Chunk struct {
	ID      string      `json:"id"`
	Choices []Choice    `json:"choices"`
	Usage   *Usage      `json:"usage,omitempty"`
	Error   *ErrorReply `json:"error,omitempty"`
}

// Choice of a Chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a Choice adds to the stream.
type Delta struct {
	Content string `json:"content"`
}

// Usage counts the tokens of a whole stream, including its resumed parts.
type Usage struct {
	PromptTokens     shed.Tokens `json:"prompt_tokens"`
	CompletionTokens shed.Tokens `json:"completion_tokens"`
}

// ErrorReply is the body of an error.
type ErrorReply struct {
	Message string `json:"message"`
}

// EmbeddingRequest is a request for an embedding.
type EmbeddingRequest struct {
	Model string `json:"model"`
	Input string `json:"input"`
}

// EmbeddingResponse is the answer to EmbeddingRequest.
type EmbeddingResponse struct {
	Data []Embedding `json:"data"`
}

// Embedding is one embedding vector.
type Embedding struct {
	Embedding []float32 `json:"embedding"`
}

// RerankRequest is a request to order documents by relevance to the query.
type RerankRequest struct {
	Model     string   `json:"model"`
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
}

// RerankResponse is the answer to RerankRequest, ordered by descending score.
type RerankResponse struct {
	Results []RankedDocument `json:"results"`
}

// RankedDocument is one document, by its index in the request.
type RankedDocument struct {
	Index int     `json:"index"`
	Score float64 `json:"relevance_score"`
}

// RetrieveRequest is a request for passages.
type RetrieveRequest struct {
	Query  string    `json:"query"`
	Vector []float32 `json:"vector,omitempty"`
	Limit  int       `json:"limit"`
}

// RetrieveResponse is the answer to RetrieveRequest.
type RetrieveResponse struct {
	Passages []shed.Passage `json:"passages"`
}

// ServiceRequest is a request to a plain service (shed.KindService).
type ServiceRequest struct {
	Request shed.RequestID `json:"request"`
	Input   string         `json:"input"`
	Text    string         `json:"text,omitempty"`
}

// ServiceResponse is the answer to ServiceRequest.
type ServiceResponse struct {
	Receipt string `json:"receipt"`
}

// Order tells an engine which model and role to take.
type Order struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role"`
}

// Load is the JSON form of shed.LoadReport that an engine sends.
type Load struct {
	Boot     string `json:"boot"`
	Sequence uint64 `json:"sequence"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Warm     bool   `json:"warm"`
	Done     uint64 `json:"done"`
	Fence    uint64 `json:"fence"`
	Model    string `json:"model"`
	Role     string `json:"role"`
	AgeMS    int64  `json:"age_ms"`
}

// Report converts l to a shed.LoadReport.
func (l Load) Report() shed.LoadReport {
	return shed.LoadReport{
		Boot:     l.Boot,
		Sequence: l.Sequence,
		Running:  l.Running,
		Waiting:  l.Waiting,
		Warm:     l.Warm,
		Done:     l.Done,
		Fence:    l.Fence,
		Model:    l.Model,
		Role:     l.Role,
		Age:      time.Duration(l.AgeMS) * time.Millisecond,
	}
}

// CacheEvents is the list of prefix-cache events after a sequence number.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent says that a prompt prefix was stored or evicted.
type CacheEvent struct {
	// Sequence increases by one per event, so that lost events show as a gap.
	Sequence uint64 `json:"sequence"`
	Stored   bool   `json:"stored"`
	Prefix   uint64 `json:"prefix"`
}

// VM is one entry of the platform's list of VMs.
type VM struct {
	VM      shed.VM     `json:"vm"`
	Zone    shed.ZoneID `json:"zone"`
	Leaving bool        `json:"leaving"`
}
