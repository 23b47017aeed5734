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
	// LoadBound is how far above the mean relative load a server that has the
	// prefix may be and still be preferred; above 1.
	LoadBound float64
	// ServersPerPrefix is how many servers hold one prefix, 1 to 4.
	ServersPerPrefix int
	// SlowFactor times the mean time per call makes a server slow.
	SlowFactor float64
	// SampleSize is how many candidates are drawn where no server that has the prefix
	// will do; the least loaded of them is taken.
	SampleSize int
}

// Affinity sends calls with one prefix to the few servers that rank highest
// for it in a rendezvous hash, so that their prompt caches hit, unless these
// are loaded well above the mean or slow; then to the least loaded.
type Affinity struct {
	cfg AffinityConfig
	rng *rand.Rand
}

const maxRanks = 4

// NewAffinity returns the policy.
func NewAffinity(cfg AffinityConfig) *Affinity {
	if cfg.LoadBound == 0 {
		cfg.LoadBound = DefaultLoadBound
	}
	if cfg.ServersPerPrefix == 0 {
		cfg.ServersPerPrefix = DefaultServersPerPrefix
	}
	cfg.ServersPerPrefix = min(cfg.ServersPerPrefix, maxRanks)
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
	m := measure(from)
	slow := time.Duration(float64(m.slow) * p.cfg.SlowFactor)
	if prefix != 0 {
		if i := p.preferred(prefix, from, m.load*p.cfg.LoadBound, slow); i >= 0 {
			return i
		}
	}
	return p.sampled(from, slow)
}

// means are the means over all candidates.
type means struct {
	load float64
	slow time.Duration
}

func measure(from []shed.Candidate) means {
	var running, room float64
	var slow time.Duration
	known := 0
	for i := range from {
		running += float64(max(from[i].Running, from[i].OwnCalls))
		room += bears(&from[i])
		if from[i].MedianCallTime > 0 {
			slow += from[i].MedianCallTime
			known++
		}
	}
	m := means{load: (running + 1) / room}
	if known > 0 {
		m.slow = slow / time.Duration(known)
	}
	return m
}

// preferred returns the highest rank for the prefix that is within the bound,
// or -1. Ranks are counted over all candidates before any is passed over, so
// that a prefix does not wander over the fleet while its servers are busy.
func (p *Affinity) preferred(prefix uint64, from []shed.Candidate, bound float64, slow time.Duration) int {
	var ranks [maxRanks]int
	var scores [maxRanks]uint64
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
		// A server with one place free of many is never above the bound only
		// because its step is coarse.
		if relative(&from[i]) <= bound+1/bears(&from[i]) {
			return i
		}
	}
	return -1
}

// sampled returns the least loaded of a few candidates drawn at random. All
// daemons see the same reports, late: if each took the least loaded of all,
// they would run that one over together before the next report.
func (p *Affinity) sampled(from []shed.Candidate, slow time.Duration) int {
	best, bestLoad := 0, 0.0
	for k := range p.cfg.SampleSize {
		i := p.rng.IntN(len(from))
		load := relative(&from[i])
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
