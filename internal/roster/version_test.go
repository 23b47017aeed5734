package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

// The version of a pool's servers is certain only after a period in which the store answered and no
// other version was listed.
func TestOnlyVersion(t *testing.T) {
	const period = 10 * time.Second
	r := roster.New(roster.Config{})
	rev := shed.Revision(0)
	put := func(at time.Duration, id string, version shed.SoftwareVersion) {
		rev++
		r.Apply(start.Add(at), store(rev, server(id, rev, func(e *shed.ServerEntry) { e.Version = version })))
	}
	remove := func(at time.Duration, id string) {
		rev++
		r.Apply(start.Add(at), store(rev, gone(id, rev)))
	}
	contact := func(from, to time.Duration) {
		for at := from; at <= to; at += time.Second {
			r.Apply(start.Add(at), store(rev))
		}
	}
	only := func(at time.Duration) (shed.SoftwareVersion, bool) {
		return r.OnlyVersion(start.Add(at), "lm", period)
	}
	put(0, "s1", "v1")
	_, ok := only(time.Second)
	require.False(t, ok, "what was listed before the first answer is not known")
	contact(time.Second, 10*time.Second)
	version, ok := only(10 * time.Second)
	require.True(t, ok)
	require.Equal(t, shed.SoftwareVersion("v1"), version)
	_, ok = only(15 * time.Second)
	require.False(t, ok, "the store has not answered for a while")
	contact(11*time.Second, 15*time.Second)
	put(15*time.Second, "s2", "v2")
	_, ok = only(15 * time.Second)
	require.False(t, ok, "two versions serve")
	remove(16*time.Second, "s1")
	contact(17*time.Second, 25*time.Second)
	_, ok = only(25 * time.Second)
	require.False(t, ok, "a stream of the version that is gone may live")
	contact(26*time.Second, 26*time.Second)
	version, ok = only(26 * time.Second)
	require.True(t, ok)
	require.Equal(t, shed.SoftwareVersion("v2"), version)
}
