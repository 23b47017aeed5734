package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
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
)

// cutStream: servers whose streams end with their connections crash while they write some. See
// review/3/claim.txt.
func cutStream(w *world) []string {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	w.configure(
		[]map[string]any{
			route("draft", "streaming", "model", 8*time.Second, map[string]any{"resumable": true, "sticky": true, "gap_aim_ms": 300}),
			route("note", "streaming", "model", 8*time.Second, map[string]any{"resumable": false, "sticky": true, "gap_aim_ms": 300, "max_attempts": 1}),
		},
		[]map[string]any{modelService("model", 6.9)})
	var servers []*serverProcess
	for i := range 6 {
		s := &serverProcess{serverConfig: serverConfig{
			ID: fmt.Sprintf("i-model-%d", i), Service: "model", Addr: freePort("127.0.0.1"), Zone: zones[i%3], Version: "v1", Slots: 64,
			Events: cutEvents, Pause: cutPause, Unframed: true,
		}}
		servers = append(servers, s)
		w.startServerProcess(s)
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
			// One of six servers; it is back under a new id after 3 s.
			s := servers[n%len(servers)]
			w.crash(s)
			time.Sleep(3 * time.Second)
			s.ID = fmt.Sprintf("i-model-%d-%d", n%len(servers), n+1)
			w.startServerProcess(s)
		}
	}()
	var mu sync.Mutex
	var broken []string
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
	<-end
	return broken
}
