package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// The figures of a small deployment: requests a second that a cold server bears, and the bound of the
	// rule for one second.
	coldPerSecond = 8.8
	coldBound     = coldPerSecond*1.5 + 5
	coldTime      = 3 * time.Second
	cutTime       = 12 * time.Second
)

// coldRate: a server is added, which is cold, while three of nine machines are cut off from the others. See
// review/4/claim.txt.
func coldRate(w *world) []string {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	w.configure(
		[]map[string]any{route("draft", "streaming", "model", 8*time.Second, map[string]any{"resumable": true, "sticky": true, "gap_aim_ms": 300})},
		[]map[string]any{modelService("model", coldPerSecond)})
	newModel := func(i int) *server {
		return &server{serverConfig: serverConfig{
			ID: fmt.Sprintf("i-model-%d", i), Service: "model", Addr: "127.0.0.1:0", Zone: zones[i%3], Slots: 64, Events: 40, Pause: 60 * time.Millisecond,
		}}
	}
	for i := range 4 {
		w.addServer(newModel(i))
	}
	m := newMesh(w)
	w.startRelays(9, zones, m.front)
	cut := w.relays[6:]
	var mu sync.Mutex
	var arrivals []arrival
	var bornAt time.Time
	end := make(chan struct{})
	go func() {
		defer close(end)
		time.Sleep(6 * time.Second)
		if w.trouble {
			m.setCut(true, cut...)
			w.record("relay-7, relay-8 and relay-9 are cut off from all other relays")
			time.AfterFunc(cutTime, func() {
				m.setCut(false, cut...)
				w.record("the cut has ended")
			})
		}
		time.Sleep(6 * time.Second)
		s := newModel(4)
		s.arrived = func(id string) bool {
			mu.Lock()
			defer mu.Unlock()
			sent, _ := sentAt.Load(id)
			arrivals = append(arrivals, arrival{sent: sent.(time.Time), at: time.Now()})
			w.record("the cold server gets %s", id)
			return true
		}
		s.log, s.Version = w.record, "v1"
		must(s.listen())
		w.closers = append(w.closers, s.listener)
		born := time.Now()
		mu.Lock()
		bornAt = born
		mu.Unlock()
		w.record("server %s is added, cold for %v", s.ID, coldTime)
		for n := 1; time.Since(born) < cutTime; n++ {
			w.store.put("servers/"+s.ID, s.entry(born.UnixMilli(), n, max(coldTime-time.Since(born), 0)))
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	every(190, 20*time.Second, func(n int) {
		got := w.relays[n%9].call("POST", fmt.Sprintf("/draft/%x", n), 8*time.Second, ownPromptHeader(), "draft this")
		w.record("client %s at %s: status %d, %d events, error %v", got.id, w.relays[n%9].name, got.status, got.events(), got.err)
	})
	<-end
	mu.Lock()
	defer mu.Unlock()
	return coldViolations(arrivals, bornAt)
}

// ownPromptHeader is the header of a request that shares no part of its prompt with others.
func ownPromptHeader() http.Header {
	h := modelHeader()
	h.Set("X-Prompt-Prefix", fmt.Sprintf("%08x:120", rand.Uint32()))
	return h
}

// arrival is a request at the cold server: when its client sent it, and when it arrived.
type arrival struct{ sent, at time.Time }

// coldViolations returns the worst second of the time in which the server is cold, if it breaks the bound.
// Counted are requests that were sent and arrived inside that second.
func coldViolations(arrivals []arrival, born time.Time) []string {
	most, worst := 0, time.Time{}
	for _, first := range arrivals {
		from, n := first.sent, 0
		if from.Add(time.Second).After(born.Add(coldTime)) {
			continue
		}
		for _, a := range arrivals {
			if !a.sent.Before(from) && a.at.Before(from.Add(time.Second)) {
				n++
			}
		}
		if n > most {
			most, worst = n, from
		}
	}
	fmt.Printf("most requests at the cold server in a second: %d, bound %.2f\n", most, coldBound)
	if float64(most) <= coldBound {
		return nil
	}
	return []string{fmt.Sprintf("FAILBACK: a cold server gets %d requests in one second that begins %.1f s after its start; the bound is %.2f", most, worst.Sub(born).Seconds(), coldBound)}
}
