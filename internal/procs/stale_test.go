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
	first := f.revision()
	newer := strings.Replace(f.text, "share 6", "share 7", 1)
	require.NotEqual(t, f.text, newer)
	f.publish(newer)
	await(t, func() bool { return f.agreed() && f.revision() > first }, "the newer revision is in force everywhere")
	accepted := f.revision()

	l := f.load()
	b := newBalancer(f)
	l.add("captions", 4, b.caption)
	l.add("warnings", 2, b.warning)
	l.goOn("captions", 20)
	f.platform.Kill()
	await(t, func() bool { return !f.anyFresh() }, "the last confirmation is too old")
	l.goOn("captions", 40)
	l.goOn("warnings", 10)
	require.Equal(t, accepted, f.revision())

	f.startPlatform(f.platformAddr)
	f.publish(f.text)
	f.listVMs()
	l.goOn("captions", 40)
	l.goOn("warnings", 10)
	ends := l.finish()
	f.wholeAll("captions", ends["captions"])
	f.wholeAll("warnings", ends["warnings"])
	f.trueAll(ends["warnings"])

	restarted := f.vms[0]
	restarted.Kill()
	f.startVM(restarted)
	f.settle(f.vms...)
	for _, v := range f.vms {
		f.answersWhole(v, "caption")
	}
	require.True(t, f.agreed())
	require.Equal(t, accepted, f.revision())
}

// anyFresh tells whether any daemon's configuration is confirmed by now.
func (f *fleet) anyFresh() bool {
	for _, v := range f.vms {
		if s, ok := v.status(); !ok || s.Configuration.Fresh {
			return true
		}
	}
	return false
}

// revision is the lowest that is in force at any daemon.
func (f *fleet) revision() shed.Revision {
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

// agreed tells whether one revision is in force everywhere.
func (f *fleet) agreed() bool {
	f.t.Helper()
	lowest := f.revision()
	for _, v := range f.vms {
		if s, ok := v.status(); !ok || s.Configuration.Revision != lowest {
			return false
		}
	}
	return true
}
