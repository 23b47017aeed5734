package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Doses of the disruption "garble (extra late)" in the site file: share of the replicas, share of their answers, and
// how long it lasts each time.
const (
	extraShare  = 0.03
	extraFor    = 5 * time.Second
	extraEvery  = 6 * time.Second
	extraLength = 72 * time.Second
)

// extraScene: stage replicas give a second answer to some calls, late, where the next answer on the connection is
// expected.
func extraScene(w *world) error {
	store := newResults()
	zones := []string{"a", "b", "c"}
	var stages []*stageReplica
	for i, zone := range zones {
		s, err := startStage(w, fmt.Sprintf("i-stage%d", i), "stage", zone, store)
		if err != nil {
			return err
		}
		stages = append(stages, s)
		w.store.put("servers/"+s.id, s.entry("ready"))
		m, err := startModel(w, fmt.Sprintf("i-model%d", i), zone, "v1", store)
		if err != nil {
			return err
		}
		w.store.put("servers/"+m.id, m.entry("ready"))
	}
	w.store.put("op/config", configuration(1, true))
	if err := w.startRelays(3, zones); err != nil {
		return err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return err
	}
	began := time.Now()
	disturbed := func() bool {
		since := time.Since(began)
		return w.trouble && since > 3*time.Second && since%extraEvery < extraFor
	}
	for _, s := range stages[:2] {
		duplicateAnswers(w, s, disturbed)
	}
	served, failed := w.load(began, extraLength, 80*time.Millisecond)
	w.note("clients: %d served, %d not", served, failed)
	if served == 0 {
		return fmt.Errorf("nothing was served")
	}
	return nil
}

// duplicateAnswers has a replica send a second answer to a share of its calls.
func duplicateAnswers(w *world, s *stageReplica, disturbed func() bool) {
	var mu sync.Mutex
	due := map[*conn]string{}
	s.onAnswer = func(c *conn, resp *response) {
		mu.Lock()
		defer mu.Unlock()
		if disturbed() && rand.Float64() < extraShare {
			due[c] = "due"
		}
	}
	s.before = func(c *conn, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if due[c] == "" || c.last == nil {
			return
		}
		delete(due, c)
		w.note("stage %s sends its last answer again, where that to %s %s is expected: %s", s.id, req.Method, req.URL.Path, c.last.body)
		_, _ = c.Write([]byte(c.last.text))
	}
}

// load has clients send requests, one every pause, and returns how many got a complete success.
func (w *world) load(began time.Time, length, pause time.Duration) (served, failed int) {
	var mu sync.Mutex
	var g sync.WaitGroup
	for n := 0; time.Since(began) < length; n++ {
		q := request{
			id: newID(), method: http.MethodPost, host: "pule.example", path: "/draft/" + newID(), body: "text " + newID(), deadline: 12 * time.Second,
			header: map[string]string{
				"Authorization": "Bearer key-1", "X-Deadline-Ms": "12000", "X-Model": "m", "X-Token-Count": "400,40",
				"X-Prompt-Prefix": "5c1e07a2:300," + newID() + ":100", "X-Pieces": "1", "X-Piece-Key": newID(),
			},
		}
		front := w.relays[n%len(w.relays)].front
		g.Go(func() {
			w.note("client sends %s to %s", q.id, front)
			got := q.send(front, nil)
			w.note("client got %s: status %d, %d events, %v", q.id, got.status, len(got.events), got.err)
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK && got.err == nil {
				served++
			} else {
				failed++
			}
		})
		time.Sleep(pause)
	}
	g.Wait()
	return served, failed
}
