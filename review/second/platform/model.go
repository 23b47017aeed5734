package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

func jsonAnswer(v any) *response {
	return &response{status: http.StatusOK, header: http.Header{"Content-Type": {"application/json"}}, body: mustJSON(v)}
}

// modelReplica writes streams.
type modelReplica struct {
	*replica
	world   *world
	events  int
	prefill time.Duration
	pause   time.Duration
}

func startModel(w *world, id, zone, version string) (*modelReplica, error) {
	out := &modelReplica{world: w, events: 10, prefill: 150 * time.Millisecond, pause: 20 * time.Millisecond}
	var err error
	out.replica, err = startReplica(id, "model", zone, version, 64, func(_ *replica, req *http.Request, _ []byte) *response {
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
	m.mu.Lock()
	version := m.version
	m.mu.Unlock()
	m.world.note("model %s of %s runs %s after event %q", m.id, version, id, req.Header.Get("Last-Event-Id"))
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
