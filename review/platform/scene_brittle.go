package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// brittleWork is how long a server runs a request, brittleSlots how many at once.
	brittleWork  = 100 * time.Millisecond
	brittleSlots = 6
	// usualQueue is how many requests may wait at a server, brittleQueue how many while it is brittle, from
	// brittleNotice after it said so first.
	usualQueue, brittleQueue = 24, 1
	brittleNotice            = 3 * time.Second
	// brittleLimit is how many requests a brittle server may turn away in a second, brittleDown how long it is
	// down when it falls over.
	brittleLimit = 5
	brittleDown  = 2 * time.Second
	brittleTime  = 50 * time.Second
	// brittleDemand is what clients ask for, in proportion to what the servers can run.
	brittleDemand = 2.0
)

// brittleServer is a server that falls over if it has to turn away too many requests.
type brittleServer struct {
	*server
	scene *brittleScene
	mu    sync.Mutex
	// since is when it began to say that it is brittle.
	since    time.Time
	starts   int
	born     int64
	running  int
	slot     chan struct{}
	rejected []rejection
	down     bool
}

// rejection is a request that was turned away for want of room, and whether the machine that sent it was in touch.
type rejection struct {
	at      time.Time
	inTouch bool
}

type brittleScene struct {
	w  *world
	mu sync.Mutex
	// cut are the relays that are cut off at times; cutUntil is the end of the last cut, in the future while one lasts.
	cut      []*relay
	cutUntil time.Time
	falls    []string
}

const (
	// cuts is how often relays are cut off, healTime the time between two cuts.
	cuts     = 3
	healTime = 5 * time.Second
	// contactTime is contact_ms: how long a machine isn't in touch after it was cut off.
	contactTime = 3 * time.Second
)

// cutRelays cuts relays off from all others, several times.
func (s *brittleScene) cutRelays(m *mesh) {
	for range cuts {
		s.mu.Lock()
		s.cutUntil = time.Now().Add(cutTime)
		s.mu.Unlock()
		m.setCut(true, s.cut...)
		s.w.record("relay-8 and relay-9 are cut off from all other relays")
		time.Sleep(cutTime)
		m.setCut(false, s.cut...)
		s.w.record("the cut has ended")
		time.Sleep(healTime)
	}
}

// sentTo holds the relay that each request was sent to.
var sentTo sync.Map

// inTouch reports whether the relay that got a request is in touch.
func (s *brittleScene) inTouch(id string) bool {
	r, ok := sentTo.Load(id)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.Contains(s.cut, r.(*relay)) || time.Now().After(s.cutUntil.Add(contactTime))
}

func (b *brittleServer) header(h http.Header) http.Header {
	if !b.since.IsZero() {
		h.Set("Server-Brittle", fmt.Sprint(brittleLimit))
	}
	return h
}

// handle runs a request if there is room for it.
func (b *brittleServer) handle(s *server, c *serverConn, req *http.Request, _ []byte) bool {
	id := req.Header.Get("X-Request-Id")
	b.mu.Lock()
	room := usualQueue
	if !b.since.IsZero() && time.Since(b.since) > brittleNotice {
		room = brittleQueue
	}
	if b.running >= brittleSlots+room {
		h := b.header(http.Header{"X-Not-Executed": {"1"}})
		b.reject(id)
		b.mu.Unlock()
		return s.write(c, req, http.StatusServiceUnavailable, h, nil)
	}
	b.running++
	b.mu.Unlock()
	b.slot <- struct{}{}
	time.Sleep(brittleWork)
	<-b.slot
	b.mu.Lock()
	b.running--
	h := b.header(http.Header{"X-Response-Seal": {"seal." + id}})
	b.mu.Unlock()
	return s.write(c, req, http.StatusOK, h, []byte("data of "+id))
}

