package picker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

// homeCost orders servers that would all have to read the prompt: the same
// daemonless hash on every VM lets requests with a common prefix meet on one
// server though none of the VMs has told the others of it. It is a share of the
// reading time, so that load outweighs it.
func homeCost(s *roster.Server, chain []uint64, reading time.Duration) time.Duration {
	if len(chain) == 0 || reading == 0 {
		return 0
	}
	h := xxhash.Sum64String(string(s.ID)) ^ chain[len(chain)-1]
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return time.Duration(float64(reading) * float64(h>>11) / (1 << 53))
}

// chains hashes the prompt's shared parts, each together with those before it:
// a part is only kept in memory for the parts that it follows. The last part is
// the request's own.
func chains(prompt []shed.PromptPart) []uint64 {
	if len(prompt) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(prompt)-1)
	var d xxhash.Digest
	d.Reset()
	for _, part := range prompt[:len(prompt)-1] {
		// A write to a digest can't fail.
		_, _ = d.WriteString(part.ID)
		_, _ = d.WriteString(",")
		out = append(out, d.Sum64())
	}
	return out
}

// PrefixChains are the hashes by which peers tell each other of prefixes.
func PrefixChains(prompt []shed.PromptPart) []uint64 { return chains(prompt) }
