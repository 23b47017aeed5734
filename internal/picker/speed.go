package picker

import (
	"math"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

const (
	// slownessWeight is the weight of the newest sample in an engine's slowness.
	slownessWeight = 0.5
	// usualWeight is the weight of the newest sample in the usual slowness of all engines.
	usualWeight = 1.0 / 32
	// slownessHalfLife is the time in which a slowness approaches the usual one by half without
	// new samples, so that an engine that has recovered is used again.
	slownessHalfLife = 2 * time.Second
	// slownessOffset is added to the actual and the predicted time of a sample: for short
	// prompts, the network and the engine's other requests matter more than its speed.
	slownessOffset = 60 * time.Millisecond
	// minSlowness and maxSlowness bound a sample.
	minSlowness, maxSlowness = 0.6, 8.0
	// newsFactor is by how much a sample must differ from what peers know for them to be told.
	newsFactor = 1.4
)

// slowness is how many times longer than usual an engine takes to the first event.
//
// Load pattern: many engines with few requests a second each, some of which turn several times
// slower for seconds. By its running requests alone a slow engine looks idle, so that it gets
// more prompts; each VM sees too few of its answers to notice, so VMs tell each other.
type slowness struct {
	// ratio is as of at; 0 if there was no sample.
	ratio float64
	at    time.Time
}

func (s *slowness) now(now time.Time) float64 {
	if s.ratio == 0 {
		return 1
	}
	return 1 + (s.ratio-1)*math.Exp2(-float64(now.Sub(s.at))/float64(slownessHalfLife))
}

func (s *slowness) add(now time.Time, sample float64) {
	ratio := s.now(now)
	s.ratio, s.at = ratio+slownessWeight*(sample-ratio), now
}

// isNews reports whether a sample tells peers something new.
func (s *slowness) isNews(now time.Time, sample float64) bool {
	known := s.now(now)
	return sample > known*newsFactor || sample < known/newsFactor
}

// slownessSample returns the slowness by one first event.
func slownessSample(actual, predicted time.Duration) float64 {
	ratio := float64(actual+slownessOffset) / float64(predicted+slownessOffset)
	return min(max(ratio, minSlowness), maxSlowness)
}

// pendingRead is a prompt whose first event has not arrived.
type pendingRead struct {
	placedAt time.Time
	missing  shed.Tokens
	// predicted is the time to the first event if the engine is as fast as usual.
	predicted time.Duration
	// sampled is the slowness that its wait was last counted with; 0 if it was not.
	sampled float64
}

// RecordFirstEvent records how long after it was sent the first event of a request arrived. The
// slowness of the server is returned if peers are to be told.
func (p *Picker) RecordFirstEvent(now time.Time, c Choice, took time.Duration) []shed.ServerSlowness {
	p.overrun.add(took - c.Time)
	if c.usualTime <= 0 {
		return nil
	}
	sample := slownessSample(took, c.usualTime)
	p.usualSlowness += usualWeight * (sample - p.usualSlowness)
	return p.addSlowness(now, c.Server, sample/p.usualSlowness)
}

// FindOverdue returns the slowness of engines at which a prompt has waited for its first event
// for much longer than predicted, for peers to be told.
func (p *Picker) FindOverdue(now time.Time) []shed.ServerSlowness {
	var out []shed.ServerSlowness
	for id, st := range p.loaded {
		for i := range st.pending {
			r := &st.pending[i]
			sample := slownessSample(now.Sub(r.placedAt), r.predicted) / p.usualSlowness
			if sample < max(r.sampled, newsFactor)*newsFactor {
				continue
			}
			r.sampled = sample
			if st.slowness.isNews(now, sample) {
				st.slowness.add(now, sample)
				out = append(out, shed.ServerSlowness{Server: id, Percent: int(100 * sample)})
			}
		}
	}
	return out
}

func (p *Picker) addSlowness(now time.Time, s *roster.Server, sample float64) []shed.ServerSlowness {
	st := p.servers[s.ID]
	if st == nil || st.born != s.StartedMs {
		return nil
	}
	news := st.slowness.isNews(now, sample)
	st.slowness.add(now, sample)
	if !news {
		return nil
	}
	return []shed.ServerSlowness{{Server: s.ID, Percent: int(100 * sample)}}
}

// ReceiveSlowness records samples of a peer.
func (p *Picker) ReceiveSlowness(now time.Time, samples []shed.ServerSlowness) {
	for _, s := range samples {
		if st := p.servers[s.Server]; st != nil && s.Percent > 0 {
			st.slowness.add(now, min(max(float64(s.Percent)/100, minSlowness), maxSlowness))
		}
	}
}

// addPending records a prompt that goes to the server.
func (st *state) addPending(now time.Time, c *Choice) {
	st.pending = append(st.pending, pendingRead{placedAt: now, missing: c.Missing, predicted: c.usualTime})
}

// removePending removes the oldest pending prompt of the choice's size.
func (st *state) removePending(c *Choice) {
	for i, r := range st.pending {
		if r.missing == c.Missing {
			st.pending = append(st.pending[:i], st.pending[i+1:]...)
			return
		}
	}
}