// reject records a rejection, under which the server may fall over. The caller holds mu.
func (b *brittleServer) reject(id string) {
	now := time.Now()
	b.rejected = slices.DeleteFunc(b.rejected, func(r rejection) bool { return now.Sub(r.at) >= time.Second })
	b.rejected = append(b.rejected, rejection{now, b.scene.inTouch(id)})
	b.log("%s turns %s away, %d in a second", b.ID, id, len(b.rejected))
	if b.since.IsZero() || time.Since(b.since) < brittleNotice || len(b.rejected) <= brittleLimit || b.down {
		return
	}
	inTouch := 0
	for _, r := range b.rejected {
		if r.inTouch {
			inTouch++
		}
	}
	b.log("%s falls over; %d of %d that it turned away came from machines in touch", b.ID, inTouch, len(b.rejected))
	if 2*inTouch > len(b.rejected) {
		b.scene.mu.Lock()
		b.scene.falls = append(b.scene.falls, b.ID)
		b.scene.mu.Unlock()
	}
	b.rejected, b.down = nil, true
	_ = b.listener.Close()
	go b.restart()
}

// restart ends the server's connections, and starts it again under another id.
func (b *brittleServer) restart() {
	b.closeConns()
	old := b.ID
	time.Sleep(brittleDown)
	b.scene.w.store.remove("servers/" + old)
	b.mu.Lock()
	b.starts++
	b.ID = fmt.Sprintf("%s-%d", old[:len("i-records-0")], b.starts)
	b.down, b.born = false, time.Now().UnixMilli()
	b.mu.Unlock()
	must(b.listen())
	b.scene.w.store.put("servers/"+b.ID, b.entry(b.born, 1, 0))
	b.log("%s starts", b.ID)
}

// brittle: servers are brittle and asked for more than they can run, while machines are cut off from the
// others at times. See review/5/claim.txt.
func brittle(w *world) []string {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	w.configure(
		[]map[string]any{route("read", "idempotent", "records", 1200*time.Millisecond, nil), route("publish", "non_idempotent", "records", 1200*time.Millisecond, nil)},
		[]map[string]any{{"name": "records", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0}})
	scene := &brittleScene{w: w}
	var servers []*brittleServer
	for i, zone := range zones {
		s := &server{serverConfig: serverConfig{ID: fmt.Sprintf("i-records-%d", i), Service: "records", Addr: freePort("127.0.0.1"), Zone: zone, Slots: brittleSlots}}
		b := &brittleServer{server: s, scene: scene, slot: make(chan struct{}, brittleSlots)}
		s.run, s.unlimited = b.handle, true
		servers = append(servers, b)
		w.addServer(s)
	}
	m := newMesh(w)
	w.startRelays(9, zones, m.front)
	scene.cut = w.relays[7:]
	end := make(chan struct{})
	go func() {
		defer close(end)
		time.Sleep(4 * time.Second)
		if w.trouble {
			go scene.cutRelays(m)
		}
		for _, b := range servers {
			b.mu.Lock()
			b.since = time.Now()
			b.mu.Unlock()
		}
		w.record("the servers are brittle from now on")
		time.Sleep(brittleTime)
	}()
	every(brittleDemand*3*brittleSlots/brittleWork.Seconds(), 4*time.Second+brittleTime, func(n int) {
		path, method := "read", "GET"
		if n%3 > 0 {
			path, method = "publish", "POST"
		}
		w.relays[n%9].call(method, fmt.Sprintf("/%s/%x", path, n), 2500*time.Millisecond, http.Header{}, "")
	})
	<-end
	scene.mu.Lock()
	defer scene.mu.Unlock()
	fmt.Printf("falls that count: %d %v, bound %.1f\n", len(scene.falls), scene.falls, 2+0.1*3)
	if float64(len(scene.falls)) <= 2+0.1*3 {
		return nil
	}
	return []string{fmt.Sprintf("LIMIT: 3 brittle servers fall over %d times in one time", len(scene.falls))}
}
