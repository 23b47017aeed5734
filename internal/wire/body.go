package wire

import (
	"time"

	shed "jasmineshed"
)

// ChatRequest asks an engine to generate.
type ChatRequest struct {
	Model         string        `json:"model"`
	Messages      []Message     `json:"messages"`
	MaxTokens     shed.Tokens   `json:"max_tokens,omitempty"`
	Stream        bool          `json:"stream"`
	StreamOptions StreamOptions `json:"stream_options"`
}

// StreamOptions of a Chat.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one turn of a Chat.
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

// Delta is the next piece of text.
type Delta struct {
	Content string `json:"content"`
}

// Usage counts the tokens of a whole stream, also of its resumed parts.
type Usage struct {
	PromptTokens     shed.Tokens `json:"prompt_tokens"`
	CompletionTokens shed.Tokens `json:"completion_tokens"`
}

// ErrorReply is the body of an error.
type ErrorReply struct {
	Message string `json:"message"`
}

// EmbeddingRequest asks for a vector.
type EmbeddingRequest struct {
	Model string `json:"model"`
	Input string `json:"input"`
}

// EmbeddingResponse answers Embed.
type EmbeddingResponse struct {
	Data []Embedding `json:"data"`
}

// Embedding is one vector.
type Embedding struct {
	Embedding []float32 `json:"embedding"`
}

// RerankRequest asks to order documents by how well they fit the query.
type RerankRequest struct {
	Model     string   `json:"model"`
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
}

// RerankResponse answers Rerank, the best first.
type RerankResponse struct {
	Results []RankedDocument `json:"results"`
}

// RankedDocument is one document, by its index in the question.
type RankedDocument struct {
	Index int     `json:"index"`
	Score float64 `json:"relevance_score"`
}

// RetrieveRequest asks for passages.
type RetrieveRequest struct {
	Query  string    `json:"query"`
	Vector []float32 `json:"vector,omitempty"`
	Limit  int       `json:"limit"`
}

// RetrieveResponse answers Retrieve.
type RetrieveResponse struct {
	Passages []shed.Passage `json:"passages"`
}

// ServiceRequest asks a plain service.
type ServiceRequest struct {
	Request shed.RequestID `json:"request"`
	Input   string         `json:"input"`
	Text    string         `json:"text,omitempty"`
}

// ServiceResponse answers ServiceRequest.
type ServiceResponse struct {
	Receipt string `json:"receipt"`
}

// Order to an engine.
type Order struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role"`
}

// Load is shed.LoadReport as an engine writes it.
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

// Report turns l into the system's own type.
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

// CacheEvents are prefix-cache events after a sequence number.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent tells that a prompt prefix was stored or evicted.
type CacheEvent struct {
	// Sequence shows a gap where events were lost.
	Sequence uint64 `json:"sequence"`
	Stored   bool   `json:"stored"`
	Prefix   uint64 `json:"prefix"`
}

// VM is one line of the platform's list.
type VM struct {
	VM      shed.VM     `json:"vm"`
	Zone    shed.ZoneID `json:"zone"`
	Leaving bool        `json:"leaving"`
}
