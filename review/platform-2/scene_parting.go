package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	partingLength = 60 * time.Second
	// partEvery is the time between two releases; drain and the linger after it are how long a replica goes on serving
	// after the store has taken its report.
	partEvery   = 6 * time.Second
	drainTime   = 2 * time.Second
	lingerAfter = 500 * time.Millisecond
)

// partingScene: replicas are released one after the other. A replica that leaves serves on for drain_ms and a little
// longer, then takes no more connections, ends the streams that it has, and exits.
func partingScene(w *world) error {
	zones := []string{"a", "b", "c"}
	var models []*modelReplica
	add := func(i int) error {
		m, err := startModel(w, fmt.Sprintf("i-model%d", i), zones[i%3], "v1", nil)
		if err != nil {
			return err
		}
		m.events, m.prefill, m.pause, m.unframed = 30, 100*time.Millisecond, 100*time.Millisecond, true
		models = append(models, m)
		w.store.put("servers/"+m.id, m.entry("ready"))
		return nil
	}
	for i := range 4 {
		if err := add(i); err != nil {
			return err
		}
	}
	c := configuration(1, false)
	c["routes"].([]any)[0].(object)["resumable"] = false
	c["routes"].([]any)[0].(object)["max_attempts"] = 1
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
		for n := 0; w.trouble && time.Since(began) < partingLength-8*time.Second; n++ {
			time.Sleep(partEvery)
			if err := add(4 + n); err != nil {
				return
			}
			leaving := models[n]
			g.Go(func() { leaving.part() })
		}
	})
	var mu sync.Mutex
	cut, whole := 0, 0
	for i := range 12 {
		front := w.relays[i%3].front
		g.Go(func() {
			k := &keptClient{front: front}
			for time.Since(began) < partingLength {
				got := k.stream(w)
				mu.Lock()
				if got {
					whole++
				} else {
					cut++
				}
				mu.Unlock()
			}
			k.close()
		})
	}
	g.Wait()
	w.note("%d streams whole, %d cut", whole, cut)
	fmt.Println(whole, "whole", cut, "cut")
	return nil
}

// part has a replica leave as it should.
func (m *modelReplica) part() {
	m.world.store.put("servers/"+m.id, m.entry("draining"))
	m.world.note("replica %s leaves", m.id)
	time.Sleep(drainTime + lingerAfter)
	_ = m.listener.Close()
	m.world.note("replica %s takes no more connections, %d streams run", m.id, m.count())
	for m.count() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	m.world.store.remove("servers/" + m.id)
	m.world.note("replica %s has ended all streams and exits", m.id)
}

func (r *replica) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// keptClient sends streams one after the other on one connection.
type keptClient struct {
	front string
	c     net.Conn
	in    *bufio.Reader
	uses  int
}

func (k *keptClient) close() {
	if k.c != nil {
		_ = k.c.Close()
		k.c = nil
	}
}

func (k *keptClient) stream(w *world) bool {
	if k.c == nil {
		c, err := net.DialTimeout("tcp", k.front, time.Second)
		if err != nil {
			return false
		}
		k.c, k.in, k.uses = c, bufio.NewReader(c), 0
	}
	k.uses++
	id, body := newID(), "text"
	fmt.Fprintf(k.c, "POST /draft/%s HTTP/1.1\r\nHost: pule.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer key-1\r\nX-Deadline-Ms: 12000\r\n"+
		"X-Model: m\r\nX-Token-Count: 400,120\r\nX-Prompt-Prefix: 5c1e07a2:300,%s:100\r\nContent-Length: %d\r\n\r\n%s", id, id, newID(), len(body), body)
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		w.note("client got no answer to %s: %v", id, err)
		k.close()
		return false
	}
	data, err := io.ReadAll(resp.Body)
	events := strings.Count(string(data), "\n\n")
	w.note("client got %s (use %d of its connection): status %d, %d events, %v", id, k.uses, resp.StatusCode, events, err)
	if err != nil {
		k.close()
		return false
	}
	if resp.Close {
		k.close()
	}
	return resp.StatusCode == 200
}
