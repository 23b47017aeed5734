package main

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Doses: the store is down for 4.5 s (platform_down), one of six replicas at a time (srv_crash has a share of 0.17) is down
// for a second (for_s of 4.5 at most).
const (
	inplaceReplicas = 6
	storeDown       = 4500 * time.Millisecond
	restartTime     = time.Second
	secondCrash     = 3600 * time.Millisecond
	roundEvery      = 14 * time.Second
)

// inplaceScene: while the store is down, a replica restarts in place, under its id, with another version of its software;
// a few seconds later another replica restarts in the same way.
func inplaceScene(w *world) error {
	zones := []string{"a", "b", "c"}
	var models []*modelReplica
	for n := range inplaceReplicas {
		m, err := startModel(w, fmt.Sprintf("i-model%d", n), zones[n%3], "v1")
		if err != nil {
			return err
		}
		m.events, m.prefill, m.pause = 50, 100*time.Millisecond, 70*time.Millisecond
		models = append(models, m)
		w.store.put("servers/"+m.id, m.entry("ready"))
	}
	w.store.put("op/config", configuration(1))
	if err := w.startRelays(3, zones); err != nil {
		return err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return err
	}
	began := time.Now()
	var g sync.WaitGroup
	rounds := inplaceReplicas / 2
	g.Go(func() {
		for n := 0; w.trouble && n < rounds; n++ {
			time.Sleep(roundEvery - storeDown)
			w.inplaceRound(models[2*n], models[2*n+1])
		}
	})
	whole, failed := w.versionedStreams(began, time.Duration(rounds)*roundEvery+6*time.Second, 50*time.Millisecond)
	g.Wait()
	w.note("clients: %d whole, %d not", whole, failed)
	if whole == 0 {
		return fmt.Errorf("nothing was served")
	}
	return nil
}

// inplaceRound has two replicas restart in place during one outage of the store.
func (w *world) inplaceRound(first, second *modelReplica) {
	from := time.Now()
	w.store.setDown(true)
	w.note("the store is down")
	time.Sleep(300 * time.Millisecond)
	first.restart("v2")
	time.Sleep(time.Until(from.Add(secondCrash)))
	second.stop()
	w.note("replica %s ends", second.id)
	time.Sleep(time.Until(from.Add(storeDown)))
	w.store.setDown(false)
	w.note("the store is back")
	w.store.put("servers/"+first.id, first.entry("ready"))
	time.Sleep(restartTime)
	second.begin("v2")
	w.store.put("servers/"+second.id, second.entry("ready"))
}

// restart has a replica end and begin again under its id and at its address.
func (m *modelReplica) restart(version string) {
	m.stop()
	m.world.note("replica %s ends", m.id)
	time.Sleep(restartTime)
	m.begin(version)
}

// versionedStreams has clients send streams, which they resume if they break off, and checks that all their events come
// from replicas of one version.
func (w *world) versionedStreams(began time.Time, length, pause time.Duration) (whole, failed int) {
	var mu sync.Mutex
	var g sync.WaitGroup
	mixed := 0
	for n := 0; time.Since(began) < length; n++ {
		id := newID()
		q := request{
			id: id, method: http.MethodPost, host: "pule.example", path: "/draft/" + id, body: "text " + id, deadline: 12 * time.Second,
			header: map[string]string{
				"Authorization": "Bearer key-1", "X-Deadline-Ms": "12000", "X-Model": "m", "X-Token-Count": "400,200",
				"X-Prompt-Prefix": fmt.Sprintf("5c1e%04x:300,%s:100", n%40, newID()),
			},
		}
		front := w.relays[n%len(w.relays)].front
		g.Go(func() {
			got, events := w.sendAndResume(q, front, w.relays[(n+1)%len(w.relays)].front)
			versions := map[string]int{}
			for _, e := range events {
				if _, v, ok := strings.Cut(strings.TrimSpace(e), " by "); ok {
					versions[v]++
				}
			}
			w.note("client has %s: %d events, versions %v", q.id, len(events), versions)
			mu.Lock()
			defer mu.Unlock()
			if len(versions) > 1 {
				mixed++
				w.note("MIXED VERSIONS: the stream of %s holds events of replicas of %d versions", q.id, len(versions))
			}
			if got.status == http.StatusOK && got.err == nil {
				whole++
			} else {
				failed++
			}
		})
		time.Sleep(pause)
	}
	g.Wait()
	if mixed > maxMixed {
		w.breaks("ORDER: %d streams hold events from replicas of two software versions of one service", mixed)
	}
	return whole, failed
}

// sendAndResume sends a stream and resumes it once, at another relay, if it breaks off. It returns the last answer and the
// events of both.
func (w *world) sendAndResume(q request, front, other string) (result, []string) {
	until := time.Now().Add(q.deadline)
	w.note("client sends %s to %s", q.id, front)
	got := q.send(front, nil)
	w.note("client got %s: status %d, %d events, %v", q.id, got.status, len(got.events), got.err)
	left := time.Until(until)
	if got.status != http.StatusOK || got.err == nil || len(got.events) == 0 || left < time.Second {
		return got, got.events
	}
	again := q
	again.id, again.deadline, again.header = newID(), left, maps.Clone(q.header)
	again.header["X-Deadline-Ms"] = strconv.FormatInt(left.Milliseconds(), 10)
	again.header["Resumes"] = q.id
	again.header["Last-Event-Id"] = strconv.Itoa(len(got.events))
	w.note("client resumes %s as %s at %s after event %d", q.id, again.id, other, len(got.events))
	rest := again.send(other, nil)
	w.note("client got %s: status %d, %d events, %v", again.id, rest.status, len(rest.events), rest.err)
	return rest, append(got.events, rest.events...)
}

// maxMixed is how many streams may hold events of two versions by the rule.
const maxMixed = 2
