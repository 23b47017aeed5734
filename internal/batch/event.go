package batch

import (
	"time"

	shed "jasmineshed"
)

// JobID names what one daemon asked for at once.
type JobID uint64

// CallID names one call.
type CallID uint64

// Event is what the driver tells.
type Event interface{ event() }

// JobAdded means that pieces are wanted. The driver answers the job with Done.
type JobAdded struct {
	Job    JobID
	Pool   shed.PoolID
	Limits shed.BatchLimits
	Pieces []shed.Piece
}

// JobDropped means that nobody wants the job any more.
type JobDropped struct{ Job JobID }

// CallEnded means that a call is over. Results is nil if it gave none.
type CallEnded struct {
	Call    CallID
	Results []shed.PieceResult
	// NotRun: the server said that it has not run the call, or nothing can
	// have reached it.
	NotRun bool
	// Crashed: the server ended under the call.
	Crashed bool
	// Busy: the server refused since it is full.
	Busy bool
}

// FreeRequested means that results are given up.
type FreeRequested struct{ Refs []shed.ResultRef }

// FreeEnded means that the servers have been told, and have room again.
type FreeEnded struct{ Refs []shed.ResultRef }

// HeldElsewhere means that another VM told what servers hold for it. A VM that
// begins to gather knows by it which room is taken: without it, many pieces found none
// for the seconds after a gatherer was stopped.
type HeldElsewhere struct {
	From shed.VM
	Held map[shed.ServerID]int64
	// Retention is how long servers keep results.
	Retention time.Duration
}

// Stopped means that this VM gathers no more: what waits goes back to those who
// asked, what runs is ended. Else two VMs would gather for the same servers
// until the last piece that waits is made, with twice the calls.
type Stopped struct{}

// Tick lets time pass.
type Tick struct{}

// Action is what the driver is to do.
type Action interface{ action() }

// Send asks to run a call. The driver ends it with one CallEnded.
type Send struct {
	Call   CallID
	Server shed.ServerEntry
	Pieces []shed.Piece
	// Limit is the time after which the call is given up.
	Limit time.Duration
	// Pending is how many pieces go on waiting.
	Pending int
}

// Done answers a job, with a result for each piece.
type Done struct {
	Job     JobID
	Results []shed.PieceResult
}

// Free asks to give results up at the server that holds them.
type Free struct{ Refs []shed.ResultRef }

// Servers gives the servers of a pool that may have new work, sorted by id.
type Servers func(shed.PoolID) []shed.ServerEntry
