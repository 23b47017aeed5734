package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// stageConfig is the part of a service's configuration that is about pieces.
type stageConfig struct {
	Call, Item, Keep time.Duration
	Queue, Batch     int
}

// piece is one item of a call for pieces.
type piece struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	LeftMs int64    `json:"left_ms"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// result is what a handle stands for.
type result struct {
	piece
	expires time.Time
}

// results are the results of all stages of the deployment by handle, and the violations found in their use.
type results struct {
	mu         sync.Mutex
	last       int
	byHandle   map[string]result
	violations []string
}

func newResults() *results { return &results{byHandle: map[string]result{}} }

// add stores a result and returns its handle.
func (r *results) add(addr string, p piece, keep time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	handle := fmt.Sprintf("%s/%08x", addr, r.last)
	r.byHandle[handle] = result{piece: p, expires: time.Now().Add(keep)}
	return handle
}

func (r *results) free(handles []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range handles {
		delete(r.byHandle, h)
	}
}

// fetch fetches the inputs of a request or piece. It returns false if one of them is gone. want is the
// number of pieces of each stage whose results are due. What doesn't belong there is a violation; the
// server itself can't tell and works on. keys are the piece keys behind the inputs.
func (r *results) fetch(what, id string, handles []string, want map[int]int) (ok bool, keys []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []result
	for _, h := range handles {
		res, ok := r.byHandle[h]
		if !ok || time.Now().After(res.expires) {
			return false, nil
		}
		found = append(found, res)
	}
	type place struct{ stage, piece int }
	seen := map[place]bool{}
	for i, res := range found {
		keys = append(keys, res.ID)
		at := place{res.Stage, res.Piece}
		switch {
		case res.ID != id:
			r.violations = append(r.violations, fmt.Sprintf("MIXED: %s of request %s is given %s, the result of piece %d of stage %d of request %s", what, id, handles[i], res.Piece, res.Stage, res.ID))
		case want[res.Stage] == 0:
			r.violations = append(r.violations, fmt.Sprintf("MIXED: %s of request %s is given %s, a result of stage %d", what, id, handles[i], res.Stage))
		case seen[at]:
			r.violations = append(r.violations, fmt.Sprintf("MIXED: %s of request %s is given piece %d of stage %d twice", what, id, res.Piece, res.Stage))
		}
		seen[at] = true
	}
	total := 0
	for _, n := range want {
		total += n
	}
	if len(handles) != total {
		r.violations = append(r.violations, fmt.Sprintf("MIXED: %s of request %s is given %d inputs of %d", what, id, len(handles), total))
	}
	return true, keys
}

// found returns the violations so far.
func (r *results) found() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// pieceCounts is how many pieces of each stage each request of the scene has.
var pieceCounts = []int{1, 1}

// answerStage answers a call of a server that runs pieces.
func (s *server) answerStage(c *serverConn, req *http.Request, body []byte) (keep bool) {
	switch req.URL.Path {
	case "/api/report":
		return s.writeJSON(c, req, http.StatusOK, map[string]any{"waiting": s.waiting.Load(), "busy": s.running.Load() > 0, "free_mb": 40, "sequence": 0})
	case "/api/stage-free":
		var call struct {
			Handles []string `json:"handles"`
		}
		_ = json.Unmarshal(body, &call)
		s.results.free(call.Handles)
		return s.writeJSON(c, req, http.StatusOK, map[string]any{})
	case "/api/stage-run":
		return s.runPieces(c, req, body)
	}
	return s.write(c, req, http.StatusNotFound, nil, nil)
}

func (s *server) runPieces(c *serverConn, req *http.Request, body []byte) (keep bool) {
	var call struct {
		Items []piece `json:"items"`
	}
	if err := json.Unmarshal(body, &call); err != nil || len(call.Items) > s.Stage.Batch {
		return s.write(c, req, http.StatusBadRequest, http.Header{"X-Not-Executed": {"1"}}, nil)
	}
	if int(s.waiting.Add(1)) > s.Stage.Queue+1 {
		s.waiting.Add(-1)
		return s.write(c, req, http.StatusServiceUnavailable, http.Header{"X-Not-Executed": {"1"}}, nil)
	}
	arrived := time.Now()
	s.stageMu.Lock()
	s.waiting.Add(-1)
	s.running.Add(1)
	type item struct {
		Handle string `json:"handle,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
	items := make([]item, len(call.Items))
	work := s.Stage.Call
	for i, p := range call.Items {
		if p.LeftMs > 0 && time.Since(arrived) > time.Duration(p.LeftMs)*time.Millisecond {
			items[i].Reason = "late"
			continue
		}
		if len(p.Inputs) > 0 {
			if ok, _ := s.results.fetch(fmt.Sprintf("piece %d of stage %d", p.Piece, p.Stage), p.ID, p.Inputs, map[int]int{p.Stage - 1: pieceCounts[p.Stage-1]}); !ok {
				items[i].Reason = "gone"
				continue
			}
		}
		work += s.Stage.Item
	}
	time.Sleep(work)
	var made []string
	for i, p := range call.Items {
		if items[i].Reason == "" {
			items[i].Handle = s.results.add(s.Addr, p, s.Stage.Keep)
			made = append(made, fmt.Sprintf("%s/%d/%d=%s", p.ID, p.Stage, p.Piece, items[i].Handle))
		}
	}
	s.running.Add(-1)
	s.stageMu.Unlock()
	s.log("%s ran pieces %v", s.ID, made)
	return s.writeJSON(c, req, http.StatusOK, map[string]any{"items": items})
}
