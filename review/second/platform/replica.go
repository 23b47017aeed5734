package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is one replica of a service: one request at a time on a connection, over HTTP/1.1.
type replica struct {
	id, service, zone, addr string
	version                 string
	slots                   int
	born                    int64
	listener                net.Listener
	handle                  func(r *http.Request, body []byte) *response

	mu      sync.Mutex
	conns   map[net.Conn]bool
	running int
}

// response is an answer with a length.
type response struct {
	status int
	header http.Header
	body   []byte
	// stream writes an answer in chunks instead; it returns an error to break it off.
	stream func(write func(string) error) error
	// unframed: the stream has neither a length nor chunks, and ends with its connection.
	unframed bool
}

func startReplica(id, service, zone, version string, slots int, handle func(*replica, *http.Request, []byte) *response) (*replica, error) {
	return startReplicaAt("", id, service, zone, version, slots, handle)
}

// startReplicaAt starts a replica at an address, or at any if it is empty.
func startReplicaAt(
	addr, id, service, zone, version string, slots int, handle func(*replica, *http.Request, []byte) *response,
) (*replica, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, zone: zone, version: version, slots: slots, addr: l.Addr().String(), listener: l,
		born: time.Now().UnixMilli(), conns: map[net.Conn]bool{},
	}
	r.handle = func(req *http.Request, body []byte) *response { return handle(r, req, body) }
	go r.serve(l)
	return r, nil
}

// entry is what the replica writes into the store.
func (r *replica) entry(state string) object {
	return object{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		"cold_left_ms": 0, "sequence": 0, "born": r.born,
	}
}

func (r *replica) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go func() {
			r.serveConn(c)
			_ = c.Close()
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
		}()
	}
}

// idleTimeout is the replica's idle timeout, which Keep-Alive states.
const idleTimeout = 20 * time.Second

func (r *replica) serveConn(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		resp := r.answer(req, body)
		if resp == nil {
			return
		}
		if err := r.write(c, req, resp); err != nil || req.Close {
			return
		}
	}
}

func (r *replica) answer(req *http.Request, body []byte) *response {
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		return &response{status: http.StatusMisdirectedRequest, header: http.Header{"X-Instance-Id": {r.id}, "X-Not-Executed": {"1"}}}
	}
	return r.handle(req, body)
}

// write writes an answer; replicas echo the request's id.
func (r *replica) write(c net.Conn, req *http.Request, resp *response) error {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", resp.status, http.StatusText(resp.status))
	h := resp.header
	if h == nil {
		h = http.Header{}
	}
	if id := req.Header.Get("X-Request-Id"); id != "" {
		h.Set("X-Request-Id", id)
	}
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleTimeout.Seconds())))
	r.mu.Lock()
	h.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", r.running, r.slots))
	r.mu.Unlock()
	for name, values := range h {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	if resp.stream == nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(resp.body))
		b.Write(resp.body)
		_, err := io.WriteString(c, b.String())
		return err
	}
	b.WriteString("Content-Type: text/event-stream\r\n")
	if resp.unframed {
		b.WriteString("Connection: close\r\n\r\n")
		if _, err := io.WriteString(c, b.String()); err != nil {
			return err
		}
		err := resp.stream(func(s string) error {
			_, err := io.WriteString(c, s)
			return err
		})
		if err == nil {
			err = io.EOF
		}
		return err
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	if _, err := io.WriteString(c, b.String()); err != nil {
		return err
	}
	err := resp.stream(func(s string) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s)
		return err
	})
	if err != nil {
		return err
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err
}

// stop closes the listener and all connections, as the kernel does for a process that ended.
func (r *replica) stop() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// begin has a replica start again under its id and at its address, with another version of its software.
func (r *replica) begin(version string) {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	r.listener, r.version, r.born, r.running = l, version, time.Now().UnixMilli(), 0
	r.mu.Unlock()
	go r.serve(l)
}

// enter and leave count running requests.
func (r *replica) enter() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running++
}

func (r *replica) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = max(r.running-1, 0)
}
