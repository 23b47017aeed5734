package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// fall is how replicas of a pool crash, one after the other: each after it has turned away a share of its requests for a
// while and asked for rest, or at once.
type fall struct {
	shedShare float64
	shedFor   time.Duration
	every     time.Duration
}

// Doses: one of seven replicas (srv_grey has a share of 0.14 to 0.15 for 6.5 s at most, with an x of 0.45, and srv_crash a
// share of 0.17 for 4.5 s at most).
const (
	fallReplicas = 7
	shedRest     = 8
	fallDown     = 3 * heartbeat
	fallLength   = 80 * time.Second
)

// crashScene: replicas crash.
func crashScene(w *world) error { return w.playFalls(fall{every: 5 * time.Second}) }

// needScene: replicas in need turn requests away and ask for rest, and crash a moment later.
func needScene(w *world) error {
	return w.playFalls(fall{shedShare: 0.45, shedFor: 2500 * time.Millisecond, every: 9 * time.Second})
}

func (w *world) playFalls(f fall) error {
	zones := []string{"a", "b", "c"}
	var replicas []*replicaProcess
	defer func() {
		for _, p := range replicas {
			p.kill()
		}
	}()
	add := func(n int) error {
		p, err := w.startReplicaProcess(fmt.Sprintf("i-model%d", n), zones[n%3], "")
		if err != nil {
			return err
		}
		replicas = append(replicas, p)
		w.store.put("servers/"+p.id, p.entry("ready"))
		return nil
	}
	for n := range fallReplicas {
		if err := add(n); err != nil {
			return err
		}
	}
	c := configuration(1)
	route := c["routes"].([]any)[0].(object)
	route["resumable"], route["max_attempts"] = false, 1
	w.store.put("op/config", c)
	if err := w.startRelays(3, zones); err != nil {
		return err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return err
	}
	began := time.Now()
	var g sync.WaitGroup
	g.Go(func() {
		for n := 0; w.trouble && time.Since(began) < fallLength-f.every; n++ {
			time.Sleep(f.every - f.shedFor - fallDown)
			p := replicas[n]
			if f.shedFor > 0 {
				w.note("replica %s is in need", p.id)
				p.shed(f.shedShare, shedRest)
				time.Sleep(f.shedFor)
			}
			w.note("replica %s crashes", p.id)
			p.kill()
			time.Sleep(fallDown)
			w.store.remove("servers/" + p.id)
			if add(fallReplicas+n) != nil {
				return
			}
		}
	})
	served, failed := w.streams(began, fallLength, 33*time.Millisecond, func(string) bool { return true })
	g.Wait()
	w.note("clients: %d whole, %d not", served, failed)
	if served == 0 {
		return fmt.Errorf("nothing was served")
	}
	return nil
}

// streams has clients send streams, one every pause, and checks those that end as complete. One that ends early counts if it
// was sent to a front that counts.
func (w *world) streams(began time.Time, length, pause time.Duration, counts func(front string) bool) (whole, failed int) {
	var mu sync.Mutex
	var g sync.WaitGroup
	for n := 0; time.Since(began) < length; n++ {
		q := request{
			id: newID(), method: http.MethodPost, host: "pule.example", path: "/draft/" + newID(), body: "text " + newID(), deadline: 8 * time.Second,
			header: map[string]string{
				"Authorization": "Bearer key-1", "X-Deadline-Ms": "8000", "X-Model": "m", "X-Token-Count": "400,120",
				"X-Prompt-Prefix": fmt.Sprintf("5c1e%04x:300,%s:100", n%40, newID()),
			},
		}
		front := w.relays[n%len(w.relays)].front
		g.Go(func() {
			w.note("client sends %s to %s", q.id, front)
			got := q.send(front, nil)
			w.note("client got %s: status %d, %d events, %v %s", q.id, got.status, len(got.events), got.err, strings.TrimSpace(got.body))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.status != http.StatusOK || got.err != nil:
				failed++
			case len(got.events) == processEvents:
				whole++
			default:
				failed++
				mu.Unlock()
				text := fmt.Sprintf("ORDER: the stream of %s ends as complete after event %d of %d, seal %s", q.id, len(got.events), processEvents, got.seal)
				if counts(front) {
					w.breaks("%s", text)
				} else {
					w.note("not counted: %s", text)
				}
				mu.Lock()
			}
		})
		time.Sleep(pause)
	}
	g.Wait()
	return whole, failed
}
