package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/follow"
)

var start = time.Unix(1_700_000_000, 0)

// at is a time of a test, in milliseconds.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// knows is what a VM knows whose store answered at that time.
func knows(asOf shed.Revision, contact time.Time) follow.LocalState {
	return follow.LocalState{AsOf: asOf, Digest: uint64(asOf), LastContact: contact}
}

func tells(vm shed.VM, asOf shed.Revision, contact time.Time) follow.PeerReported {
	return follow.PeerReported{From: vm, State: follow.PeerState{AsOf: asOf, Digest: uint64(asOf), LastContact: contact, Power: 1}}
}

// pulls are the pulls among actions.
func pulls(acts []follow.Action) []follow.Pull {
	var out []follow.Pull
	for _, act := range acts {
		if p, ok := act.(follow.Pull); ok {
			out = append(out, p)
		}
	}
	return out
}

// The store has just answered this VM, and nothing was new. A peer knows a change, but
// heard it from the store a moment earlier. The VM must not take itself for up to date:
// its callers would get answers by the old configuration.
func TestNewerWordCountsThoughItsContactIsOlder(t *testing.T) {
	f := follow.New("a")
	own := knows(10, at(0))
	require.Empty(t, f.Handle(at(0), own, tells("b", 12, at(-500))))
	require.Len(t, pulls(f.Handle(at(200), own, follow.Tick{})), 1)
}

// A peer that watches the store passes a change on to all. Load messages of others
// that have it already arrive a little before: no VM reads it from them, so that it
// comes once.
func TestNewsAreAwaited(t *testing.T) {
	f := follow.New("a")
	own := knows(10, at(0))
	require.Empty(t, f.Handle(at(0), own, tells("b", 12, at(0))))
	require.Empty(t, f.Handle(at(100), own, follow.Tick{}))
	own = knows(12, at(0))
	require.Empty(t, f.Handle(at(110), own, follow.Tick{}))
	require.Empty(t, f.Handle(at(400), own, follow.Tick{}))
	require.Equal(t, []follow.Action{follow.Confirm{At: at(300)}}, f.Handle(at(400), own, tells("c", 12, at(300))))
}

// A change is too large to be passed on, or the one before it did not come. It is read
// at once, from the peer that has it.
func TestMissedChangeIsReadAtOnce(t *testing.T) {
	f := follow.New("a")
	got := pulls(f.Handle(at(0), knows(10, at(0)), follow.UpdateMissed{From: "b", AsOf: 12}))
	require.Equal(t, []follow.Pull{{ID: 1, From: "b", After: 10, Known: 10, Reported: 12}}, got)
	// Another one came meanwhile.
	require.Empty(t, f.Handle(at(10), knows(10, at(0)), follow.UpdateMissed{From: "b", AsOf: 13}))
	got = pulls(f.Handle(at(50), knows(12, at(0)), follow.PullEnded{Pull: 1}))
	require.Equal(t, []follow.Pull{{ID: 2, From: "b", After: 12, Known: 12, Reported: 13}}, got)
}

// The peer that is asked sends a little now and then. Another one is asked beside it,
// and no more than two share the link.
func TestSlowPeerHoldsNobodyUp(t *testing.T) {
	f := follow.New("a")
	own := knows(10, at(0))
	for _, vm := range []shed.VM{"b", "c", "d"} {
		f.Handle(at(0), own, tells(vm, 12, at(0)))
	}
	first := pulls(f.Handle(at(200), own, follow.Tick{}))
	require.Len(t, first, 1)
	require.Empty(t, f.Handle(at(800), own, follow.Tick{}))
	second := pulls(f.Handle(at(900), own, follow.Tick{}))
	require.Len(t, second, 1)
	require.NotEqual(t, first[0].From, second[0].From)
	require.Empty(t, f.Handle(at(5000), own, follow.Tick{}))
}

// What a pull has brought takes long to read. Nobody is asked for it again meanwhile,
// however many peers are ahead; what is lacking then is asked for at once.
func TestNobodyIsAskedWhileSomethingIsTakenIn(t *testing.T) {
	f := follow.New("a")
	own := knows(10, at(0))
	first := pulls(f.Handle(at(0), own, follow.UpdateMissed{From: "b", AsOf: 12}))[0]
	own.Applying = true
	for ms := 100; ms < 3000; ms += 100 {
		require.Empty(t, f.Handle(at(ms), own, tells("c", 13, at(ms))))
		require.Empty(t, f.Handle(at(ms), own, follow.UpdateMissed{From: "c", AsOf: 14}))
	}
	got := pulls(f.Handle(at(3000), knows(12, at(0)), follow.PullEnded{Pull: first.ID}))
	require.Equal(t, []follow.Pull{{ID: 2, From: "c", After: 12, Known: 12, Reported: 14}}, got)
}

