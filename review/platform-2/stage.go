package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// piece is a result that lies at a stage replica: of which request, stage and piece it is.
type piece struct {
	request       string
	stage, number int
}

// results are the results that lie at all stage replicas.
type results struct {
	mu     sync.Mutex
	pieces map[string]piece
}

func newResults() *results { return &results{pieces: map[string]piece{}} }

func (s *results) get(handle string) (piece, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pieces[handle]
	return p, ok
}

// stageReplica produces pieces: one call at a time, two more may wait.
type stageReplica struct {
	*replica
	world    *world
	results  *results
	callTime time.Duration
	itemTime time.Duration
	keep     time.Duration

	turn    sync.Mutex
	waitMu  sync.Mutex
	waiting int
	// onAnswer is called with each answer to a call for pieces, before is called once the next request on its
	// connection has been read.
	onAnswer func(c *conn, resp *response)
	before   func(c *conn, req *http.Request)
}

func startStage(w *world, id, service, zone string, s *results) (*stageReplica, error) {
	out := &stageReplica{
		world: w, results: s, callTime: 150 * time.Millisecond, itemTime: 16 * time.Millisecond, keep: 4 * time.Second,
	}
	var err error
	out.replica, err = startReplica(id, service, zone, "v1", 1, func(_ *replica, c *conn, req *http.Request, body []byte) *response {
		return out.serveCall(c, req, body)
	})
	return out, err
}

func jsonAnswer(v any) *response {
	return &response{status: http.StatusOK, header: http.Header{"Content-Type": {"application/json"}}, body: mustJSON(v)}
}

func (s *stageReplica) serveCall(c *conn, req *http.Request, body []byte) *response {
	if s.before != nil {
		s.before(c, req)
	}
	switch req.URL.Path {
	case "/api/stage-run":
		resp := s.run(body)
		if s.onAnswer != nil && resp.status == http.StatusOK {
			s.onAnswer(c, resp)
		}
		return resp
	case "/api/stage-free":
		return s.free(body)
	case "/api/report":
		return jsonAnswer(object{"stage": "ready", "models": []any{}, "waiting": 0, "busy": false, "free_mb": 40.0, "sequence": 0})
	}
	return &response{status: http.StatusNotFound}
}

