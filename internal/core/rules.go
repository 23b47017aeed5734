package core

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
)

// adoptRules puts rules in force that config has taken.
func (c *Core) adoptRules(now time.Time) {
	rules := c.config.Rules()
	if rules == nil || rules == c.rules {
		return
	}
	c.applyRules(now, rules)
}

func (c *Core) applyRules(now time.Time, rules *shed.Rules) {
	if c.rules == nil {
		c.firstRulesAt = now
	}
	c.rules = rules
	c.pools = localPools(rules, c.cfg.Zone)
	var localServers []*shed.Server
	for _, p := range c.pools {
		localServers = append(localServers, p.localServers...)
	}
	slices.SortFunc(localServers, func(a, b *shed.Server) int { return cmp.Compare(a.ID, b.ID) })
	c.slots.SetLongest(maxCallTime(rules))
	c.load.SetServers(now, localServers)
	c.emit(c.slots.SetServers(now, localServers))
	c.emit(c.orders.SetRules(now, rules))
	c.flow.SetRules(rules)
}

// pool is what placing needs of one pool, worked out once for each revision: a
// pool's servers in all zones are too many to go through for each call.
type pool struct {
	// localServers are its servers in this zone, by id, closed ones too.
	localServers []*shed.Server
	// otherZones are the other zones that have an open server, by id.
	otherZones []shed.ZoneID
}

func localPools(rules *shed.Rules, zone shed.ZoneID) map[shed.PoolID]*pool {
	out := make(map[shed.PoolID]*pool, len(rules.Pools))
	for id, p := range rules.Pools {
		to := &pool{}
		for _, s := range p.Servers {
			if s.Zone == zone {
				to.localServers = append(to.localServers, s)
			} else if open, _ := rules.ServerOpen(s); open {
				to.otherZones = append(to.otherZones, s.Zone)
			}
		}
		slices.Sort(to.otherZones)
		to.otherZones = slices.Compact(to.otherZones)
		out[id] = to
	}
	return out
}

// maxCallTime is the longest time that the rules let any call run.
func maxCallTime(rules *shed.Rules) time.Duration {
	var longest time.Duration
	for _, p := range rules.Pipelines {
		longest = max(longest, p.Deadline)
	}
	return longest
}
