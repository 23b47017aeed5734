package procs

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

// Guards against daemons that fail or revert their configuration when the platform dies and comes
// back with an older configuration under a lower revision. Callers must not notice: without a
// confirmed configuration no work is forwarded to another zone, but each zone has servers of every
// kind and continues. Every daemon must keep the revision that it had accepted, also one that
// restarts while the platform is stale, since it asks its peers and not the platform alone.
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

// anyConfirmed reports whether any daemon's configuration is confirmed, or any status is unknown.
func (f *fleet) anyConfirmed() bool {
	for _, v := range f.vms {
		if s, ok := v.status(); !ok || s.Configuration.Fresh {
			return true
		}
	}
	return false
}

// lowestRevision returns the lowest revision in force at any daemon.
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

// sameRevision reports whether the same revision is in force at all daemons.
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
