package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	shed "jasmineshed"
	"jasmineshed/internal/wire"
)

// Limits on replies.
const (
	// maxReply bounds a reply that isn't streamed, in bytes.
	maxReply = 4 << 20
	// maxVectorLength bounds the length of an embedding.
	maxVectorLength = 16 << 10
	// maxPassages bounds the number of passages that a retriever returns.
	maxPassages = 1000
	// maxReceipt bounds a service's receipt in bytes.
	maxReceipt = 64 << 10
	// retrieveLimit is the number of passages requested from a retriever.
	retrieveLimit = 8
)

var errBadReply = errors.New("malformed reply")

// request returns the path and payload of the call's request.
func (c *call) request() (path string, payload any) {
	switch c.start.Stage.Kind {
	case shed.KindEncode:
		return wire.PathEmbeddings, wire.EmbeddingRequest{Model: string(c.start.Model), Input: c.in.Input}
	case shed.KindRetrieve:
		return wire.PathRetrieve, wire.RetrieveRequest{Query: c.in.Input, Vector: c.in.Vector, Limit: retrieveLimit}
	case shed.KindRerank:
		return wire.PathRerank, c.rerankRequest()
	case shed.KindGenerate:
		return wire.PathChat, c.chatRequest()
	default:
		return wire.PathCall, wire.ServiceRequest{
			Request: c.start.Call.Request,
			Input:   c.in.Input,
			Text:    c.in.Text,
		}
	}
}

func (c *call) rerankRequest() wire.RerankRequest {
	req := wire.RerankRequest{
		Model:     string(c.start.Model),
		Query:     c.in.Input,
		Documents: make([]string, len(c.in.Passages)),
	}
	for i, p := range c.in.Passages {
		req.Documents[i] = p.Text
	}
	return req
}

// chatRequest puts the passages first, so that prompts about the same passages share a prefix,
// then the text of an earlier stage, and the caller's input last.
func (c *call) chatRequest() wire.ChatRequest {
	req := wire.ChatRequest{
		Model:         string(c.start.Model),
		MaxTokens:     c.in.MaxTokens,
		Stream:        true,
		StreamOptions: wire.StreamOptions{IncludeUsage: true},
	}
	for _, p := range c.in.Passages {
		req.Messages = append(req.Messages, wire.Message{Role: wire.RoleSystem, Content: p.Text})
	}
	if c.in.Text != "" {
		req.Messages = append(req.Messages, wire.Message{Role: wire.RoleAssistant, Content: c.in.Text})
	}
	req.Messages = append(req.Messages, wire.Message{Role: wire.RoleUser, Content: c.in.Input})
	return req
}

// readReply reads a reply of status 200.
func (c *call) readReply(ctx context.Context, reply io.Reader) shed.CallEnded {
	if c.start.Stage.Kind == shed.KindGenerate {
		return c.stream(ctx, reply)
	}
	data, err := io.ReadAll(io.LimitReader(reply, maxReply+1))
	if err != nil {
		return c.endFailed(ctx, err, true)
	}
	result, err := c.result(data)
	if err != nil {
		return c.newEnd(shed.EndBadReply, shed.ReasonBadReply)
	}
	c.tokens = 1
	return c.endComplete(result, reply)
}

// result returns the payload after the stage, or errBadReply.
func (c *call) result(data []byte) (shed.Payload, error) {
	if len(data) > maxReply {
		return shed.Payload{}, fmt.Errorf("%w: longer than %d bytes", errBadReply, maxReply)
	}
	out := c.in
	var err error
	switch c.start.Stage.Kind {
	case shed.KindEncode:
		out.Vector, err = readVector(data)
	case shed.KindRetrieve:
		out.Passages, err = readPassages(data)
	case shed.KindRerank:
		out.Passages, err = readRanks(data, c.in.Passages)
	default:
		out.Receipt, err = readReceipt(data)
	}
	return out, err
}

func readVector(data []byte) ([]float32, error) {
	var reply wire.EmbeddingResponse
	if err := unmarshal(data, &reply); err != nil {
		return nil, err
	}
	if len(reply.Data) != 1 {
		return nil, fmt.Errorf("%w: %d embeddings for one input", errBadReply, len(reply.Data))
	}
	v := reply.Data[0].Embedding
	if len(v) == 0 || len(v) > maxVectorLength {
		return nil, fmt.Errorf("%w: embedding of %d numbers", errBadReply, len(v))
	}
	return v, nil
}

func readPassages(data []byte) ([]shed.Passage, error) {
	var reply wire.RetrieveResponse
	if err := unmarshal(data, &reply); err != nil {
		return nil, err
	}
	if reply.Passages == nil || len(reply.Passages) > maxPassages {
		return nil, fmt.Errorf("%w: %d passages", errBadReply, len(reply.Passages))
	}
	return reply.Passages, nil
}

// readRanks puts the passages in the reply's order. Each must occur exactly once: a reranker
// that drops or duplicates one has not answered this request.
func readRanks(data []byte, passages []shed.Passage) ([]shed.Passage, error) {
	var reply wire.RerankResponse
	if err := unmarshal(data, &reply); err != nil {
		return nil, err
	}
	if len(reply.Results) != len(passages) {
		return nil, fmt.Errorf("%w: %d ranks for %d passages", errBadReply, len(reply.Results), len(passages))
	}
	ranked := make([]shed.Passage, 0, len(passages))
	seen := make([]bool, len(passages))
	for _, r := range reply.Results {
		if r.Index < 0 || r.Index >= len(passages) || seen[r.Index] {
			return nil, fmt.Errorf("%w: invalid or repeated index %d", errBadReply, r.Index)
		}
		seen[r.Index] = true
		p := passages[r.Index]
		p.Score = r.Score
		ranked = append(ranked, p)
	}
	return ranked, nil
}

func readReceipt(data []byte) (string, error) {
	var reply wire.ServiceResponse
	if err := unmarshal(data, &reply); err != nil {
		return "", err
	}
	if reply.Receipt == "" || len(reply.Receipt) > maxReceipt {
		return "", fmt.Errorf("%w: receipt of %d bytes", errBadReply, len(reply.Receipt))
	}
	return reply.Receipt, nil
}

func unmarshal(data []byte, reply any) error {
	if err := json.Unmarshal(data, reply); err != nil {
		return fmt.Errorf("%w: %w", errBadReply, err)
	}
	return nil
}
