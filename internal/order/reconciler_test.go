package order_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/order"
)

const (
	zone     = shed.ZoneID("nl-west-a")
	loadTime = 30 * time.Second
)

// fleet is a zone with several reconcilers and with engines that take loadTime to load weights.
type fleet struct {
	t           *testing.T
	now         time.Time
	reconcilers map[shed.VM]*order.Reconciler
	vms         []shed.VM
	rules       *shed.Rules
	engines     map[shed.ServerID]*engine
	orders      []shed.SendOrder
	notes       map[shed.Reason]int
	// maxLoads is the most concurrent loads, maxDraining the most engines draining at once.
	maxLoads, maxDraining int
}

type engine struct {
	report shed.LoadReport
	server *shed.Server
	want   *shed.SendOrder
	by     shed.VM
	until  time.Time
}

func newFleet(t *testing.T, daemons, servers, weightLoads int, change func(*shed.Server)) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1_800_000_000, 0),
		reconcilers: map[shed.VM]*order.Reconciler{},
		engines:     map[shed.ServerID]*engine{},
		notes:       map[shed.Reason]int{},
	}
	f.rules = rulesAt(1, "4", servers, weightLoads, change)
	for id, s := range f.rules.Servers {
		f.engines[id] = &engine{server: s, report: shed.LoadReport{Boot: "x"}}
	}
	for i := range daemons {
		vm := shed.VM(fmt.Sprintf("10.0.0.%d:7400", i))
		f.vms = append(f.vms, vm)
		f.reconcilers[vm] = order.New(order.Config{Self: vm, Zone: zone})
		f.reconcilers[vm].SetRules(f.now, f.rules)
	}
	return f
}

func rulesAt(rev shed.Revision, version string, servers, weightLoads int, change func(*shed.Server)) *shed.Rules {
	r := &shed.Rules{
		Revision:       rev,
		Pools:          map[shed.PoolID]*shed.Pool{"drafting": {ID: "drafting", Model: "draft"}},
		Models:         map[shed.ModelID]*shed.Model{"draft": {ID: "draft", Version: version}},
		Servers:        map[shed.ServerID]*shed.Server{},
		Zones:          map[shed.ZoneID]*shed.Zone{zone: {}, "nl-west-b": {}, "nl-west-c": {}},
		MaxWeightLoads: weightLoads,
	}
	for i := range servers {
		s := &shed.Server{ID: shed.ServerID(fmt.Sprintf("engine-%02d", i)), Pool: "drafting", Zone: zone, Fenced: true, ChecksCaller: true}
		if change != nil {
			change(s)
		}
		r.Servers[s.ID] = s
	}
	return r
}

func (f *fleet) setRules(r *shed.Rules) {
	f.rules = r
	for _, vm := range f.vms {
		f.reconcilers[vm].SetRules(f.now, r)
	}
	for id, s := range r.Servers {
		f.engines[id].server = s
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Second) {
		f.runEngines()
		for _, vm := range f.vms {
			g := f.reconcilers[vm]
			g.SetView(f.now, f.vms, uint64(len(f.vms)), false)
			for id, e := range f.engines {
				e.report.Sequence++
				g.Handle(f.now, shed.LoadReported{Server: id, Report: e.report})
			}
			f.execute(vm, g.Handle(f.now, shed.Tick{Wall: f.now}))
		}
	}
}

func (f *fleet) execute(vm shed.VM, actions []shed.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case shed.SendOrder:
			e := f.engines[a.Server]
			f.orders = append(f.orders, a)
			require.Zero(f.t, e.report.Running, "an order broke running calls on %s", a.Server)
			if e.server.Fenced && a.Fence < e.report.Fence {
				f.execute(vm, f.reconcilers[vm].Handle(f.now, shed.OrderEnded{Server: a.Server, Fence: a.Fence, StaleFence: true}))
				continue
			}
			e.report.Fence = a.Fence
			e.want, e.by, e.until = &a, vm, f.now.Add(loadTime)
		case shed.Note:
			f.notes[a.Reason]++
		}
	}
}

func (f *fleet) runEngines() {
	loads, out := 0, 0
	for id, e := range f.engines {
		if e.want != nil && !f.now.Before(e.until) {
			e.report.Model, e.report.Role = string(e.want.Model)+"@"+e.want.Version, e.want.Role
			if g := f.reconcilers[e.by]; g != nil {
				f.execute(e.by, g.Handle(f.now, shed.OrderEnded{Server: id, Fence: e.want.Fence, Done: true}))
			}
			e.want = nil
		}
		if e.want != nil {
			loads++
		}
		if f.reconcilers[f.vms[0]].Draining(id) && e.report.Model != "" {
			out++
		}
	}
	f.maxLoads, f.maxDraining = max(f.maxLoads, loads), max(f.maxDraining, out)
}

func (f *fleet) countLoaded(version string) int {
	n := 0
	for _, e := range f.engines {
		if e.report.Model == "draft@"+version {
			n++
		}
	}
	return n
}

