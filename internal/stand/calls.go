package stand

import (
	"net/http"

	shed "jasmineshed"
	"jasmineshed/internal/wire"
)

// serveOnce runs a call that answers with one body.
func (e *Engine) serveOnce(w http.ResponseWriter, r *http.Request, answer func() any) {
	run := e.begin(w, r)
	if run == nil {
		return
	}
	whole := false
	defer func() { e.finish(run, whole, false, 0) }()
	ctx, cancel := budget(r)
	defer cancel()
	if !pause(ctx, e.aged(e.cfg.CallTime)) {
		return
	}
	reply(w, http.StatusOK, answer())
	whole = true
}

func (e *Engine) serveEmbed(w http.ResponseWriter, r *http.Request) {
	var ask wire.EmbeddingRequest
	if !read(w, r, &ask) {
		return
	}
	e.serveOnce(w, r, func() any {
		return wire.EmbeddingResponse{Data: []wire.Embedding{{Embedding: Vector(ask.Input)}}}
	})
}

func (e *Engine) serveRetrieve(w http.ResponseWriter, r *http.Request) {
	var ask wire.RetrieveRequest
	if !read(w, r, &ask) {
		return
	}
	e.serveOnce(w, r, func() any {
		return wire.RetrieveResponse{Passages: Passages(ask.Query, ask.Limit)}
	})
}

func (e *Engine) serveRerank(w http.ResponseWriter, r *http.Request) {
	var ask wire.RerankRequest
	if !read(w, r, &ask) {
		return
	}
	e.serveOnce(w, r, func() any {
		return rerank(ask)
	})
}

func rerank(ask wire.RerankRequest) wire.RerankResponse {
	passages := make([]shed.Passage, len(ask.Documents))
	place := make(map[string]int, len(ask.Documents))
	for i, text := range ask.Documents {
		passages[i].Text = text
		place[text] = i
	}
	var out wire.RerankResponse
	for _, p := range Rerank(ask.Query, passages) {
		out.Results = append(out.Results, wire.RankedDocument{Index: place[p.Text], Score: p.Score})
	}
	return out
}
