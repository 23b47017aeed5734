package picker_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/picker"
	"jasmineshed/internal/roster"
)

// slowEngines replays requests of six VMs at twelve engines, two of which are five times as slow
// as the others from 2 s to 8 s, and returns the share of first events within the target during
// that time and after it.
func slowEngines(seed uint64, fixedSpeed bool) (during, after float64) {
	const perSec, readRate, target = 30, 60, 300 * time.Millisecond
	const slowFrom, slowUntil, last = 2 * time.Second, 8 * time.Second, 14 * time.Second
	const report = 300 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, seed))
	from := servers(12, nil)
	vms := make([]*picker.Picker, 6)
	for i := range vms {
		vms[i] = picker.New(picker.Config{Zone: "a", ReadRate: readRate, FixedSpeed: fixedSpeed})
	}
	type run struct {
		vm     int
		c      picker.Choice
		placed time.Time
		ends   time.Time
	}
	type news struct {
		vm      int
		samples []shed.ServerSlowness
	}
	free := map[shed.ServerID]time.Time{}
	var runs []run
	var queued []news
	var nextReport time.Time
	var inTime, all [2]float64
	for now := start; now.Before(start.Add(last)); {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSec))
		runs = slices.DeleteFunc(runs, func(r run) bool {
			if now.Before(r.ends) {
				return false
			}
			p := vms[r.vm]
			p.RecordPromptRead(r.c)
			queued = append(queued, news{r.vm, p.RecordFirstEvent(now, r.c, r.ends.Sub(r.placed))})
			p.RecordEnd(now, r.c, picker.End{})
			return true
		})
		if !now.Before(nextReport) {
			nextReport = now.Add(report)
			for i, p := range vms {
				queued = append(queued, news{i, p.FindOverdue(now)})
			}
			for i, p := range vms {
				p.SetPeerShares("others", sharesOfOthers(vms, i))
				for _, n := range queued {
					if n.vm != i {
						p.ReceiveSlowness(now, n.samples)
					}
				}
			}
			queued = nil
		}
		vm := rng.IntN(len(vms))
		w := picker.Request{Engine: true, Input: shed.Tokens(1000 + rng.IntN(9000))}
		c := vms[vm].Pick(now, w, from)
		vms[vm].RecordPlacement(now, w, c)
		took := time.Duration(w.Input) * time.Millisecond / readRate
		at := now.Sub(start)
		if isSlow := c.Server.ID <= "s01" && at >= slowFrom && at < slowUntil; isSlow {
			took *= 5
		}
		ends := shed.Later(now, free[c.Server.ID]).Add(took)
		free[c.Server.ID] = ends
		runs = append(runs, run{vm, c, now, ends})
		phase := 0
		if at >= slowUntil+2*time.Second {
			phase = 1
		}
		if at >= slowFrom && (at < slowUntil || phase == 1) {
			all[phase]++
			if ends.Sub(now) <= target {
				inTime[phase]++
			}
		}
	}
	return inTime[0] / all[0], inTime[1] / all[1]
}

// sharesOfOthers is the load that all VMs but one report.
func sharesOfOthers(vms []*picker.Picker, self int) map[shed.ServerID]shed.ServerShare {
	out := map[shed.ServerID]shed.ServerShare{}
	for i, p := range vms {
		if i == self {
			continue
		}
		for id, s := range p.Shares() {
			sum := out[id]
			out[id] = shed.ServerShare{Running: sum.Running + s.Running, Reading: sum.Reading + s.Reading}
		}
	}
	return out
}

// Two of twelve engines turn five times slower for six seconds, and recover. Each VM sees few of
// their answers.
func TestSlowEnginesAreAvoided(t *testing.T) {
	for seed := range uint64(3) {
		fixedDuring, fixedAfter := slowEngines(seed, true)
		during, after := slowEngines(seed, false)
		t.Logf("in time while two engines are slow: %.3f with a fixed speed, %.3f; afterwards %.3f, %.3f", fixedDuring, during, fixedAfter, after)
		require.Greater(t, during, fixedDuring+0.03)
		require.Greater(t, after, fixedAfter-0.02)
	}
}

// Prompts wait at an engine that sends nothing, as behind a cut link. Its slowness must be known
// before any of them ends.
func TestSilentEngineIsAvoided(t *testing.T) {
	from := servers(2, func(_ int, s *roster.Server) { s.Zone = "a" })
	p := picker.New(picker.Config{Zone: "a"})
	w := picker.Request{Engine: true, Input: 3000}
	silent := p.Pick(start, w, from)
	p.RecordPlacement(start, w, silent)
	now := start.Add(500 * time.Millisecond)
	news := p.FindOverdue(now)
	require.Len(t, news, 1)
	require.Equal(t, silent.Server.ID, news[0].Server)
	require.Empty(t, p.FindOverdue(now.Add(10*time.Millisecond)), "peers know")
	peer := picker.New(picker.Config{Zone: "a"})
	require.Equal(t, silent.Server.ID, peer.Pick(now, w, from).Server.ID)
	peer.ReceiveSlowness(now, news)
	require.NotEqual(t, silent.Server.ID, peer.Pick(now, w, from).Server.ID)
}
