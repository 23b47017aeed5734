package config

import (
	"fmt"
	"testing"
	"time"

	shed "jasmineshed"
)

// steadyState drives the configuration of one daemon among quiet peers, without a sim.
type steadyState struct {
	s     *State
	now   time.Time
	bytes int
}

func newSteady(zones, perZone, level int) *steadyState {
	peers := map[shed.ZoneID][]shed.Peer{}
	for z := range zones {
		for i := range perZone {
			peers[zoneName(z)] = append(peers[zoneName(z)], shed.Peer{VM: shed.VM(fmt.Sprintf("10.0.%d.%d:70", z, i))})
		}
	}
	var s *State
	for _, self := range peers[zoneName(0)] {
		s = New(Config{Self: self, Zone: zoneName(0), Compile: simCompile})
		s.SetPeers(peers[zoneName(0)], peers)
		if s.topology.level == level {
			break
		}
	}
	world := &sim{}
	world.publish(true, designParts)
	r := world.published[0]
	s.current = current{rules: &shed.Rules{Revision: 1}, index: r.index, parts: r.parts, hashes: sortedHashes(r.parts)}
	return &steadyState{s: s, now: time.Unix(simStart, 0)}
}

// second simulates one second: ticks, immediate answers to the daemon's own queries and
// reads, and as many queries from peers as a daemon gets.
func (st *steadyState) second(queries int) {
	for i := range 10 {
		st.now = st.now.Add(shed.TickEvery)
		st.do(shed.Tick{Wall: st.now, Mono: st.now.Sub(time.Unix(simStart, 0))})
		if i < queries {
			st.do(shed.PeerMessage{From: shed.Peer{VM: "10.0.0.9:70"}, Message: shed.ConfigDigest{Revision: 1, WantReply: true, Sequence: 9}})
		}
	}
}

func (st *steadyState) do(ev shed.Event) {
	for _, a := range st.s.Handle(st.now, ev) {
		switch a := a.(type) {
		case shed.ReadConfig:
			st.do(shed.ConfigRead{Index: st.s.current.index})
		case shed.SendPeer:
			st.bytes += messageBytes(a.Message)
			if m, ok := a.Message.(shed.ConfigDigest); ok && m.WantReply {
				st.do(shed.PeerMessage{From: shed.Peer{VM: a.To}, Message: shed.ConfigDigest{Revision: 1, ConfirmedAgo: time.Second, Sequence: m.Sequence}})
			}
		}
	}
}

// BenchmarkQuietSecond measures the cost of a second without a change for one daemon.
func BenchmarkQuietSecond(b *testing.B) {
	for _, perZone := range []int{3, 13, 26, 52} {
		for level, role := range []string{"watcher", "middle", "leaf"} {
			if perZone == 3 && level > 0 {
				continue
			}
			b.Run(fmt.Sprintf("perZone=%d/%s", perZone, role), func(b *testing.B) {
				st := newSteady(13, perZone, level)
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					st.second(4)
					n++
				}
				b.ReportMetric(float64(st.bytes)/float64(n), "B/s")
			})
		}
	}
}

// BenchmarkSetPeers measures the cost of a change of the view.
func BenchmarkSetPeers(b *testing.B) {
	for _, perZone := range []int{3, 13, 26, 52} {
		b.Run(fmt.Sprintf("daemons=%d", 13*perZone), func(b *testing.B) {
			st := newSteady(13, perZone, 0)
			peers := map[shed.ZoneID][]shed.Peer{}
			for z := range 13 {
				for i := range perZone {
					peers[zoneName(z)] = append(peers[zoneName(z)], shed.Peer{VM: shed.VM(fmt.Sprintf("10.0.%d.%d:70", z, i))})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				st.s.SetPeers(peers[zoneName(0)], peers)
			}
		})
	}
}
