package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/follow"
)

var start = time.Unix(1_700_000_000, 0)

// at returns the time that many milliseconds into a test.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// localState is the state of a VM whose last contact with the store was at that time.
func localState(asOf shed.Revision, contact time.Time) follow.LocalState {
	return follow.LocalState{AsOf: asOf, Digest: uint64(asOf), LastContact: contact}
}

func reportFrom(vm shed.VM, asOf shed.Revision, contact time.Time) follow.PeerReported {
	return follow.PeerReported{From: vm, State: follow.PeerState{AsOf: asOf, Digest: uint64(asOf), LastContact: contact, Power: 1}}
}

// pulls returns the pulls among actions.
func pulls(acts []follow.Action) []follow.Pull {
	var out []follow.Pull
	for _, act := range acts {
		if p, ok := act.(follow.Pull); ok {
			out = append(out, p)
		}
	}
	return out
}

// The store has just answered this VM without changes. A peer has a newer revision, but its
// last contact with the store is older. The VM must not consider itself up to date, or callers
// get answers based on the old configuration.
func TestNewerWordCountsThoughItsContactIsOlder(t *testing.T) {
	f := follow.New("a")
	own := localState(10, at(0))
	require.Empty(t, f.Handle(at(0), own, reportFrom("b", 12, at(-500))))
	require.Len(t, pulls(f.Handle(at(200), own, follow.Tick{})), 1)
}

// A watcher pushes a change to all peers. Load reports of peers that already have it arrive
// slightly earlier and must not start a pull, or the change is sent twice.
func TestUpdatesAreAwaited(t *testing.T) {
	f := follow.New("a")
	own := localState(10, at(0))
	require.Empty(t, f.Handle(at(0), own, reportFrom("b", 12, at(0))))
	require.Empty(t, f.Handle(at(100), own, follow.Tick{}))
	own = localState(12, at(0))
	require.Empty(t, f.Handle(at(110), own, follow.Tick{}))
	require.Empty(t, f.Handle(at(400), own, follow.Tick{}))
	require.Equal(t, []follow.Action{follow.Confirm{At: at(300)}}, f.Handle(at(400), own, reportFrom("c", 12, at(300))))
}

// A change is too large to be pushed, or the one before it was lost. It is pulled at once
// from the peer that announced it.
func TestMissedChangeIsReadAtOnce(t *testing.T) {
	f := follow.New("a")
	got := pulls(f.Handle(at(0), localState(10, at(0)), follow.UpdateMissed{From: "b", AsOf: 12}))
	require.Equal(t, []follow.Pull{{ID: 1, From: "b", After: 10, Known: 10, Reported: 12}}, got)
	// Another change is announced during the pull.
	require.Empty(t, f.Handle(at(10), localState(10, at(0)), follow.UpdateMissed{From: "b", AsOf: 13}))
	got = pulls(f.Handle(at(50), localState(12, at(0)), follow.PullEnded{Pull: 1}))
	require.Equal(t, []follow.Pull{{ID: 2, From: "b", After: 12, Known: 12, Reported: 13}}, got)
}

// A pull is slow because the peer sends only a few bytes now and then. A second peer is asked
// in parallel, but no more than two pulls share the link.
func TestSlowPeerHoldsNobodyUp(t *testing.T) {
	f := follow.New("a")
	own := localState(10, at(0))
	for _, vm := range []shed.VM{"b", "c", "d"} {
		f.Handle(at(0), own, reportFrom(vm, 12, at(0)))
	}
	first := pulls(f.Handle(at(200), own, follow.Tick{}))
	require.Len(t, first, 1)
	require.Empty(t, f.Handle(at(800), own, follow.Tick{}))
	second := pulls(f.Handle(at(900), own, follow.Tick{}))
	require.Len(t, second, 1)
	require.NotEqual(t, first[0].From, second[0].From)
	require.Empty(t, f.Handle(at(5000), own, follow.Tick{}))
}

// Applying pulled changes takes long. No pull starts meanwhile, however many peers are ahead;
// changes still missing afterwards are pulled at once.
func TestNobodyIsAskedWhileSomethingIsTakenIn(t *testing.T) {
	f := follow.New("a")
	own := localState(10, at(0))
	first := pulls(f.Handle(at(0), own, follow.UpdateMissed{From: "b", AsOf: 12}))[0]
	own.Applying = true
	for ms := 100; ms < 3000; ms += 100 {
		require.Empty(t, f.Handle(at(ms), own, reportFrom("c", 13, at(ms))))
		require.Empty(t, f.Handle(at(ms), own, follow.UpdateMissed{From: "c", AsOf: 14}))
	}
	got := pulls(f.Handle(at(3000), localState(12, at(0)), follow.PullEnded{Pull: first.ID}))
	require.Equal(t, []follow.Pull{{ID: 2, From: "c", After: 12, Known: 12, Reported: 14}}, got)
}

