package shed

import "time"

// StageKind is what a stage does, which also determines the protocol of its servers.
type StageKind uint8

// The kinds of stage.
const (
	KindEncode StageKind = iota + 1
	KindRetrieve
	KindRerank
	KindGenerate
	// KindService is a plain service, some of whose calls must not be retried.
	KindService
)

// Origin is the source of a rule, so that each decision can name it.
type Origin struct {
	// Line in the rules file, from 1.
	Line int
	// RequestedBy is the comment that names who requested the rule.
	RequestedBy string
}

// Rules is one accepted configuration, compiled. It is immutable once built,
// so it may be shared between goroutines.
type Rules struct {
	// Revision is the platform's store revision of this configuration.
	Revision   Revision
	Pipelines  map[PipelineID]*Pipeline
	Pools      map[PoolID]*Pool
	Servers    map[ServerID]*Server
	Workspaces map[WorkspaceID]*Workspace
	Zones      map[ZoneID]*Zone
	Suppliers  map[SupplierID]*Supplier
	Models     map[ModelID]*Model
	// MaxWeightLoads is the maximum number of concurrent model loads from the weight
	// store, over all zones.
	MaxWeightLoads int
}

// Pipeline is a chain of stages under one deadline.
type Pipeline struct {
	Origin
	ID PipelineID
	// Deadline is the maximum duration of a request from its arrival.
	Deadline time.Duration
	// Stages run in this order; each takes the result of the previous one.
	Stages []Stage
}

// Idempotent reports whether the whole pipeline may safely run twice.
func (p *Pipeline) Idempotent() bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return false
		}
	}
	return true
}

// Stage is one step of a pipeline.
type Stage struct {
	Origin
	ID   StageID
	Kind StageKind
	Pool PoolID
	// Zones lists where the stage may run, sorted; empty means every zone.
	Zones []ZoneID
	// MinDuration is the shortest time the stage can take; the deadline of its
	// pipeline is never below the sum over its stages.
	MinDuration time.Duration
	// Idempotent is false for a stage that must run at most once.
	Idempotent bool
}

// Pool is a set of backend servers that do the same work.
type Pool struct {
	Origin
	ID   PoolID
	Kind StageKind
	// Model is the model that the pool's engines should have loaded; empty for services.
	Model ModelID
	// Servers are the pool's servers, sorted by id.
	Servers []*Server
	// UnitPrice is the price of one second of a whole server, for cost by stage.
	UnitPrice float64
}

// Server is one backend server.
type Server struct {
	Origin
	ID       ServerID
	Pool     PoolID
	Zone     ZoneID
	Supplier SupplierID
	// URL is the base of the server's HTTP interface.
	URL string
	// Capacity is the number of concurrent calls a warm server can handle; 1 or more.
	Capacity int
	// ColdCapacity is the number of concurrent calls the server can handle while cold;
	// 1 or more and never above Capacity.
	ColdCapacity int
	// ChecksCaller is set if the server refuses orders from unauthorized callers.
	ChecksCaller bool
	// Fenced is set if the server refuses an order with an old fencing number.
	Fenced bool
	// Leaving is set if the server gets no new work.
	Leaving bool
	// Role is the engine's desired role: "", "prefill" or "decode".
	Role string
}

// Workspace is one customer of the system.
type Workspace struct {
	Origin
	ID WorkspaceID
	// Share is the workspace's weight in fair queueing; 1 or more.
	Share int
	// TokenHash is the hex SHA-256 of the workspace's token.
	TokenHash string
	// Pipelines the workspace may run, sorted; empty means every pipeline.
	Pipelines []PipelineID
}

// Zone is an availability zone.
type Zone struct {
	Origin
	ID     ZoneID
	Region string
	// OutOfService is set if operators took the zone out of service; it gets no new work.
	OutOfService bool
}

// Supplier is a supplier of backend servers.
type Supplier struct {
	Origin
	ID SupplierID
	// Leaving is set if none of the supplier's servers gets new work.
	Leaving bool
}

// Model is a model that an engine can load.
type Model struct {
	Origin
	ID       ModelID
	Version  string
	Adapters []string
}

// ServerOpen reports whether the rules allow new work on the server, and if not,
// the rule that forbids it.
func (r *Rules) ServerOpen(s *Server) (bool, Origin) {
	if s.Leaving {
		return false, s.Origin
	}
	if sup := r.Suppliers[s.Supplier]; sup != nil && sup.Leaving {
		return false, sup.Origin
	}
	if z := r.Zones[s.Zone]; z != nil && z.OutOfService {
		return false, z.Origin
	}
	return true, Origin{}
}

// MayRunIn reports whether the stage may run in zone z.
func (s *Stage) MayRunIn(z ZoneID) bool {
	if len(s.Zones) == 0 {
		return true
	}
	for _, id := range s.Zones {
		if id == z {
			return true
		}
	}
	return false
}
