package rules

import (
	"fmt"
	"sort"
	"strings"

	shed "jasmineshed"
)

// Line is one line of the rules file that affects a subject.
type Line struct {
	shed.Origin
	// Effect is what the line does to the subject.
	Effect string
}

// String returns the line as it is shown to operators.
func (l Line) String() string {
	return fmt.Sprintf("line %d: %s (asked for by %s)", l.Line, l.Effect, l.RequestedBy)
}

// Explain lists the lines that affect a subject, sorted by line. The subject is the id of a
// pipeline, `pipeline/stage`, workspace, server, pool, zone or supplier; an id shared by
// several of them gets the lines of all. The result is empty if nothing has that id.
func Explain(r *shed.Rules, subject string) []Line {
	e := explainer{rules: r, seen: map[Line]bool{}}
	if p := r.Pipelines[shed.PipelineID(subject)]; p != nil {
		e.pipeline(p)
	}
	for _, p := range r.Pipelines {
		e.matchingStage(p, subject)
	}
	if w := r.Workspaces[shed.WorkspaceID(subject)]; w != nil {
		e.workspace(w)
	}
	if s := r.Servers[shed.ServerID(subject)]; s != nil {
		e.server(s)
	}
	if p := r.Pools[shed.PoolID(subject)]; p != nil {
		e.pool(p)
	}
	if z := r.Zones[shed.ZoneID(subject)]; z != nil {
		e.zone(z)
	}
	if s := r.Suppliers[shed.SupplierID(subject)]; s != nil {
		e.supplier(s)
	}
	return e.sorted()
}

type explainer struct {
	rules *shed.Rules
	lines []Line
	seen  map[Line]bool
}

func (e *explainer) add(o shed.Origin, format string, args ...any) {
	line := Line{o, fmt.Sprintf(format, args...)}
	if !e.seen[line] {
		e.seen[line] = true
		e.lines = append(e.lines, line)
	}
}

func (e *explainer) sorted() []Line {
	sort.Slice(e.lines, func(i, j int) bool {
		if e.lines[i].Line != e.lines[j].Line {
			return e.lines[i].Line < e.lines[j].Line
		}
		return e.lines[i].Effect < e.lines[j].Effect
	})
	return e.lines
}

func (e *explainer) pipeline(p *shed.Pipeline) {
	e.add(p.Origin, "pipeline %s answers within %s", p.ID, p.Deadline)
	for i := range p.Stages {
		e.stage(p, &p.Stages[i])
	}
}

func (e *explainer) matchingStage(p *shed.Pipeline, subject string) {
	for i := range p.Stages {
		if string(p.ID)+"/"+string(p.Stages[i].ID) == subject {
			e.add(p.Origin, "pipeline %s answers within %s", p.ID, p.Deadline)
			e.stage(p, &p.Stages[i])
		}
	}
}

func (e *explainer) stage(p *shed.Pipeline, s *shed.Stage) {
	where := "in every zone"
	if len(s.Zones) > 0 {
		where = "only in " + joinIDs(s.Zones)
	}
	repetition := "may be repeated"
	if !s.Idempotent {
		repetition = "runs at most once"
	}
	e.add(s.Origin, "stage %s/%s runs on pool %s %s, takes at least %s and %s", p.ID, s.ID, s.Pool, where, s.MinDuration, repetition)
	pool := e.rules.Pools[s.Pool]
	e.pool(pool)
	for _, server := range pool.Servers {
		if s.MayRunIn(server.Zone) {
			e.whyClosed(server)
		}
	}
}

func (e *explainer) pool(p *shed.Pool) {
	if p.Model == "" {
		e.add(p.Origin, "pool %s (servers: %d) costs %g for a second of a whole server", p.ID, len(p.Servers), p.UnitPrice)
		return
	}
	e.add(p.Origin, "pool %s (servers: %d) has model %s and costs %g for a second of a whole server", p.ID, len(p.Servers), p.Model, p.UnitPrice)
	m := e.rules.Models[p.Model]
	e.add(m.Origin, "model %s is of version %s", m.ID, m.Version)
}

// whyClosed adds the lines because of which a server gets no new work.
func (e *explainer) whyClosed(s *shed.Server) {
	if s.Leaving {
		e.add(s.Origin, "server %s is leaving and gets no new work", s.ID)
	}
	if sup := e.rules.Suppliers[s.Supplier]; sup.Leaving {
		e.add(sup.Origin, "supplier %s is leaving, so server %s gets no new work", sup.ID, s.ID)
	}
	if z := e.rules.Zones[s.Zone]; z.OutOfService {
		e.add(z.Origin, "zone %s is out, so server %s gets no new work", z.ID, s.ID)
	}
}

func (e *explainer) server(s *shed.Server) {
	e.add(s.Origin, "server %s of pool %s carries %d calls, and %d while cold", s.ID, s.Pool, s.Capacity, s.ColdCapacity)
	orders := "does not check who gives it orders"
	if s.ChecksCaller {
		orders = "checks who gives it orders"
	}
	fence := "ignores fencing numbers"
	if s.Fenced {
		fence = "refuses old fencing numbers"
	}
	e.add(s.Origin, "server %s %s and %s", s.ID, orders, fence)
	e.pool(e.rules.Pools[s.Pool])
	e.whyClosed(s)
}

func (e *explainer) workspace(w *shed.Workspace) {
	allowed := "every pipeline"
	if len(w.Pipelines) > 0 {
		allowed = joinIDs(w.Pipelines)
	}
	e.add(w.Origin, "workspace %s has share %d and may run %s", w.ID, w.Share, allowed)
	for _, id := range w.Pipelines {
		p := e.rules.Pipelines[id]
		e.add(p.Origin, "pipeline %s answers within %s", p.ID, p.Deadline)
	}
}

func (e *explainer) zone(z *shed.Zone) {
	e.add(z.Origin, "zone %s is of region %s and is %s", z.ID, z.Region, ifElse(z.OutOfService, "out: no new work", "in service"))
}

func (e *explainer) supplier(s *shed.Supplier) {
	e.add(s.Origin, "supplier %s %s", s.ID, ifElse(s.Leaving, "is leaving: its servers get no new work", "stays"))
}

func ifElse(yes bool, a, b string) string {
	if yes {
		return a
	}
	return b
}

func joinIDs[T ~string](list []T) string {
	words := make([]string, len(list))
	for i, x := range list {
		words[i] = string(x)
	}
	return strings.Join(words, ", ")
}
