package resv_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// figures are what a replay gave in a span of time.
type figures struct {
	// used is the share of what the pool can produce that was used in time, produced the share that
	// was produced.
	used, produced float64
	// callers is the number of first attempts, served the share of their callers in time.
	callers int
	served  []float64
	// all is that share over all kinds.
	all float64
	// retries are the callers that retried at their reservation, kept the share of them that were
	// served, inTime in time, refusedAgain that were refused.
	retries                    int
	kept, inTime, refusedAgain float64
	slowest                    time.Duration
}

func (f figures) String() string {
	return fmt.Sprintf("used %.3f of %.3f, served %.2f, %d retries: kept %.3f in time %.3f refused again %.3f, slowest %s",
		f.used, f.produced, f.served, f.retries, f.kept, f.inTime, f.refusedAgain, f.slowest)
}

func (r *replay) figures(from, until time.Duration) figures {
	f := figures{served: make([]float64, len(kinds))}
	asked := make([]float64, len(kinds))
	can := poolRate * (until - from).Seconds()
	within := func(t time.Time) bool { return t.Sub(start) >= from && t.Sub(start) < until }
	for _, c := range r.callers {
		if within(c.piecesAt) {
			f.produced += perRequest / can
			if c.inTime() {
				f.used += perRequest / can
			}
		}
		if !within(c.at) {
			continue
		}
		f.callers++
		asked[c.rank]++
		if c.inTime() {
			f.served[c.rank]++
			f.all++
		}
		f.slowest = max(f.slowest, c.refusedIn)
		if !c.reserved {
			continue
		}
		f.retries++
		switch {
		case c.ran == 0:
			f.refusedAgain++
		case c.inTime():
			f.inTime++
			f.kept++
		default:
			f.kept++
		}
	}
	for i := range asked {
		f.served[i] /= max(asked[i], 1)
	}
	f.all /= max(float64(f.callers), 1)
	n := max(float64(f.retries), 1)
	f.kept, f.inTime, f.refusedAgain = f.kept/n, f.inTime/n, f.refusedAgain/n
	return f
}

// Two and a half times the pool's rate for 6 s. Guards against callers that are refused twice, and against a
// pool that works for callers whose target passes: without reservations, a fifth of it does.
func TestBurst(t *testing.T) {
	for _, vms := range []int{84, 670} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			without := play(vms, false, noFault, burst, 5).figures(calm, calm+burst)
			got := play(vms, true, noFault, burst, 5).figures(calm, calm+burst)
			t.Logf("without reservations: %s", without)
			t.Logf("with reservations: %s", got)
			require.Less(t, without.used, 0.85)
			require.Greater(t, got.used, 0.95)
			require.Greater(t, got.retries, 1000)
			require.Greater(t, got.kept, 0.95)
			require.Less(t, got.refusedAgain, 0.05)
			require.LessOrEqual(t, got.slowest, 50*ms)
		})
	}
}

// seedsOf returns the number of replays over which figures with a fault are averaged. While a coordinator is slow,
// the share of callers in time without reservations is between 0.07 and 0.24 by seed (670 VMs), so two don't suffice.
func seedsOf(f fault) uint64 {
	if f == slow {
		return 8
	}
	return 2
}

// The coordinator fails in the middle of such a burst. Guards against requests that run twice, against
// refusals that wait for a coordinator that gives no answer, and against reservations that stay out of use
// once it is back.
func TestCoordinatorFails(t *testing.T) {
	for _, vms := range []int{84, 670} {
		usual := 0.0
		for seed := range seedsOf(noFault) {
			usual += play(vms, true, noFault, longBurst, seed).figures(backAt, calm+longBurst).used
		}
		for _, f := range []fault{killed, restarted, partitioned, slow, duplicated} {
			t.Run(fmt.Sprint(f, " ", vms, " VMs"), func(t *testing.T) {
				t.Parallel()
				testFault(t, vms, f, usual/float64(seedsOf(noFault)))
			})
		}
	}
}

// backAt is 3 s after the end of the fault.
const backAt = faultAt + faultFor + 3*time.Second

func testFault(t *testing.T, vms int, f fault, usual float64) {
	var with, without, back float64
	slowRefusals, callers, seeds := 0, 0, float64(seedsOf(f))
	for seed := range seedsOf(f) {
		r, off := play(vms, true, f, longBurst, seed), play(vms, false, f, longBurst, seed)
		require.Zero(t, r.twice)
		for _, c := range r.callers {
			require.LessOrEqual(t, c.ran, 1)
			if c.at.Sub(start) > faultAt+time.Second {
				callers++
				if c.refusedIn > 50*ms {
					slowRefusals++
				}
			}
		}
		during, after := r.figures(faultAt+time.Second, faultAt+3*time.Second), r.figures(backAt, calm+longBurst)
		with += during.all / seeds
		without += off.figures(faultAt+time.Second, faultAt+3*time.Second).all / seeds
		back += after.used / seeds
		t.Logf("during the fault: %s", during)
		t.Logf("3 s after it: %s", after)
		require.Greater(t, after.retries, 500)
		require.Greater(t, after.kept, 0.95)
		require.Less(t, after.refusedAgain, 0.05)
		require.LessOrEqual(t, after.slowest, 50*ms)
	}
	t.Logf("callers in time during the fault %.3f, without reservations %.3f; used after it %.3f, without a fault %.3f; %d of %d refused slowly",
		with, without, back, usual, slowRefusals, callers)
	require.Greater(t, with, 0.95*without)
	require.Greater(t, back, 0.9*usual)
	require.Less(t, float64(slowRefusals), 0.01*float64(callers))
}