// A model version is rolled out while a daemon dies. Concurrent loads must not exceed the zone's
// share of the weight store's limit, every engine must reach the new version, and most of the pool
// must keep serving meanwhile.
func TestRollout(t *testing.T) {
	for _, limit := range []int{3, 6, 12} {
		t.Run(fmt.Sprintf("limit %d", limit), func(t *testing.T) {
			f := newFleet(t, 5, 12, limit, nil)
			f.run(40 * time.Minute)
			require.Equal(t, 12, f.countLoaded("4"))
			require.Equal(t, 12, len(f.orders), "one order per engine")
			f.maxDraining = 0
			f.setRules(rulesAt(2, "5", 12, limit, nil))
			f.run(90 * time.Second)
			delete(f.reconcilers, f.vms[1])
			f.vms = append(f.vms[:1], f.vms[2:]...)
			f.run(40 * time.Minute)
			require.Equal(t, 12, f.countLoaded("5"))
			require.LessOrEqual(t, f.maxLoads, limit/3)
			require.LessOrEqual(t, f.maxDraining, 12/4)
		})
	}
}

func TestNoShareNoLoad(t *testing.T) {
	f := newFleet(t, 2, 3, 2, nil)
	f.execute(f.vms[0], f.reconcilers[f.vms[0]].SetRules(f.now, f.rules))
	f.run(30 * time.Minute)
	require.Empty(t, f.orders)
	require.Equal(t, 1, f.notes[order.ReasonNoWeightLoads])
}

// Two daemons both believe that they hold the slot of a server. The engine must end in the right
// state whichever order arrives last.
func TestTwoReconcilersAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name       string
		first      shed.Revision
		second     shed.Revision
		equal      bool
		staleCount int
	}{
		{"same revision: the same order under the same number", 7, 7, true, 0},
		{"the older one comes late: refused", 8, 7, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []shed.SendOrder
			stale := 0
			for _, rev := range []shed.Revision{tc.first, tc.second} {
				f := newFleet(t, 1, 1, 3, nil)
				f.setRules(rulesAt(rev, fmt.Sprint(rev), 1, 3, nil))
				if len(got) > 0 {
					f.engines["engine-00"].report.Fence = got[0].Fence
				}
				f.run(5 * time.Minute)
				stale += min(1, f.notes[order.ReasonStaleFence])
				got = append(got, f.orders[0])
			}
			require.Equal(t, tc.equal, got[0].Fence == got[1].Fence)
			require.Equal(t, tc.equal, got[0].Version == got[1].Version)
			require.Equal(t, tc.staleCount, stale)
		})
	}
}

// An engine that accepts any order from any caller would accept a delayed one from the former
// holder of its slot, so the first order to it must be sent later.
func TestQuietTime(t *testing.T) {
	first := map[bool]time.Duration{}
	for _, checks := range []bool{true, false} {
		f := newFleet(t, 1, 1, 3, func(s *shed.Server) { s.ChecksCaller, s.Fenced = checks, checks })
		from := f.now
		for len(f.orders) == 0 && f.now.Sub(from) < time.Hour {
			f.run(time.Second)
		}
		first[checks] = f.now.Sub(from)
	}
	more := first[false] - first[true]
	require.Equal(t, order.DefaultQuietTimeUnfenced-order.DefaultQuietTime, more)
}

// A role change would break the calls of a busy engine, so it must drain first.
func TestRoleChangeDrainsFirst(t *testing.T) {
	f := newFleet(t, 3, 4, 3, nil)
	f.run(20 * time.Minute)
	require.Equal(t, 4, f.countLoaded("4"))
	busy := f.engines["engine-00"]
	busy.report.Running = 3
	f.orders = nil
	f.setRules(rulesAt(2, "4", 4, 3, func(s *shed.Server) { s.Role = "decode" }))
	f.run(5 * time.Minute)
	for _, vm := range f.vms {
		require.True(t, f.reconcilers[vm].Draining("engine-00"))
		require.False(t, f.reconcilers[vm].Draining("engine-01"), "one in four at a time")
	}
	require.Empty(t, f.orders)
	busy.report.Running = 0
	f.run(20 * time.Minute)
	for _, e := range f.engines {
		require.Equal(t, "decode", e.report.Role)
	}
}

func TestAdaptersOfUnfencedEngineAreOrderedOnce(t *testing.T) {
	f := newFleet(t, 1, 1, 3, func(s *shed.Server) { s.Fenced = false })
	f.rules.Models["draft"].Adapters = []string{"captions"}
	f.setRules(f.rules)
	f.run(20 * time.Minute)
	require.Len(t, f.orders, 1)
}

func BenchmarkTick(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	g := order.New(order.Config{Self: "vm-0", Zone: zone})
	rules := rulesAt(1, "4", 192, 39, nil)
	g.SetRules(now, rules)
	for id := range rules.Servers {
		g.Handle(now, shed.LoadReported{Server: id, Report: shed.LoadReport{Boot: "x", Model: "draft@4"}})
	}
	b.ReportAllocs()
	for b.Loop() {
		g.Handle(now, shed.Tick{Wall: now})
	}
}
