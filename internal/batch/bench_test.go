package batch_test

import (
	"fmt"
	"testing"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/batch"
)

// BenchmarkJob adds a job of three pieces and ends its call, at a pool half of whose servers
// are busy.
//
//	go test ./internal/batch -run xxx -bench Job -cpu 1
func BenchmarkJob(b *testing.B) {
	for _, n := range []int{18, 400} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			var servers []shed.ServerEntry
			for i := range n {
				servers = append(servers, shed.ServerEntry{ID: shed.ServerID(fmt.Sprintf("s%05d", i)), Zone: shed.ZoneID(string(rune('a' + i%3))), StartedMs: 1})
			}
			batcher := batch.New(func(shed.PoolID) []shed.ServerEntry { return servers })
			now := start
			var calls []batch.Send
			for job := batch.JobID(1); b.Loop(); job++ {
				now = now.Add(time.Millisecond)
				pieces := make([]shed.Piece, 3)
				for i := range pieces {
					pieces[i] = shed.Piece{Number: i, Budget: 5 * time.Second, Target: time.Second}
				}
				acts := batcher.Handle(now, batch.JobAdded{Job: job, Pool: "p", Limits: limits, Pieces: pieces})
				for len(calls) > n/2 {
					results := make([]shed.PieceResult, len(calls[0].Pieces))
					for i := range results {
						results[i].End = shed.PieceFailed
					}
					acts = append(acts, batcher.Handle(now, batch.CallEnded{Call: calls[0].Call, Results: results})...)
					calls = calls[1:]
				}
				for _, act := range acts {
					if send, ok := act.(batch.Send); ok {
						calls = append(calls, send)
					}
				}
			}
		})
	}
}
