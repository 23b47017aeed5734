package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment on loopback: relays as processes, and stand-ins of everything else.
type world struct {
	// dir is the folder of the case; tmp holds settings and logs of the processes.
	dir, tmp string
	trouble  bool
	began    time.Time
	store    *store
	storeAt  string
	relays   []*relay
	// net is the prefix of the loopback addresses of this run, as "127.80.3.".
	net string

	mu       sync.Mutex
	recordTo *os.File
	children []*exec.Cmd
	closers  []io.Closer
}

// relay is one daemon of the project, on its own loopback address.
type relay struct {
	name, ip, zone        string
	front, ready, control string
	settings, log         string
	cmd                   *exec.Cmd
	client                *http.Client
}

func newWorld(dir string, trouble bool) (*world, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, tmp: tmp, trouble: trouble, began: time.Now(), store: newStore(), recordTo: f}
	w.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAt = l.Addr().String()
	w.closers = append(w.closers, l)
	go func() { _ = http.Serve(l, w.store) }()
	w.record("trouble=%t", trouble)
	return w, nil
}

// record appends a line to record.txt, with the time since the start in seconds.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.recordTo, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case started.
func (w *world) close() {
	w.mu.Lock()
	children, closers := w.children, w.closers
	w.mu.Unlock()
	for _, c := range children {
		_ = c.Process.Kill()
		_, _ = c.Process.Wait()
	}
	for _, c := range closers {
		_ = c.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.tmp)
	} else {
		fmt.Println("kept:", w.tmp)
	}
	_ = w.recordTo.Close()
}

// start starts a child process that ends with this one; its output goes to a file.
func (w *world) start(log string, stdout io.Writer, name string, args ...string) (*exec.Cmd, error) {
	c := exec.Command(name, args...)
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	c.Stdout, c.Stderr = io.Writer(out), out
	if stdout != nil {
		c.Stdout = stdout
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.children = append(w.children, c)
	w.mu.Unlock()
	return c, nil
}

// firstPort and lastPort bound the ports that freePort returns. They lie below those that the system gives to
// connections, which would take a port between its choice and its use.
const firstPort, lastPort = 12000, 28000

// lastFreePort is the port that freePort returned last.
var lastFreePort = firstPort + rand.IntN(lastPort-firstPort)

// freePort returns an address with a port that is free, and a different one each time.
func freePort(ip string) string {
	for range lastPort - firstPort {
		if lastFreePort++; lastFreePort >= lastPort {
			lastFreePort = firstPort
		}
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(lastFreePort)))
		if err != nil {
			continue
		}
		_ = l.Close()
		return l.Addr().String()
	}
	panic(notRun{errors.New("no free port")})
}

// deployRun returns the command of the deploy file without the path of its settings.
func deployRun() []string {
	data, err := os.ReadFile("deploy/system.toml")
	must(err)
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(data)
	if m == nil {
		must(errors.New("deploy/system.toml has no command"))
	}
	words := strings.Fields(string(m[1]))
	return words[:len(words)-1]
}

// startRelays starts n relays, spread over the zones, and waits until all are ready. advertise maps the
// control address of a relay to the one that its peers use; nil for the same.
func (w *world) startRelays(n int, zones []string, advertise func(*relay) string) {
	template, err := os.ReadFile("deploy/settings.ini")
	must(err)
	for i := range n {
		ip := fmt.Sprintf("%s%d", w.net, i+1)
		r := &relay{name: fmt.Sprintf("relay-%d", i+1), ip: ip, zone: zones[i%len(zones)]}
		r.front, r.ready, r.control = freePort(ip), freePort(ip), freePort(ip)
		r.settings, r.log = filepath.Join(w.tmp, r.name+".ini"), filepath.Join(w.tmp, r.name+".log")
		r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		w.relays = append(w.relays, r)
	}
	address := map[*relay]string{}
	var seeds []string
	for i, r := range w.relays {
		address[r] = r.control
		if advertise != nil {
			address[r] = advertise(r)
		}
		if i < 3 {
			seeds = append(seeds, address[r])
		}
	}
	for _, r := range w.relays {
		text := renderSettings(string(template), map[string]string{
			"listen.control": r.control, "zone": r.zone, "seeds": strings.Join(seeds, ","), "listen.front": r.front, "ip": r.ip,
			"platform.address": w.storeAt, "listen.ready": r.ready, "limits.link_mbps": "1000",
			"bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "54", "bounds.budget_window_s": "10", "heartbeat_ms": "1200", "bounds.grace_s": "8",
		})
		if a := address[r]; a != r.control {
			text = strings.Replace(text, "[node]\n", "[node]\nadvertise = "+a+"\n", 1)
		}
		must(os.WriteFile(r.settings, []byte(text), 0o600))
		w.startRelay(r)
	}
	for _, r := range w.relays {
		must(r.awaitReady(20 * time.Second))
	}
	w.record("%d relays are ready", n)
}

func (w *world) startRelay(r *relay) {
	words := append(deployRun(), r.settings)
	cmd, err := w.start(r.log, nil, words[0], words[1:]...)
	must(err)
	r.cmd = cmd
}

// renderSettings fills in the placeholders of the template.
func renderSettings(template string, values map[string]string) string {
	return regexp.MustCompile(`\{\{([a-z_.]+)\}\}`).ReplaceAllStringFunc(template, func(s string) string {
		v, ok := values[strings.Trim(s, "{}")]
		if !ok {
			must(fmt.Errorf("no value for %s", s))
		}
		return v
	})
}

func (r *relay) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + r.ready + "/api/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", r.name)
}
