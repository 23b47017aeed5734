package rules

import (
	"fmt"
	"slices"
	"sort"
	"time"

	shed "jasmineshed"
)

// link checks every reference between rules and joins what belongs together.
// It goes through the rows in the order of the file, never through a map.
func (b *builder) link() {
	// The faults so far may come from lines that a reference needs; what is
	// found here is listed all the same, since it may be a fault of its own.
	urls := map[string]row{}
	tokens := map[string]row{}
	for _, r := range b.rows {
		switch r.section {
		case sectionPools:
			b.linkPool(r)
		case sectionServers:
			b.linkServer(r, urls)
		case sectionStages:
			b.linkStage(r)
		case sectionWorkspaces:
			b.linkWorkspace(r, tokens)
		}
	}
	for _, r := range b.rows {
		if r.section == sectionPipelines {
			b.linkPipeline(r)
		}
	}
	for _, pool := range b.rules.Pools {
		sort.Slice(pool.Servers, func(i, j int) bool { return pool.Servers[i].ID < pool.Servers[j].ID })
	}
	b.notEmpty()
}

// notEmpty refuses a file that would stop everything: an empty one is far more
// often a slip in publishing than a wish.
func (b *builder) notEmpty() {
	if len(b.faults) > 0 {
		return
	}
	if len(b.rules.Pipelines) == 0 {
		b.faults = append(b.faults, Fault{Section: sectionPipelines, Reason: "there is no pipeline", Fix: "add one"})
	}
	if len(b.rules.Workspaces) == 0 {
		b.faults = append(b.faults, Fault{Section: sectionWorkspaces, Reason: "there is no workspace", Fix: "add one"})
	}
}

// dangling notes a reference to a rule that is not there. An empty id already
// had a fault where it was read.
func (b *builder) dangling(r row, what, id, section string) {
	if id == "" {
		return
	}
	b.fault(r, fmt.Sprintf("%s %s is not in [%s]", what, id, section),
		fmt.Sprintf("add %s to [%s], or mend the name", id, section))
}

func (b *builder) linkPool(r row) {
	p := b.rules.Pools[shed.PoolID(r.key)]
	if p.Model != "" && b.rules.Models[p.Model] == nil {
		b.dangling(r, "model", string(p.Model), sectionModels)
	}
	if p.Kind == shed.KindGenerate && p.Model == "" {
		b.fault(r, "a pool of kind generate names no model", "add `model NAME`")
	}
	if p.Kind == shed.KindService && p.Model != "" {
		b.fault(r, "a pool of kind service names a model", "take the model out")
	}
}

func (b *builder) linkServer(r row, urls map[string]row) {
	s := b.rules.Servers[shed.ServerID(r.key)]
	pool := b.rules.Pools[s.Pool]
	if pool == nil {
		b.dangling(r, "pool", string(s.Pool), sectionPools)
	} else {
		pool.Servers = append(pool.Servers, s)
		if s.Role != "" && pool.Kind != shed.KindGenerate {
			b.fault(r, "a role on a server that generates nothing", "take the role out")
		}
	}
	if b.rules.Zones[s.Zone] == nil {
		b.dangling(r, "zone", string(s.Zone), sectionZones)
	}
	if b.rules.Suppliers[s.Supplier] == nil {
		b.dangling(r, "supplier", string(s.Supplier), sectionSuppliers)
	}
	if s.URL == "" {
		return
	}
	// Two names for one server would double what it is thought to bear cold.
	if other, twice := urls[s.URL]; twice {
		b.fault(r, fmt.Sprintf("url is that of %s on line %d", other.key, other.Line), "keep one of the two servers")
		return
	}
	urls[s.URL] = r
}

func (b *builder) linkStage(r row) {
	name, s := b.stageOf(r)
	if s == nil {
		return
	}
	if b.rules.Pipelines[name.pipeline] == nil {
		b.dangling(r, "pipeline", string(name.pipeline), sectionPipelines)
	} else if !slices.Contains(b.wants[name.pipeline], s.ID) {
		b.fault(r, fmt.Sprintf("pipeline %s does not list stage %s", name.pipeline, s.ID),
			"add it to the pipeline's stages, or take the line out")
	}
	for _, z := range s.Zones {
		if b.rules.Zones[z] == nil {
			b.dangling(r, "zone", string(z), sectionZones)
		}
	}
	pool := b.rules.Pools[s.Pool]
	if pool == nil {
		b.dangling(r, "pool", string(s.Pool), sectionPools)
		return
	}
	if pool.Kind != s.Kind && pool.Kind != 0 && s.Kind != 0 {
		b.fault(r, fmt.Sprintf("the stage's kind differs from that of pool %s on line %d", pool.ID, pool.Line),
			"use a pool of the stage's kind")
	}
}

// stageOf finds the stage that the row gave, or nil if its key was refused.
func (b *builder) stageOf(r row) (stageName, *shed.Stage) {
	for i := len(r.key) - 1; i > 0; i-- {
		if r.key[i] != '/' {
			continue
		}
		name := stageName{shed.PipelineID(r.key[:i]), shed.StageID(r.key[i+1:])}
		return name, b.stages[name]
	}
	return stageName{}, nil
}

func (b *builder) linkWorkspace(r row, tokens map[string]row) {
	w := b.rules.Workspaces[shed.WorkspaceID(r.key)]
	for _, id := range w.Pipelines {
		if b.rules.Pipelines[id] == nil {
			b.dangling(r, "pipeline", string(id), sectionPipelines)
		}
	}
	if w.TokenHash == "" {
		return
	}
	if other, twice := tokens[w.TokenHash]; twice {
		b.fault(r, fmt.Sprintf("the token is that of %s on line %d", other.key, other.Line), "give each workspace its own token")
		return
	}
	tokens[w.TokenHash] = r
}

func (b *builder) linkPipeline(r row) {
	p := b.rules.Pipelines[shed.PipelineID(r.key)]
	var least time.Duration
	for _, id := range b.wants[p.ID] {
		s := b.stages[stageName{p.ID, id}]
		if s == nil {
			b.dangling(r, "stage", string(p.ID)+"/"+string(id), sectionStages)
			continue
		}
		least += s.MinDuration
		p.Stages = append(p.Stages, *s)
		b.runnable(r, s)
	}
	if p.Deadline > 0 && p.Deadline < least {
		b.fault(r, fmt.Sprintf("deadline %s is below %s, the sum of the stages' minimums", p.Deadline, least),
			"raise the deadline or lower a minimum")
	}
}

// runnable refuses a stage that no server could ever carry.
func (b *builder) runnable(r row, s *shed.Stage) {
	pool := b.rules.Pools[s.Pool]
	if pool == nil {
		return
	}
	for _, server := range pool.Servers {
		if s.MayRunIn(server.Zone) {
			return
		}
	}
	b.fault(r, fmt.Sprintf("pool %s has no server where stage %s may run", pool.ID, s.ID),
		"add a server, or widen the stage's zones")
}
