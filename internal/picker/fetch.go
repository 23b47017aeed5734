package picker

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

// fetchLeast is the least that is worth fetching, in tokens: below it, setting the
// transfer up takes about as long as reading.
const fetchLeast shed.Tokens = 256

// fetchSetUp is what a fetch takes beside the transfer.
const fetchSetUp = 5 * time.Millisecond

// farTimes is how much longer a fetch from another zone takes.
const farTimes = 2

// donors are, by zone, the servers that keep the most of the shared parts of a
// prompt, and the one that keeps the most of all.
//
// Load pattern: many requests share a long prefix, and the server that has it is
// busy or in another zone than the request's inputs. Fetching the prefix from it
// takes a fraction of the time that reading it again takes, during which all other
// requests of that server would wait for their next token.
type donors struct {
	zone map[shed.ZoneID]donor
	best donor
	// shared are the tokens of the prompt's shared parts.
	shared shed.Tokens
}

type donor struct {
	server *roster.Server
	// keeps are the tokens of shared parts that it has.
	keeps shed.Tokens
}

func (p *Picker) donors(now time.Time, w *Request, from []*roster.Server, chain []uint64) donors {
	var out donors
	if !w.Engine || w.FetchRate <= 0 || len(chain) == 0 {
		return out
	}
	for _, part := range w.Prompt[:len(chain)] {
		out.shared += part.Tokens
	}
	for _, s := range from {
		st := p.state(s)
		d := donor{server: s, keeps: st.keeps(now, w, chain)}
		if d.keeps < fetchLeast || avoided(w.Avoid, s.ID) {
			continue
		}
		if p.zone(s.Zone).now(now) > mostFaults || st.faults.now(now) > mostFaults {
			continue
		}
		if d.keeps > out.best.keeps {
			out.best = d
		}
		if d.keeps > out.zone[s.Zone].keeps {
			if out.zone == nil {
				out.zone = map[shed.ZoneID]donor{}
			}
			out.zone[s.Zone] = d
		}
	}
	return out
}

// mostFaults is the share of failed calls from which a server is asked for nothing
// that can be had without it.
const mostFaults = 0.1

// keeps is how many tokens of the prompt's shared parts the server has.
func (st *state) keeps(now time.Time, w *Request, chain []uint64) shed.Tokens {
	var out shed.Tokens
	for i, h := range chain {
		at, ok := st.prefixes[h]
		if !ok || now.Sub(at) > keepPrefix {
			break
		}
		out += w.Prompt[i].Tokens
	}
	return out
}

// fetch lets the chosen server fetch what it lacks of the shared parts, and returns
// how many tokens of them it need not read.
func (d donors) fetch(c *Choice, s *roster.Server, again shed.Tokens) shed.Tokens {
	if again < fetchLeast {
		return 0
	}
	has := d.shared - again
	from := d.zone[s.Zone]
	if from.keeps < has+fetchLeast {
		from = d.best
	}
	if from.keeps < has+fetchLeast || from.server == s {
		return 0
	}
	c.Donor, c.Fetched = from.server, from.keeps-has
	c.Missing -= min(c.Missing, c.Fetched)
	return c.Fetched
}

// fetchTime is how long the fetch takes that c stands for.
func (c *Choice) fetchTime(rate float64) time.Duration {
	if c.Donor == nil {
		return 0
	}
	took := time.Duration(float64(c.Fetched) / rate * float64(time.Millisecond))
	if c.Donor.Zone != c.Server.Zone {
		took *= farTimes
	}
	return fetchSetUp + took
}
