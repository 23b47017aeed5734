package procs

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

// The platform dies, and comes back at its old address holding an older
// configuration under a lower revision. Callers see nothing of either. Every
// daemon keeps the revision that it had accepted, also one that is started
// anew while the platform is stale: it asks its peers and not the platform
// alone.
func TestPlatformStopsAndComesBackStale(t *testing.T) {
	f := startFleet(t, fleetConfig{example: "small"})
	first := f.revision()
	newer := strings.Replace(f.text, "share 4", "share 5", 1)
	require.NotEqual(t, f.text, newer)
	f.publish(newer)
	await(t, func() bool { return f.agreed() && f.revision() > first }, "the newer revision is in force everywhere")
	accepted := f.revision()

	l := f.load()
	b := newBalancer(f)
	l.add("captions", 4, b.caption)
	l.add("warnings", 2, b.warning)
	l.goOn("captions", 20)
	f.platform.kill()
	l.goOn("captions", 60)
	require.Equal(t, accepted, f.revision())

	f.startPlatform(f.platformAddr)
	f.publish(f.text)
	f.listVMs()
	l.goOn("captions", 60)
	restarted := f.vms[0]
	restarted.kill()
	f.startVM(restarted)
	f.settle(f.vms...)
	l.goOn("captions", 60)
	ends := l.finish()

	require.True(t, f.agreed())
	require.Equal(t, accepted, f.revision())
	f.trueAll(ends["warnings"])
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
