package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// route returns a route of the configuration.
func route(name, kind, service string, timeout time.Duration, more map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "host": clientHost, "path_prefix": "/" + name + "/", "kind": kind, "service": service, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": 1900, "priority": 0, "max_attempts": 2, "public": false,
	}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// configure writes the operator's configuration.
func (w *world) configure(routes, services []map[string]any) {
	w.store.put("op/config", map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "one", "api_keys": []string{clientKey}, "priority": 1}},
	})
}

// modelService is the configuration of a service of model servers, with the figures of the small deployments.
func modelService(name string, coldRate float64) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": coldRate,
		"engine": map[string]any{"slots": 64, "kv_tokens": 458010, "kv_bytes": 163840, "link_mbps": 130000.0, "stride": 4, "most": 12, "handle_s": 5.0,
			"models": []map[string]any{{"name": "m"}}},
	}
}

// stage is the work of a call for pieces, with the figures of the small deployments.
var stage = stageConfig{Call: 150 * time.Millisecond, Item: 11 * time.Millisecond, Keep: 4 * time.Second, Queue: 2, Batch: 12}

func stageService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
		"pieces": map[string]any{"slots": 1, "queue": stage.Queue, "batch": stage.Batch, "call_ms": 150.0, "item_ms": 11.0, "headroom_mb": 51.0, "handle_s": 4.0, "link_mbps": 10000},
	}
}

// addServer starts a server in this process and enters it in the store.
func (w *world) addServer(s *server) {
	s.log = w.record
	s.Version = "v1"
	must(s.listen())
	w.closers = append(w.closers, s.listener)
	born := time.Now().UnixMilli()
	w.store.put("servers/"+s.ID, s.entry(born, 1, 0))
	go w.beat(s, born)
}

// beat renews a server's entry.
func (w *world) beat(s *server, born int64) {
	for n := 2; ; n++ {
		time.Sleep(1200 * time.Millisecond)
		w.store.put("servers/"+s.ID, s.entry(born, n, 0))
	}
}

// extraPieceAnswer: servers that run pieces now and then send an answer a second time, late. See
// review/1/claim.txt.
func extraPieceAnswer(w *world) []string {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	w.configure(
		[]map[string]any{route("draft", "streaming", "model", 8*time.Second, map[string]any{
			"resumable": true, "sticky": true, "gap_aim_ms": 300,
			"stages": []map[string]any{{"service": "tables", "after": []int{}, "bytes": 8000}, {"service": "review", "after": []int{0}, "bytes": 6000}},
		})},
		[]map[string]any{modelService("model", 0), stageService("tables"), stageService("review")})
	results := newResults()
	// Five times 6 s with a pause of 1.5 s between them.
	began := time.Now().Add(time.Hour)
	var mu sync.Mutex
	roll := chance(0.05)
	misanswers := func() bool {
		mu.Lock()
		defer mu.Unlock()
		since := time.Since(began)
		return since > 0 && since < 37500*time.Millisecond && since%(7500*time.Millisecond) < 6*time.Second && roll()
	}
	for i, zone := range zones {
		for _, service := range []string{"tables", "review"} {
			s := &server{serverConfig: serverConfig{ID: fmt.Sprintf("i-%s-%d", service, i), Service: service, Addr: "127.0.0.1:0", Zone: zone, Slots: 1, Stage: &stage}, results: results}
			// One in three servers of a service, and 5 in 100 of their answers.
			if w.trouble && i == 0 {
				s.misanswer = misanswers
			}
			w.addServer(s)
		}
		w.addServer(&server{
			serverConfig: serverConfig{ID: fmt.Sprintf("i-model-%d", i), Service: "model", Addr: "127.0.0.1:0", Zone: zone, Slots: 64, Events: 10, Pause: 20 * time.Millisecond},
			results:      results, run: runOnInputs,
		})
	}
	w.startRelays(3, zones, nil)
	mu.Lock()
	began = time.Now().Add(2 * time.Second)
	mu.Unlock()
	every(24, 42*time.Second, func(n int) {
		h := modelHeader()
		h.Set("X-Pieces", "1,1")
		h.Set("X-Piece-Key", newID())
		got := w.relays[n%3].call("POST", fmt.Sprintf("/draft/%x", n), 8*time.Second, h, "draft this")
		w.record("client %s: status %d, %d events, error %v, made from %v", got.id, got.status, got.events(), got.err, sources(string(got.body)))
	})
	return results.found()
}

// runOnInputs runs a request on the results that it is given. Its text names the requests that these were
// made for.
func runOnInputs(s *server, c *serverConn, req *http.Request, _ []byte) (keep bool) {
	id := req.Header.Get("X-Request-Id")
	if req.Header.Get("X-Inputs") == "" {
		return s.write(c, req, http.StatusBadRequest, http.Header{"X-Not-Executed": {"1"}}, nil)
	}
	ok, keys := s.results.fetch("the run", id, strings.Split(req.Header.Get("X-Inputs"), ","), map[int]int{1: pieceCounts[1]})
	if !ok {
		s.log("%s: inputs of %s are gone: %s", s.ID, id, req.Header.Get("X-Inputs"))
		return s.write(c, req, http.StatusConflict, http.Header{"X-Not-Executed": {"1"}}, nil)
	}
	return s.stream(c, req, "from="+strings.Join(keys, "+"))
}

// sources returns the requests that a client's text was made from.
func sources(body string) []string {
	var out []string
	for line := range strings.Lines(body) {
		if _, from, ok := strings.Cut(strings.TrimSpace(line), "from="); ok && (len(out) == 0 || out[len(out)-1] != from) {
			out = append(out, from)
		}
	}
	return out
}
