package picker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

// rendezvousCost ranks servers that would all have to read the prompt. The same rendezvous
// hash on every VM sends requests with a common prefix to one server before the VMs have
// exchanged any reports. It is a share of the reading time, so that load outweighs it.
func rendezvousCost(s *roster.Server, chain []uint64, reading time.Duration) time.Duration {
	if len(chain) == 0 || reading == 0 {
		return 0
	}
	h := xxhash.Sum64String(string(s.ID)) ^ chain[len(chain)-1]
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return time.Duration(float64(reading) * float64(h>>11) / (1 << 53))
}

// prefixChains hashes the prompt's shared parts, each together with those before it: a cached
// part can only be used after the parts that it follows. The last part is the request's own.
func prefixChains(prompt []shed.PromptPart) []uint64 {
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

// PrefixChains returns the hashes by which peers identify prefixes to each other.
func PrefixChains(prompt []shed.PromptPart) []uint64 { return prefixChains(prompt) }
