package rules

import (
	"fmt"
	"strings"
	"time"

	shed "jasmineshed"
)

// Limits on numbers.
const (
	maxCapacity    = 100_000
	maxShare       = 1_000_000
	maxUnit        = 1_000_000
	maxWeightLoads = 10_000
	maxStages      = 16
	maxDeadline    = time.Hour
	minTime        = time.Millisecond
)

var kinds = map[string]shed.StageKind{
	"encode":   shed.KindEncode,
	"retrieve": shed.KindRetrieve,
	"rerank":   shed.KindRerank,
	"generate": shed.KindGenerate,
	"service":  shed.KindService,
}

const kindFix = "use encode, retrieve, rerank, generate or service"

// sectionNames lists the sections in the usual order of a file.
var sectionNames = []string{
	sectionZones, sectionSuppliers, sectionModels, sectionPools, sectionServers,
	sectionPipelines, sectionStages, sectionWorkspaces, sectionLimits,
}

var sections = map[string]func(*builder, *fields){
	sectionZones:      (*builder).zone,
	sectionSuppliers:  (*builder).supplier,
	sectionModels:     (*builder).model,
	sectionPools:      (*builder).pool,
	sectionServers:    (*builder).server,
	sectionPipelines:  (*builder).pipeline,
	sectionStages:     (*builder).stage,
	sectionWorkspaces: (*builder).workspace,
	sectionLimits:     (*builder).limit,
}

// ruleName identifies a rule within a file.
type ruleName struct{ section, key string }

// stageName is a stage of a pipeline, written as `pipeline/stage` in the file.
type stageName struct {
	pipeline shed.PipelineID
	stage    shed.StageID
}

// builder collects the content of the rows, then links it.
type builder struct {
	rules      *shed.Rules
	faults     Faults
	firstLines map[ruleName]int
	// stages by name, until link adds them to their pipelines.
	stages map[stageName]*shed.Stage
	// stageIDs are the stages that a pipeline lists.
	stageIDs map[shed.PipelineID][]shed.StageID
	// rows in the order of the file, so that faults found by link have an order.
	rows []row
}

func newBuilder(rev shed.Revision, rows int, faults Faults) *builder {
	return &builder{
		rules: &shed.Rules{
			Revision:       rev,
			Pipelines:      map[shed.PipelineID]*shed.Pipeline{},
			Pools:          map[shed.PoolID]*shed.Pool{},
			Servers:        map[shed.ServerID]*shed.Server{},
			Workspaces:     map[shed.WorkspaceID]*shed.Workspace{},
			Zones:          map[shed.ZoneID]*shed.Zone{},
			Suppliers:      map[shed.SupplierID]*shed.Supplier{},
			Models:         map[shed.ModelID]*shed.Model{},
			MaxWeightLoads: 1,
		},
		faults:     faults,
		firstLines: make(map[ruleName]int, rows),
		rows:       make([]row, 0, rows),
		stages:     map[stageName]*shed.Stage{},
		stageIDs:   map[shed.PipelineID][]shed.StageID{},
	}
}

func (b *builder) fault(r row, reason, fix string) {
	b.faults = append(b.faults, Fault{
		Line: r.Line, Section: r.section, Key: r.key, Reason: reason, Fix: fix,
	})
}

func (b *builder) addRow(r row) {
	if !isID(r.key) {
		b.fault(r, "the key is no id", idFix)
		return
	}
	name := ruleName{r.section, r.key}
	if line, duplicate := b.firstLines[name]; duplicate {
		b.fault(r, fmt.Sprintf("already given on line %d", line), "keep one of the two lines")
		return
	}
	b.firstLines[name] = r.Line
	b.rows = append(b.rows, r)
	if r.section == sectionLimits {
		sections[r.section](b, &fields{row: r, faults: &b.faults})
		return
	}
	sections[r.section](b, splitFields(r, &b.faults))
}

func (b *builder) zone(f *fields) {
	z := &shed.Zone{Origin: f.row.Origin, ID: shed.ZoneID(f.row.key)}
	z.Region = f.id("region")
	z.OutOfService = f.yesNo("out", false)
	f.rejectUnknown("region", "out")
	b.rules.Zones[z.ID] = z
}

func (b *builder) supplier(f *fields) {
	s := &shed.Supplier{Origin: f.row.Origin, ID: shed.SupplierID(f.row.key)}
	s.Leaving = f.yesNo("leaving", false)
	f.rejectUnknown("leaving")
	b.rules.Suppliers[s.ID] = s
}

func (b *builder) model(f *fields) {
	m := &shed.Model{Origin: f.row.Origin, ID: shed.ModelID(f.row.key)}
	m.Version = f.id("version")
	m.Adapters = f.ids("adapters")
	f.rejectUnknown("version", "adapters")
	b.rules.Models[m.ID] = m
}

