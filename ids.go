package shed

// Ids of what the rules name. They are the names that operators typed.
type (
	// ZoneID names an availability zone.
	ZoneID string
	// WorkspaceID names a workspace.
	WorkspaceID string
	// PipelineID names a pipeline.
	PipelineID string
	// StageID names a stage within its pipeline.
	StageID string
	// PoolID names a pool of backend servers that do the same work.
	PoolID string
	// ServerID names a backend server.
	ServerID string
	// SupplierID names who supplies a backend server.
	SupplierID string
	// ModelID names a model that engines may load.
	ModelID string
)

// VM is the peer address ("ip:port") of an entry VM.
type VM string

// Incarnation tells two processes on one VM apart. Every process start draws a
// new one: the start's wall clock in nanoseconds, so a later start is greater.
type Incarnation uint64

// Peer is one process of the system.
type Peer struct {
	VM          VM          `cbor:"1,keyasint" json:"vm"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// Revision orders configurations. It is the platform's own store revision,
// never a number that an operator typed. Zero means none.
type Revision uint64

// RequestID names one request. The accepting daemon draws it, unless the
// caller uses a ticket; then it is the ticket's id.
type RequestID string

// Call names one attempt at one stage of one request. A frame or an end that
// carries any other Call than the live one is dropped and counted.
type Call struct {
	Request RequestID `cbor:"1,keyasint"`
	// Stage is the index of the stage in its pipeline.
	Stage uint8 `cbor:"2,keyasint"`
	// Attempt counts from 1 within the stage.
	Attempt uint16 `cbor:"3,keyasint"`
}

// Tokens counts tokens of a model, or results of a service.
type Tokens uint32

// Cost is the work done for a call, in millionths of a server-second: one call
// occupying one of a server's Capacity places for one second costs
// 1,000,000/Capacity.
type Cost uint64
