package picker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
)

// Each part of a prompt is cached only at servers that hold all parts before it.
func TestCachedPartsFollowEachOther(t *testing.T) {
	now := time.Unix(1, 0)
	x := newPrefixIndex()
	both, first, second := &state{}, &state{}, &state{}
	x.receive(now, both, []uint64{1, 2})
	x.receive(now, first, []uint64{1})
	x.receive(now, second, []uint64{2})
	prompt := []shed.PromptPart{{Tokens: 100}, {Tokens: 10}, {Tokens: 1}}
	require.Equal(t, map[*state]shed.Tokens{both: 110, first: 100}, x.cached(now, prompt, []uint64{1, 2}))
	require.Empty(t, x.cached(now, prompt, []uint64{3, 2}))
	require.Empty(t, x.cached(now.Add(prefixRetention+1), prompt, []uint64{1, 2}))
}

// A caller sends requests that each have a prefix of their own. Guards against an index that
// grows with them: within the retention and after it.
func TestPrefixIndexIsBounded(t *testing.T) {
	x := newPrefixIndex()
	st, now := &state{}, time.Unix(1, 0)
	for i := range uint64(4 * maxPrefixes) {
		x.receive(now, st, []uint64{i})
		require.LessOrEqual(t, len(x.holders), maxPrefixes)
	}
	now = now.Add(prefixRetention + 1)
	for i := range uint64(maxPrefixes) {
		x.receive(now.Add(time.Duration(i)*time.Millisecond), st, []uint64{i << 32})
	}
	require.LessOrEqual(t, len(x.holders), maxPrefixes)
}

// All requests of a burst use one prefix, at two VMs. Told of each, hundreds of VMs would get
// more reports than requests; they must be told of the server once, and again before they would
// forget it.
func TestPrefixIsReportedOnce(t *testing.T) {
	now := time.Unix(1, 0)
	one, two := newPrefixIndex(), newPrefixIndex()
	st, reports := &state{}, 0
	const last = 20 * time.Second
	for at := time.Duration(0); at < last; at += 10 * time.Millisecond {
		here, there := &one, &two
		if at%(20*time.Millisecond) == 0 {
			here, there = there, here
		}
		if here.place(now.Add(at), st, []uint64{1, 2}) {
			reports++
			there.receive(now.Add(at), st, []uint64{1, 2})
		}
	}
	require.Equal(t, int(last/prefixReportInterval), reports)
	require.Less(t, prefixReportInterval, prefixRetention/2)
	require.True(t, one.place(now.Add(last), st, []uint64{1, 3}), "a prefix that peers don't know")
}
