package route

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
)

// Defaults for a zero AffinityConfig.
const (
	DefaultLoadBound        = 1.25
	DefaultServersPerPrefix = 2
	DefaultSlowFactor       = 2.0
	DefaultSampleSize       = 2
)

// AffinityConfig sets up an Affinity policy. Zero values take the defaults.
type AffinityConfig struct {
	Seed uint64
	// LoadBound is the highest load, as a multiple of the mean relative load, at which a server is
	// still preferred for its prefixes; above 1.
	LoadBound float64
	// ServersPerPrefix is the number of servers per prefix, 1 to 4.
	ServersPerPrefix int
	// SlowFactor is the multiple of the mean call time above which a server counts as slow.
	SlowFactor float64
	// SampleSize is the number of candidates that are sampled if no server of the prefix is suitable;
	// the least loaded of them is picked.
	SampleSize int
}

// Affinity sends calls with the same prefix to the few servers that rank highest for it by
// rendezvous hashing, so that their prompt caches hit. If these are slow or loaded well above the
// mean, it picks the least loaded of some sampled candidates.
type Affinity struct {
	cfg AffinityConfig
	rng *rand.Rand
}

const maxServersPerPrefix = 4

// NewAffinity returns an Affinity policy.
func NewAffinity(cfg AffinityConfig) *Affinity {
	if cfg.LoadBound == 0 {
		cfg.LoadBound = DefaultLoadBound
	}
	if cfg.ServersPerPrefix == 0 {
		cfg.ServersPerPrefix = DefaultServersPerPrefix
	}
	cfg.ServersPerPrefix = min(cfg.ServersPerPrefix, maxServersPerPrefix)
	if cfg.SlowFactor == 0 {
		cfg.SlowFactor = DefaultSlowFactor
	}
	if cfg.SampleSize == 0 {
		cfg.SampleSize = DefaultSampleSize
	}
	return &Affinity{cfg: cfg, rng: newRand(cfg.Seed)}
}

// Pick implements shed.Policy.
func (p *Affinity) Pick(_ time.Time, prefix uint64, from []shed.Candidate) int {
	m := meansOf(from)
	slow := time.Duration(float64(m.callTime) * p.cfg.SlowFactor)
	if prefix != 0 {
		if i := p.pickPreferred(prefix, from, m.load*p.cfg.LoadBound, slow); i >= 0 {
			return i
		}
	}
	return p.pickSampled(from, slow)
}

// means holds the means over all candidates.
type means struct {
	load     float64
	callTime time.Duration
}

func meansOf(from []shed.Candidate) means {
	var calls, total float64
	var callTime time.Duration
	known := 0
	for i := range from {
		calls += float64(max(from[i].Running, from[i].OwnCalls))
		total += capacity(&from[i])
		if from[i].MedianCallTime > 0 {
			callTime += from[i].MedianCallTime
			known++
		}
	}
	m := means{load: (calls + 1) / total}
	if known > 0 {
		m.callTime = callTime / time.Duration(known)
	}
	return m
}

// pickPreferred returns the candidate with the highest rank for the prefix that is within the bound
// and not slow, or -1. Candidates are ranked before any is skipped, so that a prefix doesn't spread
// over the fleet while its servers are busy.
func (p *Affinity) pickPreferred(prefix uint64, from []shed.Candidate, bound float64, slow time.Duration) int {
	var ranks [maxServersPerPrefix]int
	var scores [maxServersPerPrefix]uint64
	n := 0
	for i := range from {
		score := rendezvous(prefix, from[i].Server.ID)
		at := n
		for at > 0 && scores[at-1] < score {
			at--
		}
		if at >= p.cfg.ServersPerPrefix {
			continue
		}
		n = min(n+1, p.cfg.ServersPerPrefix)
		copy(scores[at+1:n], scores[at:n-1])
		copy(ranks[at+1:n], ranks[at:n-1])
		scores[at], ranks[at] = score, i
	}
	for _, i := range ranks[:n] {
		if slow > 0 && from[i].MedianCallTime > slow {
			continue
		}
		// The tolerance of one call keeps a server of small capacity from exceeding the bound
		// only because its relative load changes in coarse steps.
		if relativeLoad(&from[i]) <= bound+1/capacity(&from[i]) {
			return i
		}
	}
	return -1
}

// pickSampled returns the least loaded of a few candidates sampled at random. All daemons see the
// same delayed load reports: if each picked the least loaded of all candidates, together they would
// overload it before the next report.
func (p *Affinity) pickSampled(from []shed.Candidate, slow time.Duration) int {
	best, bestLoad := 0, 0.0
	for k := range p.cfg.SampleSize {
		i := p.rng.IntN(len(from))
		load := relativeLoad(&from[i])
		if slow > 0 && from[i].MedianCallTime > slow {
			load++
		}
		if k == 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

func rendezvous(prefix uint64, id shed.ServerID) uint64 {
	x := xxhash.Sum64String(string(id)) ^ prefix
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
