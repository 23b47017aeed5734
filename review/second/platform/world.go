package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as in its site file and in the settings of a process.
const (
	heartbeat  = 1200 * time.Millisecond
	graceS     = 8
	retryRatio = "0.2"
	retrySlack = "54"
)

// world is one deployment: a store, replicas and relays.
type world struct {
	dir     string
	trouble bool
	began   time.Time
	store   *store
	relays  []*relay

	mu     sync.Mutex
	record *os.File
	broken []string
	// written are the requests whose replica has written the whole answer.
	written map[string]bool
}

// relay is one process of the system.
type relay struct {
	name, zone   string
	ip           string
	front, ready string
	control      string
	settings     string
	log          string
	cmd          *exec.Cmd
	ended        chan struct{}
}

func newWorld(dir string) (*world, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: tmp, record: f, began: time.Now(), written: map[string]bool{}, trouble: os.Getenv("TROUBLE") != "0"}
	w.store, err = newStore()
	return w, err
}

// note writes one line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.began).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

func (w *world) recordWritten(request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written[request] = true
}

func (w *world) hasWritten(request string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written[request]
}

func newID() string {
	b := make([]byte, 8)
	if _, err := rand.Read(b); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b)
}

// freePort returns a port that is free at ip.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// operatorPort is fixed in the template of the settings.
const operatorPort = 9464

// loopbackNet returns the first three parts of loopback addresses that nobody uses.
func loopbackNet() (string, error) {
	for range 50 {
		b := make([]byte, 2)
		if _, err := rand.Read(b); err != nil {
			return "", err
		}
		prefix := fmt.Sprintf("127.%d.%d.", 60+int(b[0])%100, b[1])
		l, err := net.Listen("tcp", prefix+"1:"+strconv.Itoa(operatorPort))
		if err != nil {
			continue
		}
		l.Close()
		return prefix, nil
	}
	return "", fmt.Errorf("no free loopback network")
}

// startRelays starts n relays, in zones by turns, with the command and the template of the deploy file.
func (w *world) startRelays(n int, zones []string) error {
	prefix, err := loopbackNet()
	if err != nil {
		return err
	}
	var seeds []string
	for i := range n {
		ip := prefix + strconv.Itoa(i+1)
		r := &relay{name: fmt.Sprintf("vm-%d", i+1), zone: zones[i%len(zones)], ip: ip}
		for _, addr := range []*string{&r.front, &r.ready, &r.control} {
			port, err := freePort(ip)
			if err != nil {
				return err
			}
			*addr = ip + ":" + strconv.Itoa(port)
		}
		w.relays = append(w.relays, r)
		if len(seeds) < 3 {
			seeds = append(seeds, r.control)
		}
	}
	for _, r := range w.relays {
		if err := w.writeSettings(r, seeds); err != nil {
			return err
		}
		if err := w.start(r); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings fills in the template of the settings, as the platform does.
func (w *world) writeSettings(r *relay, seeds []string) error {
	data, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return err
	}
	text := strings.NewReplacer(
		"{{listen.control}}", r.control, "{{listen.front}}", r.front, "{{listen.ready}}", r.ready,
		"{{zone}}", r.zone, "{{seeds}}", strings.Join(seeds, ","), "{{ip}}", r.ip,
		"{{platform.address}}", w.store.addr, "{{limits.memory_mb}}", "284", "{{limits.max_fds}}", "4100",
		"{{limits.link_mbps}}", "1000.0", "{{bounds.retry_budget_ratio}}", retryRatio,
		"{{bounds.budget_slack}}", retrySlack, "{{bounds.budget_window_s}}", "10",
		"{{heartbeat_ms}}", strconv.Itoa(int(heartbeat.Milliseconds())), "{{bounds.grace_s}}", strconv.Itoa(graceS),
	).Replace(string(data))
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the template has placeholders that this script doesn't know:\n%s", text)
	}
	r.settings = filepath.Join(w.dir, r.name+".ini")
	r.log = filepath.Join(w.dir, r.name+".log")
	return os.WriteFile(r.settings, []byte(text), 0o644)
}

func (w *world) start(r *relay) error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	r.cmd = exec.Command("target/jasmineshed", "relay", "--settings", r.settings)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.Env = append(os.Environ(), "JASMINESHED_BOOT="+r.settings)
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.ended = make(chan struct{})
	cmd, ended := r.cmd, r.ended
	go func() {
		err := cmd.Wait()
		w.note("process %s ended: %v", r.name, err)
		log.Close()
		close(ended)
	}()
	w.note("process %s started, front %s", r.name, r.front)
	return nil
}

// kill ends a relay's process with SIGKILL.
func (r *relay) kill() {
	_ = r.cmd.Process.Kill()
	<-r.ended
}

// awaitReady waits until all relays say that they are ready.
func (w *world) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, r := range w.relays {
		for !isReady(r) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// finish ends all processes and returns the exit code.
func (w *world) finish() int {
	for _, r := range w.relays {
		if r.cmd != nil && r.cmd.Process != nil {
			r.kill()
		}
	}
	w.note("%d times broken", len(w.broken))
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, r := range w.relays {
			if data, err := os.ReadFile(r.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, r.name+".log"), data, 0o644)
			}
		}
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
	if len(w.broken) > 0 {
		fmt.Printf("broken %d times, first: %s\n", len(w.broken), w.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}

// object is a JSON object.
type object map[string]any

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