func (s *stageReplica) run(body []byte) *response {
	var call struct {
		Items []struct {
			ID     string   `json:"id"`
			Stage  int      `json:"stage"`
			Piece  int      `json:"piece"`
			LeftMS int64    `json:"left_ms"`
			Key    string   `json:"key"`
			Inputs []string `json:"inputs"`
		} `json:"items"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return &response{status: http.StatusBadRequest}
	}
	s.waitMu.Lock()
	if s.waiting >= 3 {
		s.waitMu.Unlock()
		return &response{status: http.StatusServiceUnavailable, header: http.Header{"X-Not-Executed": {"1"}}}
	}
	s.waiting++
	s.waitMu.Unlock()
	arrived := time.Now()
	s.turn.Lock()
	defer func() {
		s.turn.Unlock()
		s.waitMu.Lock()
		s.waiting--
		s.waitMu.Unlock()
	}()
	type answer struct {
		Handle string `json:"handle,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
	out := make([]answer, len(call.Items))
	work := s.callTime
	for i, it := range call.Items {
		switch {
		case it.LeftMS > 0 && time.Since(arrived) > time.Duration(it.LeftMS)*time.Millisecond:
			out[i].Reason = "late"
			continue
		case !s.haveInputs(it.ID, it.Inputs):
			out[i].Reason = "gone"
			continue
		}
		out[i].Handle = s.addr + "/" + newID()
		work += s.itemTime
	}
	time.Sleep(work)
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	for i, it := range call.Items {
		if out[i].Handle == "" {
			continue
		}
		s.results.pieces[out[i].Handle] = piece{it.ID, it.Stage, it.Piece}
		handle := out[i].Handle
		time.AfterFunc(s.keep, func() { s.drop([]string{handle}) })
		s.world.note("stage %s made stage %d piece %d of %s as %s", s.id, it.Stage, it.Piece, it.ID, out[i].Handle)
	}
	return jsonAnswer(object{"items": out})
}

// haveInputs reports whether the results exist, and checks whose they are.
func (s *stageReplica) haveInputs(request string, handles []string) bool {
	for _, h := range handles {
		p, ok := s.results.get(h)
		if !ok {
			return false
		}
		if p.request != request {
			s.world.breaks("MIXED: a piece of request %s is given %s, which is a result of request %s", request, h, p.request)
		}
	}
	return true
}

func (s *stageReplica) drop(handles []string) {
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	for _, h := range handles {
		delete(s.results.pieces, h)
	}
}

func (s *stageReplica) free(body []byte) *response {
	var call struct {
		Handles []string `json:"handles"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return &response{status: http.StatusBadRequest}
	}
	s.drop(call.Handles)
	return jsonAnswer(object{})
}

// modelReplica writes streams.
type modelReplica struct {
	*replica
	world       *world
	results     *results
	events      int
	prefill     time.Duration
	pause       time.Duration
	needsInputs bool
}

func startModel(w *world, id, zone, version string, s *results) (*modelReplica, error) {
	out := &modelReplica{world: w, results: s, events: 10, prefill: 150 * time.Millisecond, pause: 20 * time.Millisecond, needsInputs: s != nil}
	var err error
	out.replica, err = startReplica(id, "model", zone, version, 64, func(_ *replica, _ *conn, req *http.Request, _ []byte) *response {
		return out.serveCall(req)
	})
	return out, err
}

func (m *modelReplica) serveCall(req *http.Request) *response {
	switch req.URL.Path {
	case "/api/report":
		return jsonAnswer(object{
			"stage": "hybrid", "models": []any{object{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
			"waiting": 0, "running": 0, "kv_used": 0, "kv_total": 458010, "handles": 0, "born": m.born,
		})
	case "/api/kv-list":
		return jsonAnswer(object{"epoch": 1, "next": 1, "held": []any{}})
	}
	id := req.Header.Get("X-Request-Id")
	if id == "" {
		return &response{status: http.StatusBadRequest, header: http.Header{"X-Not-Executed": {"1"}}}
	}
	if m.needsInputs {
		if resp := m.fetchInputs(id, req.Header.Get("X-Inputs")); resp != nil {
			return resp
		}
	}
	m.mu.Lock()
	version := m.version
	m.mu.Unlock()
	m.world.note("model %s of %s runs %s after event %q, inputs %s", m.id, version, id, req.Header.Get("Last-Event-Id"), req.Header.Get("X-Inputs"))
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	m.enter()
	return &response{
		status: http.StatusOK, header: http.Header{"X-Response-Seal": {"seal-" + m.id}, "X-Weight-Versions": {"1"}},
		stream: func(write func(string) error) error {
			defer m.leave()
			time.Sleep(m.prefill)
			for n := first; n <= m.events; n++ {
				if err := write(fmt.Sprintf("id: %d\ndata: %s %d of %d by %s\n\n", n, id, n, m.events, version)); err != nil {
					return err
				}
				time.Sleep(m.pause)
			}
			return nil
		},
	}
}

// fetchInputs fetches the inputs of a request, and checks whose they are.
func (m *modelReplica) fetchInputs(id, handles string) *response {
	if handles == "" {
		return &response{status: http.StatusBadRequest, header: http.Header{"X-Not-Executed": {"1"}}}
	}
	var inputs []piece
	for _, h := range strings.Split(handles, ",") {
		p, ok := m.results.get(strings.TrimSpace(h))
		if !ok {
			return &response{status: http.StatusConflict, header: http.Header{"X-Not-Executed": {"1"}}}
		}
		inputs = append(inputs, p)
	}
	for _, p := range inputs {
		if p.request != id {
			m.world.breaks("MIXED: model %s runs request %s with inputs %s, a result of request %s (stage %d, piece %d)",
				m.id, id, handles, p.request, p.stage, p.number)
		}
	}
	return nil
}
