package share_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/share"
)

const (
	// poolRate is the rate of the pool in pieces a second, piecesEach the pieces of each request.
	poolRate, piecesEach = 1000, 3
	// patience is how long a request may wait in the queue.
	patience  = time.Second
	replayFor = 20 * time.Second
	hog       = shed.WorkspaceID("hog")
)

type request struct {
	at        time.Duration
	workspace shed.WorkspaceID
}

// poisson returns the requests of a workspace that asks for rate pieces a second.
func poisson(rng *rand.Rand, workspace shed.WorkspaceID, rate float64) []request {
	var out []request
	for at := 0.0; rate > 0; {
		at += rng.ExpFloat64() * piecesEach / rate
		if at > replayFor.Seconds() {
			break
		}
		out = append(out, request{at: time.Duration(at * float64(time.Second)), workspace: workspace})
	}
	return out
}

// replay runs requests through a pool in virtual time: those of workspaces over their share wait behind all
// others, and a request that has waited too long isn't served. It returns the requests served to the hog
// and to the others.
func replay(requests []request, over func(now time.Time, workspace shed.WorkspaceID) bool) (toHog, toOthers int) {
	var queues [2][]request
	var free time.Duration
	serve := func(until time.Duration) {
		for free <= until {
			i := slices.IndexFunc(queues[:], func(q []request) bool { return len(q) > 0 })
			if i < 0 {
				free = until
				return
			}
			r := queues[i][0]
			queues[i] = queues[i][1:]
			if free-r.at > patience {
				continue
			}
			free += piecesEach * time.Second / poolRate
			if r.workspace == hog {
				toHog++
			} else {
				toOthers++
			}
		}
	}
	for _, r := range requests {
		serve(r.at)
		queue := 0
		if over(start.Add(r.at), r.workspace) {
			queue = 1
		}
		queues[queue] = append(queues[queue], r)
	}
	serve(replayFor)
	return toHog, toOthers
}

func replayWith(t *share.Table, requests []request) (toHog, toOthers int) {
	t.SetRate(poolRate)
	return replay(requests, func(now time.Time, workspace shed.WorkspaceID) bool {
		t.Observe(now, workspace, 1, piecesEach)
		return t.Over(now, workspace)
	})
}

// Guards against a workspace that asks for ten times its share and takes the others' shares: the others are
// served 0.95 as often as without it, and it gets the remainder. Without shares, the others are not.
func TestHogLeavesOthersTheirShares(t *testing.T) {
	const share16 = poolRate / 16.0
	for name, tc := range map[string]struct {
		others        int
		rate, hogRate float64
	}{
		"others ask for 0.9 of their share": {others: 15, rate: 0.9 * share16, hogRate: 10 * share16},
		"others ask for their share":        {others: 15, rate: share16, hogRate: 10 * share16},
		"half of the others are idle":       {others: 7, rate: share16, hogRate: 15 * share16},
		"27,000 workspaces":                 {others: 27_000, rate: 0.9 * poolRate / 27_000, hogRate: 10 * share16},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			var others []request
			for i := range tc.others {
				others = append(others, poisson(rng, shed.WorkspaceID(fmt.Sprint("w", i)), tc.rate)...)
			}
			all := append(poisson(rng, hog, tc.hogRate), others...)
			for _, requests := range [][]request{others, all} {
				slices.SortStableFunc(requests, func(a, b request) int { return int(a.at - b.at) })
			}
			_, alone := replayWith(share.New(), others)
			toHog, toOthers := replayWith(share.New(), all)
			_, disabled := replay(all, func(time.Time, shed.WorkspaceID) bool { return false })
			canServe := int(replayFor.Seconds() * poolRate / piecesEach)
			t.Logf("others served: %d without the hog, %d with it, %d without shares; hog %d; pool can serve %d", alone, toOthers, disabled, toHog, canServe)
			require.GreaterOrEqual(t, float64(toOthers), 0.95*float64(alone))
			require.GreaterOrEqual(t, float64(toHog), 0.95*float64(canServe-alone))
			require.Less(t, float64(disabled), 0.95*float64(alone), "the load must need shares")
		})
	}
}
