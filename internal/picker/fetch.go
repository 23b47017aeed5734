package picker

import (
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/roster"
)

// minFetch is the smallest number of tokens worth fetching: below it, setting up the transfer
// takes about as long as reading them.
const minFetch shed.Tokens = 256

// fetchSetupTime is the fixed time of a fetch besides the transfer.
const fetchSetupTime = 5 * time.Millisecond

// DefaultMinFetchCost is the usual Request.MinFetchCost with fast links. A copy takes so little time
// there that any load on the engine with the prefix would be a reason for one, but copies occupy memory
// on both engines and evict other prefixes, which are then read again.
const DefaultMinFetchCost = 8 * time.Microsecond

// fastFetchTime is the time to fetch a token below which a link is fast. A link of 260 Gbit/s takes twice
// that for 130 KB a token.
const fastFetchTime = 2 * time.Microsecond

// IsFastFetch reports whether engines that fetch so many tokens per millisecond have fast links.
func IsFastFetch(rate float64) bool {
	return rate > 0 && float64(time.Millisecond)/rate < float64(fastFetchTime)
}

// crossZoneFetchFactor is how much longer a fetch from another zone takes.
const crossZoneFetchFactor = 2

// cacheSources holds the server that has cached the most of the shared parts of a prompt, per
// zone and overall.
//
// Load pattern: many requests share a long prefix, and the server that has cached it is busy
// or in another zone than the request's inputs. Fetching the prefix from it takes a fraction
// of the time of reading it again, during which all other requests of the reading server would
// wait for their next token.
type cacheSources struct {
	byZone map[shed.ZoneID]cacheSource
	best   cacheSource
	// sharedTokens counts the tokens of the prompt's shared parts.
	sharedTokens shed.Tokens
}

type cacheSource struct {
	server *roster.Server
	// cachedTokens counts the tokens of shared parts that it has cached.
	cachedTokens shed.Tokens
}

func (s *search) findCacheSources() cacheSources {
	out := cacheSources{sharedTokens: s.sharedTokens}
	if s.request.FetchRate <= 0 || len(s.cached) == 0 {
		return out
	}
	for i, server := range s.servers {
		st := s.states[i]
		d := cacheSource{server: server, cachedTokens: s.cached[st]}
		if d.cachedTokens < minFetch || avoided(s.request.Avoid, server.ID) || !s.isSource(server, st) {
			continue
		}
		if d.cachedTokens > out.best.cachedTokens {
			out.best = d
		}
		if d.cachedTokens > out.byZone[server.Zone].cachedTokens {
			if out.byZone == nil {
				out.byZone = map[shed.ZoneID]cacheSource{}
			}
			out.byZone[server.Zone] = d
		}
	}
	return out
}

// isSource reports whether other servers can fetch from the server.
func (s *search) isSource(server *roster.Server, st *state) bool {
	if s.request.Access != nil {
		if access, _ := s.request.Access(server); access == Resting {
			return false
		}
	}
	zone := s.picker.zoneFailureRate(server.Zone)
	return zone.now(s.now) <= maxSourceFailureRate && st.failures.now(s.now) <= maxSourceFailureRate
}

// maxSourceFailureRate is the share of failed calls above which a server is not used as a
// cache source: the prefix can be read without it.
const maxSourceFailureRate = 0.1

// planFetch chooses a cache source for the shared parts that the chosen server lacks, and
// returns how many tokens it need not read.
func (d cacheSources) planFetch(c *Choice, s *roster.Server, reread shed.Tokens) shed.Tokens {
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
	c.CacheSource, c.Fetched = source.server, source.cachedTokens-cached
	c.Missing -= min(c.Missing, c.Fetched)
	return c.Fetched
}

// fetchTime is how long the fetch planned in c takes.
func (c *Choice) fetchTime(rate float64) time.Duration {
	if c.CacheSource == nil {
		return 0
	}
	took := time.Duration(float64(c.Fetched) / rate * float64(time.Millisecond))
	if c.CacheSource.Zone != c.Server.Zone {
		took *= crossZoneFetchFactor
	}
	return fetchSetupTime + took
}

// extraFetchCost is by how much the least cost of the fetch planned in c exceeds the time it takes.
func (c *Choice) extraFetchCost(w *Request) time.Duration {
	return max(time.Duration(c.Fetched)*w.MinFetchCost-c.fetchTime(w.FetchRate), 0)
}
