package stand

import (
	"net/http"

	shed "jasmineshed"
	"jasmineshed/internal/wire"
)

// serveOnce serves a call that is not streamed: its answer is a single body.
func (e *Engine) serveOnce(w http.ResponseWriter, r *http.Request, answer func() any) {
	run := e.beginCall(w, r)
	if run == nil {
		return
	}
	complete := false
	defer func() { e.finishCall(run, complete, false, 0) }()
	ctx, cancel := withBudget(r)
	defer cancel()
	if !pause(ctx, e.scaleDuration(e.cfg.CallTime)) {
		return
	}
	reply(w, http.StatusOK, answer())
	complete = true
}

func (e *Engine) serveEmbed(w http.ResponseWriter, r *http.Request) {
	var req wire.EmbeddingRequest
	if !readBody(w, r, &req) {
		return
	}
	e.serveOnce(w, r, func() any {
		return wire.EmbeddingResponse{Data: []wire.Embedding{{Embedding: Vector(req.Input)}}}
	})
}

func (e *Engine) serveRetrieve(w http.ResponseWriter, r *http.Request) {
	var req wire.RetrieveRequest
	if !readBody(w, r, &req) {
		return
	}
	e.serveOnce(w, r, func() any {
		return wire.RetrieveResponse{Passages: Passages(req.Query, req.Limit)}
	})
}

func (e *Engine) serveRerank(w http.ResponseWriter, r *http.Request) {
	var req wire.RerankRequest
	if !readBody(w, r, &req) {
		return
	}
	e.serveOnce(w, r, func() any {
		return rerank(req)
	})
}

func rerank(req wire.RerankRequest) wire.RerankResponse {
	passages := make([]shed.Passage, len(req.Documents))
	index := make(map[string]int, len(req.Documents))
	for i, text := range req.Documents {
		passages[i].Text = text
		index[text] = i
	}
	var out wire.RerankResponse
	for _, p := range Rerank(req.Query, passages) {
		out.Results = append(out.Results, wire.RankedDocument{Index: index[p.Text], Score: p.Score})
	}
	return out
}
