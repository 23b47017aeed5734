package gauge

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Names in the rules of an experiment.
const (
	zonePrefix = "nl-west-"
	// supplierOwn supplies everything but every second drafter, which comes
	// from supplierOther.
	supplierOwn   = "noorderlicht"
	supplierOther = "zuiderlicht"
	modelDrafter  = "drafter"
	asked         = " ; experiment\n"
	// firstPort is the first of the ports that stand for the servers until the
	// stand-ins are there.
	firstPort = 21000
)

// pool is one pool of an experiment, with its servers in each zone.
type pool struct {
	id, prefix, kind string
	count            int
	capacity, cold   int
}

// pools are the same for every experiment but for their sizes.
func (s FleetSize) pools() []pool {
	return []pool{
		{"encoders", "enc", "encode", s.OtherServers, otherCapacity, otherCapacity},
		{"finders", "fin", "retrieve", s.OtherServers, otherCapacity, otherCapacity},
		{"rankers", "ran", "rerank", s.OtherServers, otherCapacity, otherCapacity},
		{"drafters", "gen", "generate, model " + modelDrafter, s.Drafters, s.Capacity, s.ColdCapacity},
		{"playouts", "pub", "service", s.OtherServers, otherCapacity, otherCapacity},
	}
}

// otherCapacity is the capacity of everything but drafters.
const otherCapacity = 32

const fixedRules = `
[pipelines]
caption = deadline 6s, stages embed find rank write ; experiment
rewrite = deadline 4s, stages write ; experiment
lookup = deadline 2s, stages embed find rank ; experiment
publish = deadline 6s, stages write push ; experiment

[stages]
caption/embed = kind encode, pool encoders, minimum 1ms ; experiment
caption/find = kind retrieve, pool finders, minimum 1ms ; experiment
caption/rank = kind rerank, pool rankers, minimum 1ms ; experiment
caption/write = kind generate, pool drafters, minimum 50ms ; experiment
rewrite/write = kind generate, pool drafters, minimum 50ms ; experiment
lookup/embed = kind encode, pool encoders, minimum 1ms ; experiment
lookup/find = kind retrieve, pool finders, minimum 1ms ; experiment
lookup/rank = kind rerank, pool rankers, minimum 1ms ; experiment
publish/write = kind generate, pool drafters, minimum 50ms ; experiment
publish/push = kind service, pool playouts, minimum 1ms, idempotent no ; experiment

[limits]
weight_loads = 6 ; experiment
`

// zoneNames are nl-west-a, nl-west-b and so on.
func (s FleetSize) zoneNames() []string {
	names := make([]string, s.Zones)
	for i := range names {
		names[i] = zonePrefix + string(rune('a'+i))
	}
	return names
}

// RulesText is the rules file of the experiment, with placeholders for the
// addresses of servers.
func (s *Scenario) RulesText() []byte {
	var b strings.Builder
	b.WriteString("[zones]\n")
	for _, z := range s.Fleet.zoneNames() {
		b.WriteString(zoneLine(z, false))
	}
	b.WriteString("\n[suppliers]\n")
	b.WriteString(supplierLine(supplierOwn, false))
	b.WriteString(supplierLine(supplierOther, false))
	b.WriteString("\n[models]\n" + modelDrafter + " = version 1" + asked)
	b.WriteString("\n[pools]\n")
	for _, p := range s.Fleet.pools() {
		fmt.Fprintf(&b, "%s = kind %s, unit 1%s", p.id, p.kind, asked)
	}
	b.WriteString("\n[servers]\n")
	s.Fleet.writeServers(&b)
	b.WriteString(fixedRules)
	b.WriteString("\n[workspaces]\n")
	for _, w := range s.Workspaces {
		sum := sha256.Sum256([]byte(tokenOf(w.Name)))
		fmt.Fprintf(&b, "%s = share 1, token_sha256 %s%s", w.Name, hex.EncodeToString(sum[:]), asked)
	}
	return []byte(b.String())
}

func (s FleetSize) writeServers(b *strings.Builder) {
	port := firstPort
	for _, p := range s.pools() {
		for i, zone := range s.zoneNames() {
			for n := 1; n <= p.count; n++ {
				supplier := supplierOwn
				if p.prefix == "gen" && n%2 == 0 {
					supplier = supplierOther
				}
				fmt.Fprintf(b, "%s-%c-%d = pool %s, zone %s, supplier %s, url http://127.0.0.1:%d, capacity %d, cold_bears %d%s",
					p.prefix, 'a'+i, n, p.id, zone, supplier, port, p.capacity, p.cold, asked)
				port++
			}
		}
	}
}

func zoneLine(zone string, out bool) string {
	if out {
		return zone + " = region nl, out yes" + asked
	}
	return zone + " = region nl" + asked
}

func supplierLine(supplier string, leaving bool) string {
	if leaving {
		return supplier + " = leaving yes" + asked
	}
	return supplier + " = leaving no" + asked
}

// tokenOf is the token of an experiment's workspace.
func tokenOf(workspace string) string { return "experiment-" + workspace }
