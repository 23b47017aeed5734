package picker

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
	"jasmineshed/internal/rank"
	"jasmineshed/internal/roster"
)

const (
	// prefixRetention is how long a prefix is assumed to stay in a server's memory.
	prefixRetention = 30 * time.Second
	// maxPrefixes bounds the number of prefixes remembered.
	maxPrefixes = 1 << 15
	// prefixReportInterval is the least time between two reports to peers that a server holds a
	// prefix, well below the retention.
	prefixReportInterval = 10 * time.Second
	// minPruneSize is the number of prefixes from which expired ones are dropped.
	minPruneSize = 1 << 10
)

// prefixIndex remembers which servers have read which prefixes.
//
// Load pattern: thousands of engines, each prefix held by a few. A choice looks up the few
// holders instead of asking each engine for each part of the prompt.
type prefixIndex struct {
	// holders are the servers that have read a prefix, by the hash of its chain.
	holders map[uint64][]*holder
	// pruneSize is the number of prefixes at which expired ones are dropped next.
	pruneSize int
}

// holder is a server that has read a prefix.
type holder struct {
	server *state
	// usedAt is when the prefix was last used there, reportedAt when this VM or a peer last
	// reported that to all.
	usedAt, reportedAt time.Time
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{holders: map[uint64][]*holder{}, pruneSize: minPruneSize}
}

// place records that this VM sends a prompt to a server, and returns whether peers are to be told:
// most prompts only use prefixes again that they know of.
func (x *prefixIndex) place(now time.Time, server *state, chain []uint64) (report bool) {
	holders := x.use(now, server, chain)
	for _, o := range holders {
		report = report || now.Sub(o.reportedAt) >= prefixReportInterval
	}
	if report {
		markReported(now, holders)
	}
	return report
}

// receive records that a peer reported that it sent a prompt to a server.
func (x *prefixIndex) receive(now time.Time, server *state, chain []uint64) {
	markReported(now, x.use(now, server, chain))
}

func markReported(now time.Time, holders []*holder) {
	for _, o := range holders {
		o.reportedAt = now
	}
}

// use records that a server reads or uses all prefixes of a chain now.
func (x *prefixIndex) use(now time.Time, server *state, chain []uint64) []*holder {
	if len(x.holders) >= x.pruneSize {
		x.prune(now)
	}
	out := make([]*holder, len(chain))
	for i, h := range chain {
		list := x.holders[h]
		at := slices.IndexFunc(list, func(o *holder) bool { return o.server == server })
		if at < 0 {
			list = slices.DeleteFunc(list, func(o *holder) bool { return o.expired(now) })
			at = len(list)
			list = append(list, &holder{server: server})
			x.holders[h] = list
		}
		out[i] = list[at]
		out[i].usedAt = now
	}
	return out
}

// prune drops prefixes that have surely been evicted from the servers' memory.
func (x *prefixIndex) prune(now time.Time) {
	for h, list := range x.holders {
		list = slices.DeleteFunc(list, func(o *holder) bool { return o.expired(now) })
		if len(list) == 0 {
			delete(x.holders, h)
		} else {
			x.holders[h] = list
		}
	}
	if len(x.holders) > maxPrefixes/2 {
		clear(x.holders)
	}
	x.pruneSize = max(2*len(x.holders), minPruneSize)
}

// cached returns how many tokens of the prompt's shared parts each server has cached.
func (x *prefixIndex) cached(now time.Time, prompt []shed.PromptPart, chain []uint64) map[*state]shed.Tokens {
	var out map[*state]shed.Tokens
	before := shed.Tokens(0)
	for i, h := range chain {
		found := false
		for _, o := range x.holders[h] {
			// A part can only be used after all parts before it.
			if o.expired(now) || i > 0 && out[o.server] < before {
				continue
			}
			if out == nil {
				out = map[*state]shed.Tokens{}
			}
			out[o.server] = before + prompt[i].Tokens
			found = true
		}
		if !found {
			break
		}
		before += prompt[i].Tokens
	}
	return out
}

func (o *holder) expired(now time.Time) bool { return now.Sub(o.usedAt) > prefixRetention }

// rendezvousCost ranks servers that would all have to read the prompt. The same rendezvous
// hash on every VM sends requests with a common prefix to one server before the VMs have
// exchanged any reports. It is a share of the reading time, so that load outweighs it.
func rendezvousCost(s *roster.Server, chain []uint64, reading time.Duration) time.Duration {
	if len(chain) == 0 || reading == 0 {
		return 0
	}
	return time.Duration(float64(reading) * rank.Uniform(chain[len(chain)-1], string(s.ID)))
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
