package procs

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

// The platform dies, and comes back at its old address holding an older
// configuration under a lower revision. Callers see nothing of either, since
// each zone has servers of every kind: without a confirmation of the
// configuration no work is handed to another zone, but a zone goes on. Every
// daemon keeps the revision that it had accepted, also one that is started
// anew while the platform is stale: it asks its peers and not the platform
// alone.
func TestPlatformStopsAndComesBackStale(t *testing.T) {
	f := startFleet(t, fleetConfig{example: "weerbeeld"})
	first := f.lowestRevision()
	newer := strings.Replace(f.rulesText, "share 6", "share 7", 1)
	require.NotEqual(t, f.rulesText, newer)
	f.publish(newer)
	await(t, func() bool { return f.sameRevision() && f.lowestRevision() > first }, "the newer revision is in force everywhere")
	accepted := f.lowestRevision()

	l := f.newLoad()
	b := newBalancer(f)
	l.add("captions", 4, b.caption)
	l.add("warnings", 2, b.warning)
	l.awaitMore("captions", 20)
	f.platform.Kill()
	await(t, func() bool { return !f.anyConfirmed() }, "the last confirmation is too old")
	l.awaitMore("captions", 40)
	l.awaitMore("warnings", 10)
	require.Equal(t, accepted, f.lowestRevision())

	f.startPlatform(f.platformAddr)
	f.publish(f.rulesText)
	f.listVMs()
	l.awaitMore("captions", 40)
	l.awaitMore("warnings", 10)
	ends := l.finish()
	f.requireAllComplete("captions", ends["captions"])
	f.requireAllComplete("warnings", ends["warnings"])
	f.requireTruthfulOutcomes(ends["warnings"])

	restarted := f.vms[0]
	restarted.Kill()
	f.startVM(restarted)
	f.awaitSettled(f.vms...)
	for _, v := range f.vms {
		f.requireAnswer(v, "caption")
	}
	require.True(t, f.sameRevision())
	require.Equal(t, accepted, f.lowestRevision())
}

// anyConfirmed tells whether any daemon's configuration is confirmed by now.
func (f *fleet) anyConfirmed() bool {
	for _, v := range f.vms {
		if s, ok := v.status(); !ok || s.Configuration.Fresh {
			return true
		}
	}
	return false
}

// lowestRevision is the lowest that is in force at any daemon.
func (f *fleet) lowestRevision() shed.Revision {
	f.t.Helper()
	lowest := shed.Revision(0)
	for i, v := range f.vms {
		s, ok := v.status()
		require.True(f.t, ok, v.name)
		if i == 0 || s.Configuration.Revision < lowest {
			lowest = s.Configuration.Revision
		}
	}
	return lowest
}

// sameRevision tells whether one revision is in force everywhere.
func (f *fleet) sameRevision() bool {
	f.t.Helper()
	lowest := f.lowestRevision()
	for _, v := range f.vms {
		if s, ok := v.status(); !ok || s.Configuration.Revision != lowest {
			return false
		}
	}
	return true
}