// A peer does not answer a pull. The next peer is asked at once, and the first one again only
// after the others have failed, too, and the backoff has passed.
func TestFailedPeerIsAvoided(t *testing.T) {
	f := follow.New("a")
	own := localState(10, at(0))
	f.Handle(at(0), own, reportFrom("b", 12, at(0)))
	f.Handle(at(0), own, reportFrom("c", 12, at(0)))
	first := pulls(f.Handle(at(200), own, follow.Tick{}))[0]
	second := pulls(f.Handle(at(1200), own, follow.PullEnded{Pull: first.ID, Failed: true}))[0]
	require.NotEqual(t, first.From, second.From)
	require.Empty(t, f.Handle(at(1300), own, follow.PullEnded{Pull: second.ID, Failed: true}))
	third := pulls(f.Handle(at(2200), own, follow.Tick{}))[0]
	require.Equal(t, first.From, third.From)
}

// Most VMs have a link of 10 Mbit/s, a few a larger one. Pulls go to the latter and are spread
// over them.
func TestHighCapacityPeersAreRead(t *testing.T) {
	pullsPerPeer := map[shed.VM]int{}
	for _, self := range []shed.VM{"a", "b", "c", "d", "e", "f", "g", "h"} {
		f := follow.New(self)
		own := localState(10, at(0))
		for vm, power := range map[shed.VM]float64{"s1": 200, "s2": 200, "w1": 10, "w2": 10, "w3": 10} {
			f.Handle(at(0), own, follow.PeerReported{From: vm, State: follow.PeerState{AsOf: 12, Power: power}})
		}
		pullsPerPeer[pulls(f.Handle(at(200), own, follow.Tick{}))[0].From]++
	}
	require.Len(t, pullsPerPeer, 2)
	require.NotZero(t, pullsPerPeer["s1"])
	require.NotZero(t, pullsPerPeer["s2"])
}

// After an outage of the store, VMs at the same revision hold different server entries for two
// seconds. Full pulls are limited to one per repair interval.
func TestRepairsAreSpaced(t *testing.T) {
	f := follow.New("a")
	own := localState(10, at(0))
	n := 0
	for ms := 0; ms < 2000; ms += 10 {
		report := reportFrom("b", 10, at(ms))
		report.State.Digest = 99
		for _, p := range pulls(f.Handle(at(ms), own, report)) {
			require.Equal(t, shed.Revision(0), p.After)
			n++
			f.Handle(at(ms+5), own, follow.PullEnded{Pull: p.ID})
		}
	}
	require.Equal(t, 4, n)
}

// A VM starts while the store is down and has no peer report yet. It pulls from any live peer,
// but not repeatedly from one that has no state either.
func TestVMThatKnowsNothingAsksAnybody(t *testing.T) {
	f := follow.New("a")
	var own follow.LocalState
	first := pulls(f.Handle(at(0), own, follow.StoreFailed{Peers: []shed.VM{"b"}}))
	require.Equal(t, []follow.Pull{{ID: 1, From: "b"}}, first)
	require.Empty(t, f.Handle(at(10), own, follow.PullEnded{Pull: 1}))
	require.Empty(t, pulls(f.Handle(at(20), own, reportFrom("b", 0, time.Time{}))))
	require.Empty(t, f.Handle(at(250), own, follow.StoreFailed{Peers: []shed.VM{"b"}}))
	got := pulls(f.Handle(at(300), own, reportFrom("b", 12, at(290))))
	require.Equal(t, []follow.Pull{{ID: 2, From: "b", Reported: 12}}, got)
}

// A dead peer's report is dropped, as nothing can be pulled from it.
func TestDeadPeerIsNotAsked(t *testing.T) {
	f := follow.New("a")
	own := localState(10, at(0))
	f.Handle(at(0), own, reportFrom("b", 12, at(0)))
	f.Handle(at(50), own, follow.PeerDied{VM: "b"})
	require.Empty(t, f.Handle(at(200), own, follow.Tick{}))
	require.True(t, f.LastContact("b").IsZero())
}

// A peer's configuration is newer than this VM's state. Once the VM has the store's state up to
// that revision it is not stale, even if it could not parse that configuration.
func TestStaleCatalog(t *testing.T) {
	f := follow.New("a")
	require.False(t, f.CatalogIsStale(10))
	f.Handle(at(0), localState(10, at(0)), follow.PeerReported{From: "b", State: follow.PeerState{AsOf: 14, Catalog: 12}})
	require.True(t, f.CatalogIsStale(10))
	require.False(t, f.CatalogIsStale(13))
	f.Handle(at(0), localState(10, at(0)), follow.PeerReported{From: "c", State: follow.PeerState{AsOf: 11, Catalog: 9}})
	require.True(t, f.CatalogIsStale(10))
}

// A peer reports a last contact in the future. That must not keep the VM from reading the
// store.
func TestWordFromTheFuture(t *testing.T) {
	f := follow.New("self")
	for _, act := range f.Handle(start, localState(5, start), reportFrom("peer", 5, start.Add(time.Hour))) {
		if c, ok := act.(follow.Confirm); ok {
			require.Equal(t, start, c.At)
		}
	}
	require.Equal(t, start, f.LastContact("peer"))
}

// Guards against VMs that start together and confirm each other's copy of a replica's list, which may be seconds old,
// though the store has answered none of them.
func TestPeerThatTheStoreNeverAnsweredConfirmsNothing(t *testing.T) {
	f := follow.New("a")
	own := localState(10, time.Time{})
	require.Empty(t, f.Handle(at(0), own, reportFrom("b", 10, time.Time{})))
	require.Equal(t, []follow.Action{follow.Confirm{At: at(0)}}, f.Handle(at(10), own, reportFrom("c", 10, at(0))))
}
