package picker

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

// fetchLeast is the least that is worth fetching, in tokens: below it, setting the
// transfer up takes about as long as reading.
const minFetch shed.Tokens = 256

// fetchSetUp is what a fetch takes beside the transfer.
const fetchSetupTime = 5 * time.Millisecond

// farTimes is how much longer a fetch from another zone takes.
const crossZoneFetchFactor = 2

// donors are, by zone, the servers that keep the most of the shared parts of a
// prompt, and the one that keeps the most of all.
//
// Load pattern: many requests share a long prefix, and the server that has it is
// busy or in another zone than the request's inputs. Fetching the prefix from it
// takes a fraction of the time that reading it again takes, during which all other
// requests of that server would wait for their next token.
type donors struct {
	byZone map[shed.ZoneID]donor
	best   donor
	// sharedTokens are the tokens of the prompt's shared parts.
	sharedTokens shed.Tokens
}

type donor struct {
	server *roster.Server
	// cachedTokens are the tokens of shared parts that it has.
	cachedTokens shed.Tokens
}

func (p *Picker) findDonors(now time.Time, w *Want, servers []*roster.Server, chain []uint64) donors {
	var out donors
	if !w.Engine || w.FetchRate <= 0 || len(chain) == 0 {
		return out
	}
	for _, part := range w.Prompt[:len(chain)] {
		out.sharedTokens += part.Tokens
	}
	for _, s := range servers {
		st := p.state(s)
		d := donor{server: s, cachedTokens: st.cachedTokens(now, w, chain)}
		if d.cachedTokens < minFetch || avoided(w.Avoid, s.ID) {
			continue
		}
		if p.zoneFailureRate(s.Zone).now(now) > maxDonorFailureRate || st.failures.now(now) > maxDonorFailureRate {
			continue
		}
		if d.cachedTokens > out.best.cachedTokens {
			out.best = d
		}
		if d.cachedTokens > out.byZone[s.Zone].cachedTokens {
			if out.byZone == nil {
				out.byZone = map[shed.ZoneID]donor{}
			}
			out.byZone[s.Zone] = d
		}
	}
	return out
}

// mostFaults is the share of failed calls from which a server is asked for nothing
// that can be had without it.
const maxDonorFailureRate = 0.1

// cachedTokens is how many tokens of the prompt's shared parts the server has.
func (st *state) cachedTokens(now time.Time, w *Want, chain []uint64) shed.Tokens {
	var out shed.Tokens
	for i, h := range chain {
		at, ok := st.prefixes[h]
		if !ok || now.Sub(at) > prefixRetention {
			break
		}
		out += w.Prompt[i].Tokens
	}
	return out
}

// planFetch lets the chosen server fetch what it lacks of the shared parts, and returns
// how many tokens of them it need not read.
func (d donors) planFetch(c *Choice, s *roster.Server, reread shed.Tokens) shed.Tokens {
	if reread < minFetch {
		return 0
	}
	cached := d.sharedTokens - reread
	source := d.byZone[s.Zone]
	if source.cachedTokens < cached+minFetch {
		source = d.best
	}
	if source.cachedTokens < cached+minFetch || source.server == s {
		return 0
	}
	c.Donor, c.Fetched = source.server, source.cachedTokens-cached
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
		took *= crossZoneFetchFactor
	}
	return fetchSetupTime + took
}
