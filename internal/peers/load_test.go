package peers_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	shed "jasmineshed"
	"jasmineshed/internal/peers"
)

// BenchmarkRelayLoad gives the bytes of one load message, by the servers on which
// its sender has requests and the prompts that it has placed since the last one.
//
//	go test ./internal/peers -run xxx -bench RelayLoad -benchtime 100x
func BenchmarkRelayLoad(b *testing.B) {
	for _, n := range []int{0, 3, 30} {
		b.Run(fmt.Sprint(n, "_servers"), func(b *testing.B) {
			load := shed.RelayLoad{
				Sequence: 1 << 20, AsOf: 1 << 16, Digest: 1 << 60, Confirmed: 200 * time.Millisecond, Power: 1000,
				Servers: map[shed.ServerID]shed.ServerShare{},
				Waits:   []shed.PieceWait{{Pool: "model-ingest", Timely: time.Second, Last: time.Second}},
			}
			for i := range n {
				id := shed.ServerID(fmt.Sprintf("i-%010x", i))
				load.Servers[id] = shed.ServerShare{Running: 4, Reading: 12000}
				load.Placed = append(load.Placed, shed.PromptPlaced{Server: id, Chain: []uint64{1 << 60, 1 << 61}})
			}
			size := 0
			for range b.N {
				n, err := peers.Size(shed.Peer{VM: "10.1.0.41:8628", Incarnation: 1 << 60}, load)
				require.NoError(b, err)
				size = n
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
