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
	// maxVector bounds an embedding.
	maxVector = 16 << 10
	// maxPassages bounds what a retriever gives.
	maxPassages = 1000
	// maxReceipt bounds a service's receipt in bytes.
	maxReceipt = 64 << 10
	// passages is how many a retriever is asked for.
	passages = 8
)

var errBadReply = errors.New("reply makes no sense")

// question is where the call goes and what it asks.
func (c *call) question() (path string, ask any) {
	switch c.start.Stage.Kind {
	case shed.KindEncode:
		return wire.PathEmbeddings, wire.EmbeddingRequest{Model: string(c.start.Model), Input: c.in.Input}
	case shed.KindRetrieve:
		return wire.PathRetrieve, wire.RetrieveRequest{Query: c.in.Input, Vector: c.in.Vector, Limit: passages}
	case shed.KindRerank:
		return wire.PathRerank, c.rerank()
	case shed.KindGenerate:
		return wire.PathChat, c.chat()
	default:
		return wire.PathCall, wire.ServiceRequest{
			Request: c.start.Call.Request,
			Input:   c.in.Input,
			Text:    c.in.Text,
		}
	}
}

func (c *call) rerank() wire.RerankRequest {
	ask := wire.RerankRequest{
		Model:     string(c.start.Model),
		Query:     c.in.Input,
		Documents: make([]string, len(c.in.Passages)),
	}
	for i, p := range c.in.Passages {
		ask.Documents[i] = p.Text
	}
	return ask
}

// chat puts the passages first, so that prompts about the same passages share
// a prefix, then the text of an earlier stage, and the caller's input last.
func (c *call) chat() wire.ChatRequest {
	ask := wire.ChatRequest{
		Model:         string(c.start.Model),
		MaxTokens:     c.in.MaxTokens,
		Stream:        true,
		StreamOptions: wire.StreamOptions{IncludeUsage: true},
	}
	for _, p := range c.in.Passages {
		ask.Messages = append(ask.Messages, wire.Message{Role: wire.RoleSystem, Content: p.Text})
	}
	if c.in.Text != "" {
		ask.Messages = append(ask.Messages, wire.Message{Role: wire.RoleAssistant, Content: c.in.Text})
	}
	ask.Messages = append(ask.Messages, wire.Message{Role: wire.RoleUser, Content: c.in.Input})
	return ask
}

// answer reads a reply of status 200.
func (c *call) answer(ctx context.Context, reply io.Reader) shed.CallEnded {
	if c.start.Stage.Kind == shed.KindGenerate {
		return c.stream(ctx, reply)
	}
	data, err := io.ReadAll(io.LimitReader(reply, maxReply+1))
	if err != nil {
		return c.failed(ctx, err, true)
	}
	result, err := c.result(data)
	if err != nil {
		return c.end(shed.EndBadReply, shed.ReasonBadReply)
	}
	c.tokens = 1
	return c.complete(result, reply)
}

// result is the payload after the stage, or errBadReply.
func (c *call) result(data []byte) (shed.Payload, error) {
	if len(data) > maxReply {
		return shed.Payload{}, fmt.Errorf("%w: over %d bytes", errBadReply, maxReply)
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
	if len(v) == 0 || len(v) > maxVector {
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

// readRanks puts the passages in the reply's order. Each must come once: a
// reranker that drops or doubles one has answered another question.
func readRanks(data []byte, asked []shed.Passage) ([]shed.Passage, error) {
	var reply wire.RerankResponse
	if err := unmarshal(data, &reply); err != nil {
		return nil, err
	}
	if len(reply.Results) != len(asked) {
		return nil, fmt.Errorf("%w: %d ranks for %d passages", errBadReply, len(reply.Results), len(asked))
	}
	ranked := make([]shed.Passage, 0, len(asked))
	seen := make([]bool, len(asked))
	for _, r := range reply.Results {
		if r.Index < 0 || r.Index >= len(asked) || seen[r.Index] {
			return nil, fmt.Errorf("%w: rank of passage %d", errBadReply, r.Index)
		}
		seen[r.Index] = true
		p := asked[r.Index]
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
