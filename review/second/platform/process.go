package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// replicaProcess is a model replica in a process of its own, which can be killed.
type replicaProcess struct {
	id, zone, addr string
	born           int64
	cmd            *exec.Cmd
	stdin          io.WriteCloser
	ended          chan struct{}
}

// startReplicaProcess starts a model replica whose streams have neither a length nor chunks, at any address if addr is empty.
func (w *world) startReplicaProcess(id, zone, addr string) (*replicaProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &replicaProcess{id: id, zone: zone, born: time.Now().UnixMilli(), cmd: exec.Command(self, "replica", id, addr), ended: make(chan struct{})}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("replica %s gives no address", id)
	}
	p.addr = lines.Text()
	go func() {
		for lines.Scan() {
			w.note("replica %s: %s", id, lines.Text())
			if request, ok := strings.CutPrefix(lines.Text(), "ends "); ok {
				w.recordWritten(request)
			}
		}
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	w.note("replica %s runs at %s", id, p.addr)
	return p, nil
}

func (p *replicaProcess) entry(state string) object {
	return object{
		"service": "model", "address": p.addr, "zone": p.zone, "version": "v1", "slots": 64, "state": state, "cold_left_ms": 0, "sequence": 0,
		"born": p.born,
	}
}

// shed has the replica turn away a share of its requests, and ask for rest.
func (p *replicaProcess) shed(share float64, restS int) {
	_, _ = fmt.Fprintf(p.stdin, "shed %g %d\n", share, restS)
}

// leave has the replica take no more connections, end the streams that it has, and exit.
func (p *replicaProcess) leave() { _, _ = fmt.Fprintln(p.stdin, "leave now") }

func (p *replicaProcess) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

const (
	processEvents = 50
	processPause  = 100 * time.Millisecond
)

// runReplicaProcess is the process of a replica.
func runReplicaProcess(id, addr string) error {
	var mu sync.Mutex
	share, rest := 0.0, 0
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	r, err := startReplicaAt(addr, id, "model", "", "v1", 64, func(r *replica, req *http.Request, _ []byte) *response {
		request := req.Header.Get("X-Request-Id")
		mu.Lock()
		turnAway, after := rand.Float64() < share, rest
		mu.Unlock()
		switch {
		case req.URL.Path == "/api/report" || req.URL.Path == "/api/kv-list":
			return jsonAnswer(object{"epoch": 1, "next": 1, "held": []any{}, "waiting": 0, "running": 0})
		case request == "":
			return &response{status: http.StatusBadRequest, header: http.Header{"X-Not-Executed": {"1"}}}
		case turnAway:
			say("turns %s away", request)
			return &response{status: http.StatusServiceUnavailable, header: http.Header{"X-Not-Executed": {"1"}, "Retry-After": {strconv.Itoa(after)}}}
		}
		say("runs %s", request)
		r.enter()
		return &response{
			unframed: true, status: http.StatusOK, header: http.Header{"X-Response-Seal": {"seal-" + id}, "X-Weight-Versions": {"1"}},
			stream: func(write func(string) error) error {
				defer r.leave()
				for n := 1; n <= processEvents; n++ {
					time.Sleep(processPause)
					if err := write(fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", n, request, n, processEvents)); err != nil {
						say("was cut off from the caller of %s", request)
						return err
					}
				}
				say("ends %s", request)
				return nil
			},
		}
	})
	if err != nil {
		return err
	}
	say("%s", r.addr)
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		f := strings.Fields(in.Text())
		if len(f) == 2 && f[0] == "leave" {
			_ = r.listener.Close()
			for r.count() > 0 {
				time.Sleep(5 * time.Millisecond)
			}
			// What was written last goes out with the end of its connection.
			time.Sleep(50 * time.Millisecond)
			return nil
		}
		if len(f) != 3 || f[0] != "shed" {
			continue
		}
		mu.Lock()
		share, _ = strconv.ParseFloat(f[1], 64)
		rest, _ = strconv.Atoi(f[2])
		mu.Unlock()
	}
	return nil
}