func (b *builder) pool(f *fields) {
	p := &shed.Pool{Origin: f.row.Origin, ID: shed.PoolID(f.row.key)}
	p.Kind = f.kind()
	if f.has("model") {
		p.Model = shed.ModelID(f.id("model"))
	}
	p.UnitPrice = f.price("unit", maxUnit)
	f.rejectUnknown("kind", "model", "unit")
	b.rules.Pools[p.ID] = p
}

func (f *fields) kind() shed.StageKind {
	value, ok := f.required("kind")
	if !ok {
		return 0
	}
	kind, known := kinds[value]
	if !known {
		f.fault(fmt.Sprintf("unknown kind %q", value), kindFix)
	}
	return kind
}

func (b *builder) server(f *fields) {
	s := &shed.Server{Origin: f.row.Origin, ID: shed.ServerID(f.row.key)}
	s.Pool = shed.PoolID(f.id("pool"))
	s.Zone = shed.ZoneID(f.id("zone"))
	s.Supplier = shed.SupplierID(f.id("supplier"))
	s.URL = f.baseURL("url")
	s.Capacity = f.count("capacity", 0, maxCapacity)
	s.ColdCapacity = f.count("cold_bears", 0, maxCapacity)
	if s.Capacity > 0 && s.ColdCapacity > s.Capacity {
		f.fault(fmt.Sprintf("cold_bears %d is above capacity %d", s.ColdCapacity, s.Capacity),
			"a cold server never bears more than a warm one; lower cold_bears")
	}
	s.ChecksCaller = f.yesNo("checks_caller", false)
	s.Fenced = f.yesNo("fenced", false)
	s.Leaving = f.yesNo("leaving", false)
	if role, ok := f.value("role"); ok {
		s.Role = role
		if role != "prefill" && role != "decode" {
			f.fault(fmt.Sprintf("unknown role %q", role), "use prefill or decode, or leave it out")
		}
	}
	f.rejectUnknown("pool", "zone", "supplier", "url", "capacity", "cold_bears",
		"checks_caller", "fenced", "leaving", "role")
	b.rules.Servers[s.ID] = s
}

func (b *builder) pipeline(f *fields) {
	p := &shed.Pipeline{Origin: f.row.Origin, ID: shed.PipelineID(f.row.key)}
	p.Deadline = f.duration("deadline", minTime, maxDeadline)
	list := f.ids("stages")
	if !f.has("stages") || len(list) > maxStages {
		f.fault(fmt.Sprintf("the pipeline lists %d stages", len(list)),
			fmt.Sprintf("write `stages first second`, with 1 to %d stages", maxStages))
	}
	f.rejectUnknown("deadline", "stages")
	b.rules.Pipelines[p.ID] = p
	b.stageIDs[p.ID] = typedIDs[shed.StageID](list)
}

func (b *builder) stage(f *fields) {
	s := &shed.Stage{Origin: f.row.Origin}
	slash := strings.LastIndex(f.row.key, "/")
	if slash < 1 || slash == len(f.row.key)-1 {
		f.fault("the key names no pipeline and stage", "write `pipeline/stage = …`")
		return
	}
	pipeline := shed.PipelineID(f.row.key[:slash])
	s.ID = shed.StageID(f.row.key[slash+1:])
	s.Kind = f.kind()
	s.Pool = shed.PoolID(f.id("pool"))
	s.Zones = sortedIDs[shed.ZoneID](f.ids("zones"))
	s.MinDuration = f.duration("minimum", minTime, maxDeadline)
	// A retried service call may push a warning twice, so the author of the rule has to
	// state whether that is allowed.
	if s.Kind == shed.KindService && !f.has("idempotent") {
		f.fault("nothing says whether the service call may be repeated", "add `idempotent no`, or `idempotent yes` if it may")
	}
	s.Idempotent = f.yesNo("idempotent", true)
	f.rejectUnknown("kind", "pool", "zones", "minimum", "idempotent")
	b.stages[stageName{pipeline, s.ID}] = s
}

func (b *builder) workspace(f *fields) {
	w := &shed.Workspace{Origin: f.row.Origin, ID: shed.WorkspaceID(f.row.key)}
	w.Share = f.count("share", 1, maxShare)
	if hash, ok := f.required("token_sha256"); ok {
		w.TokenHash = hash
		if !isHash(hash) {
			f.fault("token_sha256 is no SHA-256", "write the 64 small hex digits that `printf %s TOKEN | sha256sum` prints")
		}
	}
	w.Pipelines = sortedIDs[shed.PipelineID](f.ids("pipelines"))
	f.rejectUnknown("share", "token_sha256", "pipelines")
	b.rules.Workspaces[w.ID] = w
}

func (b *builder) limit(f *fields) {
	if f.row.key != "weight_loads" {
		f.fault("unknown limit", "use weight_loads")
		return
	}
	b.rules.MaxWeightLoads = f.checkCount("weight_loads", strings.TrimSpace(f.row.value), maxWeightLoads)
}
