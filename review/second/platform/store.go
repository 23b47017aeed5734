package main

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store: linearizable reads, one revision counter, a watch with history.
type store struct {
	addr string

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	changed chan struct{}
	// down: all calls are refused with 503.
	down bool
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create_rev,omitempty"`
	Lease     int    `json:"lease"`
	Deleted   bool   `json:"tombstone,omitempty"`
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), items: map[string]item{}, changed: make(chan struct{}), rev: 10}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			reply(w, http.StatusServiceUnavailable, object{})
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(l, handler) }()
	return s, nil
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// put writes a value and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	return s.write(item{Key: key, Value: mustJSON(value)})
}

// remove deletes a key.
func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Deleted: true}) }

func (s *store) write(it item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it.Revision = s.rev
	it.CreateRev = s.rev
	if old, ok := s.items[it.Key]; ok {
		it.CreateRev = old.CreateRev
	}
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	data := mustJSON(v)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.FormValue("key")]
	asOf := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, object{"as_of": asOf})
		return
	}
	reply(w, http.StatusOK, object{
		"key": it.Key, "value": it.Value, "revision": it.Revision, "create_rev": it.CreateRev, "lease": 0, "as_of": asOf,
	})
}

// pageItems is the number of items of a page.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("path_prefix"), r.FormValue("after")
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	asOf := s.rev
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	reply(w, http.StatusOK, object{"items": items, "more_pages": more, "as_of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("path_prefix")
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil {
		reply(w, http.StatusBadRequest, object{})
		return
	}
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, object{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, object{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}
