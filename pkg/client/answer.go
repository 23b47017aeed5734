package client

// Answer is the one final answer to a request.
type Answer struct {
	// Status is the short name of the HTTP status, such as "not_found".
	Status    string  `json:"status"`
	Outcome   Outcome `json:"outcome"`
	Reason    string  `json:"reason"`
	Message   string  `json:"message"`
	RequestID string  `json:"request_id"`
	TraceID   string  `json:"trace_id"`
	// Rule is nil if no rule is behind the answer.
	Rule *Rule `json:"rule"`
	// RetryAfterMs says when to come back; 0 if that won't help.
	RetryAfterMs int64         `json:"retry_after_ms"`
	Stages       []StageReport `json:"stages"`
	Payload      Payload       `json:"payload"`
}

// Outcome is how a request ended. The set is closed.
type Outcome string

// The outcomes.
const (
	Complete  Outcome = "complete"
	NotRun    Outcome = "not_run"
	Refused   Outcome = "refused"
	Unknown   Outcome = "outcome_unknown"
	Failed    Outcome = "failed"
	Deadline  Outcome = "deadline_exceeded"
	Cancelled Outcome = "cancelled"
)

// Rule is the line of the rules behind a decision.
type Rule struct {
	Line        int    `json:"line"`
	RequestedBy string `json:"asked"`
}

// StageReport says what ran of one stage, and what it cost.
type StageReport struct {
	Stage    string  `json:"stage"`
	Server   string  `json:"server"`
	Zone     string  `json:"zone"`
	Attempts int     `json:"attempts"`
	Ran      bool    `json:"ran"`
	TookMs   float64 `json:"took_ms"`
	Tokens   uint32  `json:"tokens"`
	Cost     Cost    `json:"cost"`
}

// Cost is in millionths of a server-second.
type Cost struct {
	Useful uint64 `json:"useful"`
	Wasted uint64 `json:"wasted"`
}

// Payload is what the stages produced.
type Payload struct {
	Text     string    `json:"text"`
	Receipt  string    `json:"receipt"`
	Passages []Passage `json:"passages"`
	Vector   []float32 `json:"vector"`
}

// Passage is one piece of text that a retriever found.
type Passage struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score"`
}

// Ticket allows one run of a non-idempotent pipeline.
type Ticket struct {
	RequestID   string `json:"request_id"`
	ExpiresInMs int64  `json:"expires_in_ms"`
}
