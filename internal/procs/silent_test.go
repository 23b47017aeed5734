package procs

import (
	"testing"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/fault"
)

// startProxy starts a proxy for an address, which is closed at the end of the test.
func startProxy(t *testing.T, to string) *fault.Proxy {
	t.Helper()
	p, err := fault.NewProxy(to)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

// Guards against calls that hang on blackholed peer connections. All open connections to the peer
// listeners of zone a are blackholed at once: nothing arrives, and neither side gets an error. New
// connections work. Zone c has no server of one kind, so its stages use these connections. Its
// callers must get complete answers within the deadline: a call without an answer is abandoned and
// retried over a new connection or in another zone.
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
			lost += p.Blackhole()
		}
		return lost
	})
}

// Guards against lost or duplicated text when all open connections to a zone's only drafting engine
// are blackholed in the middle of streams. The callers must get their complete text once: the
// stream resumes after the received part, or the stage runs again elsewhere.
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
	f.loseConnectionsUnderLoad(f.vms[2*perZone:], func() int { return engine.Blackhole() })
	require.NotEmpty(t, f.recordedRuns(silent))
}

// loseConnectionsUnderLoad blackholes connections twice while the given VMs serve load.
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
