package picker

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

// pace is this daemon's share of what one cold server bears: a token bucket
// that holds one request.
//
// A cold server bears a rate from all VMs together, in or out of touch. With no
// shared state, each daemon takes the rate divided by the number of VMs that may
// send to it. A bucket of one lets a VM send one request more than its share in
// the worst second, so there may be as many VMs as the rate has slack.
type pace struct {
	last   time.Time
	tokens float64
}

func (p *Picker) paceOf(now time.Time, id shed.ServerID, rate float64) *pace {
	b := p.pace[id]
	if b == nil {
		b = &pace{last: now, tokens: 1}
		p.pace[id] = b
	}
	if gap := now.Sub(b.last); gap > 0 {
		b.tokens = min(b.tokens+gap.Seconds()*rate, 1)
		b.last = now
	}
	return b
}

// mayCold tells whether the cold server may have one more request from here.
func (p *Picker) mayCold(now time.Time, w *Want, s *roster.Server) bool {
	return (w.MayCold == nil || w.MayCold(s.ID)) && p.coldRoom(now, s, w.ColdRate)
}

// coldRoom tells whether the cold server may have one more request.
func (p *Picker) coldRoom(now time.Time, s *roster.Server, rate float64) bool {
	return p.paceOf(now, s.ID, rate).tokens >= 1
}

// coldTake uses the server's share up. It counts for warm servers too, since a
// server may turn cold unseen.
func (p *Picker) coldTake(now time.Time, s *roster.Server, rate float64) {
	b := p.paceOf(now, s.ID, rate)
	b.tokens = max(b.tokens-1, 0)
}
