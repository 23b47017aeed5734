package poison_test

import (
	"fmt"
	"testing"

	shed "jasmineshed"
	"jasmineshed/internal/poison"
)

// BenchmarkPromptParts measures what the parts of a prompt cost each request: their fingerprints, a
// decision for each, and the record that its answer has begun.
func BenchmarkPromptParts(b *testing.B) {
	for _, n := range []int{4, 32, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb := newTable()
			crash(tb, at(0), fingerprintOf("r", 1), 1)
			prompt := make([]shed.PromptPart, n)
			for i := range prompt {
				prompt[i].ID = fmt.Sprintf("%08x", i)
			}
			b.ReportAllocs()
			for range b.N {
				parts := poison.PartFingerprints("p", prompt)
				for _, f := range parts {
					tb.Decide(at(1), f, firstTurn)
				}
				tb.RanParts(at(1), parts)
			}
		})
	}
}
