package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// mesh holds a proxy in front of the peer listener of each relay. It can cut relays off from all others:
// what is sent is then held, without a sign to either side.
type mesh struct {
	w  *world
	mu sync.Mutex
	// cut are the relays that are cut off.
	cut map[*relay]bool
	// addresses are the addresses that relays tell each other, those of the proxies. They don't change once
	// the first relay runs.
	addresses map[*relay]string
}

// holdPoll is how often a held connection looks whether the cut has ended.
const holdPoll = 10 * time.Millisecond

func newMesh(w *world) *mesh {
	return &mesh{w: w, cut: map[*relay]bool{}, addresses: map[*relay]string{}}
}

// front starts the proxy of a relay and returns its address.
func (m *mesh) front(r *relay) string {
	l, err := net.Listen("tcp", freePort(r.ip))
	must(err)
	m.w.closers = append(m.w.closers, l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.forward(c, r)
		}
	}()
	m.addresses[r] = l.Addr().String()
	return m.addresses[r]
}

func (m *mesh) setCut(cut bool, relays ...*relay) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range relays {
		m.cut[r] = cut
	}
}

func (m *mesh) isCut(from, to *relay) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return from != to && (m.cut[from] || m.cut[to])
}

func (m *mesh) await(from, to *relay) {
	for m.isCut(from, to) {
		time.Sleep(holdPoll)
	}
}

func (m *mesh) forward(c net.Conn, to *relay) {
	defer func() { _ = c.Close() }()
	first := make([]byte, 32<<10)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	from := m.senderOf(first[:n])
	m.await(from, to)
	s, err := net.Dial("tcp", to.control)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	if _, err := s.Write(first[:n]); err != nil {
		return
	}
	go m.pump(c, s, from, to)
	m.pump(s, c, from, to)
}

// pump copies one direction of a connection and closes both at its end.
func (m *mesh) pump(src, dst net.Conn, from, to *relay) {
	defer func() { _, _ = src.Close(), dst.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		m.await(from, to)
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// senderOf returns the relay that opened a connection between relays, by the first bytes that it sends:
// each call begins with the address of its sender. It returns nil for a connection of nobody.
func (m *mesh) senderOf(first []byte) *relay {
	var sender *relay
	at := len(first)
	for r, address := range m.addresses {
		if i := bytes.Index(first, []byte(address)); i >= 0 && i < at {
			sender, at = r, i
		}
	}
	return sender
}
