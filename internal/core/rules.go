package core

import (
	"cmp"
	"slices"
	"time"

	shed "jasmineshed"
)

// adoptRules applies the newest rules of the configuration state.
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
	c.slots.RaiseMaxCallDuration(maxCallTime(rules))
	c.load.SetServers(now, localServers)
	c.emit(c.slots.SetServers(now, localServers))
	c.emit(c.orders.SetRules(now, rules))
	c.flow.SetRules(rules)
}

// pool is the part of a pool that placement needs. It is computed once per revision: a
// pool has too many servers in all zones to iterate over them for each call.
type pool struct {
	// localServers are its servers in this zone, by id, including closed ones.
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
