package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// serverProcess is a backend server as a process.
type serverProcess struct {
	serverConfig
	cmd  *exec.Cmd
	born int64
	stop chan struct{}
}

// startServerProcess starts a server as a process and enters it in the store. Its address stays the same
// from start to start.
func (w *world) startServerProcess(s *serverProcess) {
	config, err := json.Marshal(s.serverConfig)
	must(err)
	out, in := io.Pipe()
	self, err := os.Executable()
	must(err)
	s.cmd, err = w.start(filepath.Join(w.tmp, s.ID+".log"), in, self, "server", string(config))
	must(err)
	lines := bufio.NewScanner(out)
	if !lines.Scan() || lines.Text() != "listens" {
		must(fmt.Errorf("server %s doesn't listen: %s", s.ID, lines.Text()))
	}
	go func() {
		for lines.Scan() {
			w.record("%s", lines.Text())
		}
	}()
	s.born, s.stop = time.Now().UnixMilli(), make(chan struct{})
	w.store.put("servers/"+s.ID, s.entry(s.born, 1, 0))
	go func(config serverConfig, born int64, stop chan struct{}) {
		for n := 2; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				w.store.put("servers/"+config.ID, config.entry(born, n, 0))
			}
		}
	}(s.serverConfig, s.born, s.stop)
}

// crash kills the process. Its entry expires after three heartbeats.
func (w *world) crash(s *serverProcess) {
	close(s.stop)
	_ = s.cmd.Process.Kill()
	_, _ = s.cmd.Process.Wait()
	w.record("server %s is killed", s.ID)
	go func(id string) {
		time.Sleep(3600 * time.Millisecond)
		w.store.remove("servers/" + id)
	}(s.ID)
}

const (
	cutEvents = 30
	cutPause  = 60 * time.Millisecond
	// cutParts is the number of parts of an answer that is no stream, partPause the time between them.
	cutParts  = 20
	partPause = 30 * time.Millisecond
	// cutServers is the number of servers of each of the two services.
	cutServers = 6
)

// cutStream: servers whose answers end with their connections crash while they write some. See
// review/3/claim.txt.
func cutStream(w *world) []string {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	w.configure(
		[]map[string]any{
			route("draft", "streaming", "model", 8*time.Second, map[string]any{"resumable": true, "sticky": true, "gap_aim_ms": 300}),
			route("note", "streaming", "model", 8*time.Second, map[string]any{"resumable": false, "sticky": true, "gap_aim_ms": 300, "max_attempts": 1}),
			route("read", "idempotent", "records", 2500*time.Millisecond, nil),
		},
		[]map[string]any{modelService("model", 6.9), {
			"name": "records", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
		}})
	var models, records []*serverProcess
	for i := range cutServers {
		models = append(models, &serverProcess{serverConfig: serverConfig{
			ID: fmt.Sprintf("i-model-%d", i), Service: "model", Addr: freePort("127.0.0.1"), Zone: zones[i%3], Version: "v1", Slots: 64,
			Events: cutEvents, Pause: cutPause, Unframed: true,
		}})
		w.startServerProcess(models[i])
		records = append(records, &serverProcess{serverConfig: serverConfig{
			ID: fmt.Sprintf("i-records-%d", i), Service: "records", Addr: freePort("127.0.0.1"), Zone: zones[i%3], Version: "v1", Slots: 16,
			Parts: cutParts, Pause: partPause, Unframed: true,
		}})
		w.startServerProcess(records[i])
	}
	w.startRelays(3, zones, nil)
	end := make(chan struct{})
	go func() {
		defer close(end)
		for n := range 5 {
			time.Sleep(5 * time.Second)
			if !w.trouble {
				continue
			}
			// One of six servers of each service; it is back under a new id after 3 s.
			crashed := []*serverProcess{models[n%cutServers], records[n%cutServers]}
			for _, s := range crashed {
				w.crash(s)
			}
			time.Sleep(3 * time.Second)
			for _, s := range crashed {
				s.ID = fmt.Sprintf("i-%s-%d-%d", s.Service, n%cutServers, n+1)
				w.startServerProcess(s)
			}
		}
	}()
	var mu sync.Mutex
	var broken []string
	whole := partsBody(cutParts)
	reads := make(chan struct{})
	go func() {
		defer close(reads)
		every(18, 42*time.Second, func(n int) {
			got := w.relays[n%3].call("GET", fmt.Sprintf("/read/%x", n), 2500*time.Millisecond, http.Header{}, "")
			w.record("client %s (read): status %d, %d bytes, error %v", got.id, got.status, len(got.body), got.err)
			if got.status == 200 && got.err == nil && string(got.body) != whole {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("MIXED: answer %s (read) ends as complete after byte %d of %d", got.id, len(got.body), len(whole)))
			}
		})
	}()
	every(12, 42*time.Second, func(n int) {
		name := []string{"draft", "note"}[n%2]
		got := w.relays[n%3].call("POST", fmt.Sprintf("/%s/%x", name, n), 8*time.Second, modelHeader(), "draft this")
		w.record("client %s (%s): status %d, %d events, error %v", got.id, name, got.status, got.events(), got.err)
		if got.status == 200 && got.err == nil && got.events() != cutEvents {
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, fmt.Sprintf("ORDER: stream %s (%s) ends as complete after event %d of %d", got.id, name, got.events(), cutEvents))
		}
	})
	<-reads
	<-end
	return broken
}
