package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the platform's store on the wire.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create_rev,omitempty"`
	Lease     int    `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's store: ranges and watches, linearizable, with its whole history.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]storeItem
	history []storeItem
	changed chan struct{}
}

func newStore() *store {
	return &store{rev: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
}

func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	must(err)
	s.write(storeItem{Key: key, Value: data})
}

func (s *store) remove(key string) { s.write(storeItem{Key: key, Tombstone: true}) }

func (s *store) write(it storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it.Revision, it.CreateRev = s.rev, s.rev
	if old, ok := s.items[it.Key]; ok {
		it.CreateRev = old.CreateRev
	}
	if it.Tombstone {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/api/kv-range":
		_ = json.NewEncoder(w).Encode(s.list(prefix, r.URL.Query().Get("after")))
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		_ = json.NewEncoder(w).Encode(s.watch(r, prefix, after, time.Duration(wait)*time.Millisecond))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(prefix, after string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return map[string]any{"items": items, "more_pages": false, "as_of": s.rev}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) map[string]any {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		events, rev, changed := s.changesAfter(prefix, after)
		if len(events) > 0 {
			return map[string]any{"events": events, "as_of": rev}
		}
		select {
		case <-changed:
		case <-end.C:
			return map[string]any{"events": events, "as_of": rev}
		case <-r.Context().Done():
			return nil
		}
	}
}

func (s *store) changesAfter(prefix string, after uint64) ([]storeItem, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []storeItem{}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.rev, s.changed
}
