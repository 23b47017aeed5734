package shed

// Ids of the objects in the rules. They are the names given by operators.
type (
	// ZoneID identifies an availability zone.
	ZoneID string
	// WorkspaceID identifies a workspace.
	WorkspaceID string
	// PipelineID identifies a pipeline.
	PipelineID string
	// StageID identifies a stage within its pipeline.
	StageID string
	// PoolID identifies a pool of backend servers that do the same work.
	PoolID string
	// ServerID identifies a backend server.
	ServerID string
	// SupplierID identifies the supplier of a backend server.
	SupplierID string
	// ModelID identifies a model that engines may load.
	ModelID string
)

// VM is the peer address ("ip:port") of an entry VM.
type VM string

// Incarnation distinguishes processes on one VM. It is the wall clock at the
// process start in nanoseconds, so a later start has a greater one.
type Incarnation uint64

// Peer identifies one process of the system.
type Peer struct {
	VM          VM          `cbor:"1,keyasint" json:"vm"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// RequestID identifies one request. The accepting daemon generates it, unless
// the caller uses a ticket; then it is the ticket's id.
type RequestID string

// Call identifies one attempt at one stage of one request. A frame or an end
// with a Call other than the live one is dropped and counted.
type Call struct {
	Request RequestID `cbor:"1,keyasint"`
	// Stage is the index of the stage in its pipeline.
	Stage uint8 `cbor:"2,keyasint"`
	// Attempt counts from 1 within the stage.
	Attempt uint16 `cbor:"3,keyasint"`
}

// Tokens is a number of model tokens, or of results of a service.
type Tokens uint32

// Cost is the work done for a call, in millionths of a server-second: a call
// that occupies one of a server's Capacity slots for one second costs
// 1,000,000/Capacity.
type Cost uint64
