package core

import (
	"fmt"
	"testing"
	"time"

	shed "jasmineshed"

	"github.com/stretchr/testify/require"
)

// size is a fleet size per zone to benchmark at.
type size struct{ daemons, servers, workspaces int }

// sizes are per zone; the last is the design size (52 daemons and 192 servers
// in each of 13 zones, 27,000 workspaces).
var sizes = []size{{3, 12, 270}, {13, 48, 6750}, {52, 192, 27000}}

const benchZones = 13

var benchStart = time.Date(2026, 11, 1, 12, 0, 0, 0, time.UTC)

// benchRules returns one pipeline of four stages over pools of equal size.
func benchRules(s size) *shed.Rules {
	r := &shed.Rules{
		Revision: 1, Pipelines: map[shed.PipelineID]*shed.Pipeline{}, Pools: map[shed.PoolID]*shed.Pool{},
		Servers: map[shed.ServerID]*shed.Server{}, Workspaces: map[shed.WorkspaceID]*shed.Workspace{},
		Zones: map[shed.ZoneID]*shed.Zone{}, MaxWeightLoads: 13,
	}
	p := &shed.Pipeline{ID: "p", Deadline: 6 * time.Second}
	for i := range 4 {
		id := shed.PoolID(fmt.Sprintf("pool%d", i))
		r.Pools[id] = &shed.Pool{ID: id, Kind: shed.KindRerank, UnitPrice: 1}
		p.Stages = append(p.Stages, shed.Stage{ID: shed.StageID(id), Kind: shed.KindRerank, Pool: id, MinDuration: time.Millisecond, Idempotent: true})
	}
	r.Pipelines["p"] = p
	for z := range benchZones {
		zone := shed.ZoneID(fmt.Sprintf("z%02d", z))
		r.Zones[zone] = &shed.Zone{ID: zone, Region: "r"}
		for i := range s.servers {
			pool := r.Pools[shed.PoolID(fmt.Sprintf("pool%d", i%4))]
			srv := &shed.Server{
				ID: shed.ServerID(fmt.Sprintf("s-%02d-%03d", z, i)), Pool: pool.ID, Zone: zone,
				URL: "http://127.0.0.1:1", Capacity: 16, ColdCapacity: 2,
			}
			r.Servers[srv.ID] = srv
			pool.Servers = append(pool.Servers, srv)
		}
	}
	for i := range s.workspaces {
		id := shed.WorkspaceID(fmt.Sprintf("w%05d", i))
		r.Workspaces[id] = &shed.Workspace{ID: id, Share: 1}
	}
	return r
}

// benchCore returns a daemon that has rules, sees its own zone and a few peers of
// each other zone, and knows its servers as warm.
func benchCore(b *testing.B, s size) *Core {
	b.Helper()
	rules := benchRules(s)
	c, err := New(Config{
		Self: shed.Peer{VM: "10.0.0.0:1", Incarnation: 1}, Zone: "z00", Seed: 1,
		Compile: func([]byte, shed.Revision) (*shed.Rules, error) { return rules, nil },
	})
	require.NoError(b, err)
	now := benchStart
	c.Handle(now, shed.Tick{Wall: now})
	c.Handle(now, shed.ConfigRead{Index: shed.ConfigIndex{Revision: 1, Parts: nil}})
	for i := 1; i < s.daemons; i++ {
		c.Handle(now, benchProbe(shed.VM(fmt.Sprintf("10.0.0.%d:1", i)), "z00"))
	}
	for z := 1; z < benchZones; z++ {
		for i := range 3 {
			c.Handle(now, benchProbe(shed.VM(fmt.Sprintf("10.0.%d.%d:1", z, i)), shed.ZoneID(fmt.Sprintf("z%02d", z))))
		}
	}
	c.rules = nil
	c.firstRulesAt = now
	c.applyRules(now, rules)
	for id, srv := range rules.Servers {
		if srv.Zone == "z00" {
			c.Handle(now, benchReport(id, 1))
		}
	}
	return c
}

func benchProbe(vm shed.VM, z shed.ZoneID) shed.PeerMessage {
	p := shed.Peer{VM: vm, Incarnation: 1}
	return shed.PeerMessage{From: p, Message: shed.Probe{Sequence: 1, Self: shed.Member{Peer: p, Zone: z, Status: shed.StatusAlive}}}
}

func benchReport(id shed.ServerID, seq uint64) shed.LoadReported {
	return shed.LoadReported{Server: id, Report: shed.LoadReport{Boot: "b", Sequence: seq, Warm: true, Done: 100000 + seq}}
}

func forEachSize(b *testing.B, run func(b *testing.B, c *Core)) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("daemons=%d/servers=%d/workspaces=%d", s.daemons, s.servers, s.workspaces), func(b *testing.B) {
			c := benchCore(b, s)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, c)
		})
	}
}

// BenchmarkTick measures one tick; a daemon handles ten per second.
func BenchmarkTick(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *Core) {
		now := benchStart
		for i := range b.N {
			now = now.Add(shed.TickEvery)
			c.Handle(now, shed.Tick{Wall: now, Mono: time.Duration(i+1) * shed.TickEvery})
		}
	})
}

// BenchmarkLoadReport measures one load report of one server.
func BenchmarkLoadReport(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *Core) {
		for i := range b.N {
			c.Handle(benchStart, benchReport("s-00-001", uint64(i+2)))
		}
	})
}

// BenchmarkPlace measures finding a server of this zone for one stage call.
func BenchmarkPlace(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *Core) {
		stage := c.rules.Pipelines["p"].Stages[3]
		for i := range b.N {
			req := shed.PlaceRequest{Stage: stage, Deadline: benchStart.Add(time.Minute)}
			req.Prefix = uint64(i)
			req.Pipeline = "p"
			c.placeInZone(benchStart, req, c.pools[stage.Pool], "")
		}
	})
}
