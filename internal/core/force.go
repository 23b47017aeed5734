package core

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
)

// adopt puts rules in force that config has taken.
func (c *Core) adopt(now time.Time) {
	rules := c.config.Rules()
	if rules == nil || rules == c.rules {
		return
	}
	c.putInForce(now, rules)
}

func (c *Core) putInForce(now time.Time, rules *shed.Rules) {
	if c.rules == nil {
		c.rulesAt = now
	}
	c.rules = rules
	c.pools = localPools(rules, c.cfg.Zone)
	var mine []*shed.Server
	for _, p := range c.pools {
		mine = append(mine, p.here...)
	}
	slices.SortFunc(mine, func(a, b *shed.Server) int { return cmp.Compare(a.ID, b.ID) })
	c.slots.RaiseMaxCallDuration(longest(rules))
	c.load.SetServers(now, mine)
	c.take(c.slots.SetServers(now, mine))
	c.take(c.orders.SetRules(now, rules))
	c.flow.SetRules(rules)
}

// pool is what placing needs of one pool, worked out once for each revision: a
// pool's servers in all zones are too many to go through for each call.
type pool struct {
	// here are its servers in this zone, by id, closed ones too.
	here []*shed.Server
	// far are the other zones that have an open server, by id.
	far []shed.ZoneID
}

func localPools(rules *shed.Rules, zone shed.ZoneID) map[shed.PoolID]*pool {
	out := make(map[shed.PoolID]*pool, len(rules.Pools))
	for id, p := range rules.Pools {
		to := &pool{}
		for _, s := range p.Servers {
			if s.Zone == zone {
				to.here = append(to.here, s)
			} else if open, _ := rules.ServerOpen(s); open {
				to.far = append(to.far, s.Zone)
			}
		}
		slices.Sort(to.far)
		to.far = slices.Compact(to.far)
		out[id] = to
	}
	return out
}

// longest is the longest time that the rules let any call run.
func longest(rules *shed.Rules) time.Duration {
	var most time.Duration
	for _, p := range rules.Pipelines {
		most = max(most, p.Deadline)
	}
	return most
}
