package delta_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	shed "jasmineshed"
	"jasmineshed/internal/delta"
)

// routes returns a configuration's text with n routes with random names.
func routes(n int) []byte {
	rnd := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"name":"%08x","host":"h","path_prefix":"/%08x/%d/","kind":"idempotent","timeout_ms":1200,`+
			`"target_latency_ms":150,"priority":2,"service":"svc","max_attempts":2,"gap_aim_ms":500},`, rnd.Uint32(), rnd.Uint32(), i)
	}
	return []byte(b.String())
}

// A small change of a large value is sent to every VM. Its size must depend on the change only,
// or each one saturates links of 10 Mbit/s for a second.
func TestChangeCostsWhatHasChanged(t *testing.T) {
	small, large := routes(2800), routes(4200)
	packedMore, err := delta.Pack(large, small)
	require.NoError(t, err)
	require.Less(t, len(packedMore), 1400*40, "1,400 routes more, with 16 random digits each")
	next := append([]byte("version 18 "), large...)
	packedNext, err := delta.Pack(next, large)
	require.NoError(t, err)
	require.Less(t, len(packedNext), 1000)
	got, err := delta.Unpack(packedNext, large)
	require.NoError(t, err)
	require.Equal(t, next, got)
}

func TestAnyValueComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "base")
		value := append(rapid.SliceOf(rapid.Byte()).Draw(t, "head"), base[:rapid.IntRange(0, len(base)).Draw(t, "kept")]...)
		packed, err := delta.Pack(value, base)
		require.NoError(t, err)
		got, err := delta.Unpack(packed, base)
		require.NoError(t, err)
		require.Equal(t, len(value), len(got))
		require.Equal(t, string(value), string(got))
	})
}

// A peer sends the difference to a value that this VM doesn't have, or invalid bytes. The item is
// rejected, as a partial configuration must never be read.
func TestOtherBaseIsRefused(t *testing.T) {
	var p delta.Packer
	old, item := shed.Item{Key: "c", Revision: 5, Value: routes(100)}, shed.Item{Key: "c", Revision: 9, Value: routes(200)}
	change := p.Pack(item, old)
	require.True(t, change.Packed)
	got, err := delta.Restore(change, old)
	require.NoError(t, err)
	require.Equal(t, item, got)
	for name, held := range map[string]shed.Item{
		"another revision": {Key: "c", Revision: 6, Value: old.Value},
		"nothing":          {},
		"another value":    {Key: "c", Revision: 5, Value: routes(99)},
	} {
		_, err := delta.Restore(change, held)
		require.ErrorIs(t, err, delta.ErrUnpack, name)
	}
	change.Value = []byte("nonsense")
	_, err = delta.Restore(change, old)
	require.ErrorIs(t, err, delta.ErrUnpack)
}

// BenchmarkPack measures packing and unpacking a configuration of 4,200 routes: whole, with
// 1,400 of them new, and with a small change.
//
//	go test ./internal/delta -run xxx -bench Pack -benchmem -cpu 1
func BenchmarkPack(b *testing.B) {
	large := routes(4200)
	for _, c := range []struct {
		name        string
		value, base []byte
	}{
		{"whole", large, nil},
		{"1400_more", large, routes(2800)},
		{"small_change", append([]byte("version 18 "), large...), large},
	} {
		packed, err := delta.Pack(c.value, c.base)
		require.NoError(b, err)
		b.Run("pack_"+c.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				_, _ = delta.Pack(c.value, c.base)
			}
			b.ReportMetric(float64(len(packed)), "bytes")
		})
		b.Run("unpack_"+c.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				_, _ = delta.Unpack(packed, c.base)
			}
		})
	}
}

// Guards against a value that is taken for the receiver's own although the receiver has another one
// or none.
func TestHashStandsForTheSameValueOnly(t *testing.T) {
	item := shed.Item{Key: "k", Revision: 9, Value: []byte("value")}
	c := delta.Hashed(item)
	require.Empty(t, c.Value)
	got, err := delta.Restore(c, shed.Item{Key: "k", Revision: 3, Value: []byte("value")})
	require.NoError(t, err)
	require.Equal(t, item, got)
	for _, held := range []shed.Item{{}, {Key: "k", Revision: 3, Value: []byte("other")}, {Key: "k", Revision: 3}} {
		_, err = delta.Restore(c, held)
		require.ErrorIs(t, err, delta.ErrUnpack)
	}
}
