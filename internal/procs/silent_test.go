package procs

import (
	"testing"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/fault"
)

// startProxy stands on the way to an address until the test ends.
func startProxy(t *testing.T, to string) *fault.Proxy {
	t.Helper()
	p, err := fault.NewProxy(to)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

// Every open connection to the peers' listeners of zone a goes silent at one
// moment: nothing arrives any more, and neither side is told. New connections
// work. Zone c has no server of one kind, so its stages are under way on just
// these connections. Its callers get whole answers within the deadline, since a
// silent call is given up and made again by a new connection or at another zone.
func TestSilentPeerConnections(t *testing.T) {
	proxies := map[int]*fault.Proxy{}
	f := startFleet(t, fleetConfig{
		example:    "small",
		engineArgs: []string{"--call-time", "50ms"},
		peerProxy: func(i int, addr string) string {
			if i >= perZone {
				return addr
			}
			proxies[i] = startProxy(t, addr)
			return proxies[i].Addr()
		},
	})
	f.loseConnectionsUnderLoad(f.vms[2*perZone:], func() int {
		lost := 0
		for _, p := range proxies {
			lost += p.Lose()
		}
		return lost
	})
}

// Every open connection to the one engine of a zone that drafts goes silent.
// The streams under way on them stop in the midst of a text. The callers get
// their whole text all the same, with nothing twice in it: the stream goes on
// from what is there, or the stage runs again elsewhere.
func TestSilentEngineConnections(t *testing.T) {
	const silent = shed.ServerID("gen-c-1")
	var engine *fault.Proxy
	f := startFleet(t, fleetConfig{
		example:    "small",
		engineArgs: []string{"--token-time", "8ms"},
		serverProxy: func(id shed.ServerID, addr string) string {
			if id != silent {
				return addr
			}
			engine = startProxy(t, addr)
			return engine.Addr()
		},
	})
	f.loseConnectionsUnderLoad(f.vms[2*perZone:], func() int { return engine.Lose() })
	require.NotEmpty(t, f.recordedRuns(silent))
}

// loseConnectionsUnderLoad loses connections twice under load, which comes in by the VMs.
func (f *fleet) loseConnectionsUnderLoad(vms []*vm, lose func() int) {
	f.t.Helper()
	l := f.newLoad()
	for _, v := range vms {
		l.add("captions", 4, captionRequest(f.newClient(-1, v)))
		l.add("warnings", 2, warningRequest(f.newClient(-1, v)))
	}
	for range 2 {
		l.awaitMore("captions", 40)
		await(f.t, func() bool { return lose() > 0 }, "connections to lose")
	}
	l.awaitMore("captions", 100)
	l.awaitMore("warnings", 30)
	ends := l.finish()
	f.requireAllComplete("captions", ends["captions"])
	f.requireTruthfulOutcomes(ends["warnings"])
}