// The peer that is asked gives no answer. The next one is asked at once, and the first
// only when the others have failed, too, and a while has passed.
func TestFailedPeerIsAvoided(t *testing.T) {
	f := follow.New("a")
	own := knows(10, at(0))
	f.Handle(at(0), own, tells("b", 12, at(0)))
	f.Handle(at(0), own, tells("c", 12, at(0)))
	first := pulls(f.Handle(at(200), own, follow.Tick{}))[0]
	second := pulls(f.Handle(at(1200), own, follow.PullEnded{Pull: first.ID, Failed: true}))[0]
	require.NotEqual(t, first.From, second.From)
	require.Empty(t, f.Handle(at(1300), own, follow.PullEnded{Pull: second.ID, Failed: true}))
	third := pulls(f.Handle(at(2200), own, follow.Tick{}))[0]
	require.Equal(t, first.From, third.From)
}

// Most VMs have a link of 10 Mbit/s, a few a larger one. Those are read from; and not
// all VMs read from the same.
func TestStrongPeersAreRead(t *testing.T) {
	asked := map[shed.VM]int{}
	for _, self := range []shed.VM{"a", "b", "c", "d", "e", "f", "g", "h"} {
		f := follow.New(self)
		own := knows(10, at(0))
		for vm, power := range map[shed.VM]float64{"s1": 200, "s2": 200, "w1": 10, "w2": 10, "w3": 10} {
			f.Handle(at(0), own, follow.PeerReported{From: vm, State: follow.PeerState{AsOf: 12, Power: power}})
		}
		asked[pulls(f.Handle(at(200), own, follow.Tick{}))[0].From]++
	}
	require.Len(t, asked, 2)
	require.NotZero(t, asked["s1"])
	require.NotZero(t, asked["s2"])
}

// After an outage of the store, VMs that know the same revision hold different entries
// of servers for two seconds. Each reads all from another now and then, not without
// end.
func TestRepairsAreSpaced(t *testing.T) {
	f := follow.New("a")
	own := knows(10, at(0))
	n := 0
	for ms := 0; ms < 2000; ms += 10 {
		word := tells("b", 10, at(ms))
		word.State.Digest = 99
		for _, p := range pulls(f.Handle(at(ms), own, word)) {
			require.Equal(t, shed.Revision(0), p.After)
			n++
			f.Handle(at(ms+5), own, follow.PullEnded{Pull: p.ID})
		}
	}
	require.Equal(t, 4, n)
}

// A VM starts while the store is down, and has heard no peer yet. It asks one that is
// alive; one that knows nothing either is not asked again and again.
func TestVMThatKnowsNothingAsksAnybody(t *testing.T) {
	f := follow.New("a")
	var own follow.LocalState
	first := pulls(f.Handle(at(0), own, follow.StoreFailed{Peers: []shed.VM{"b"}}))
	require.Equal(t, []follow.Pull{{ID: 1, From: "b"}}, first)
	require.Empty(t, f.Handle(at(10), own, follow.PullEnded{Pull: 1}))
	require.Empty(t, pulls(f.Handle(at(20), own, tells("b", 0, time.Time{}))))
	require.Empty(t, f.Handle(at(250), own, follow.StoreFailed{Peers: []shed.VM{"b"}}))
	got := pulls(f.Handle(at(300), own, tells("b", 12, at(290))))
	require.Equal(t, []follow.Pull{{ID: 2, From: "b", Reported: 12}}, got)
}

// A dead peer's word is worth nothing: nobody can be read from it.
func TestDeadPeerIsNotAsked(t *testing.T) {
	f := follow.New("a")
	own := knows(10, at(0))
	f.Handle(at(0), own, tells("b", 12, at(0)))
	f.Handle(at(50), own, follow.PeerDied{VM: "b"})
	require.Empty(t, f.Handle(at(200), own, follow.Tick{}))
	require.True(t, f.LastContact("b").IsZero())
}

// A peer has a configuration that this VM can't know yet. Once it knows the store up to
// that revision it is not behind, also if it could not read that configuration.
func TestBehind(t *testing.T) {
	f := follow.New("a")
	require.False(t, f.CatalogIsStale(10))
	f.Handle(at(0), knows(10, at(0)), follow.PeerReported{From: "b", State: follow.PeerState{AsOf: 14, Catalog: 12}})
	require.True(t, f.CatalogIsStale(10))
	require.False(t, f.CatalogIsStale(13))
	f.Handle(at(0), knows(10, at(0)), follow.PeerReported{From: "c", State: follow.PeerState{AsOf: 11, Catalog: 9}})
	require.True(t, f.CatalogIsStale(10))
}

// A peer says that the store answered it in the future. The VM must not be kept from
// reading the store by that.
func TestWordFromTheFuture(t *testing.T) {
	f := follow.New("self")
	for _, act := range f.Handle(start, knows(5, start), tells("peer", 5, start.Add(time.Hour))) {
		if c, ok := act.(follow.Confirm); ok {
			require.Equal(t, start, c.At)
		}
	}
	require.Equal(t, start, f.LastContact("peer"))
}
