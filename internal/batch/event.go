package batch

import (
	"time"

	shed "jasmineshed"
)

// JobID identifies one request for pieces by a daemon.
type JobID uint64

// CallID identifies one call.
type CallID uint64

// Event is an input from the driver.
type Event interface{ event() }

// JobAdded requests pieces. The driver answers the job when it gets Done.
type JobAdded struct {
	Job    JobID
	Pool   shed.PoolID
	Limits shed.BatchLimits
	Pieces []shed.Piece
}

// JobDropped means that the job's results are no longer wanted.
type JobDropped struct{ Job JobID }

// CallEnded means that a call is over. Results is nil if it produced none.
type CallEnded struct {
	Call    CallID
	Results []shed.PieceResult
	// NotRun is set if the server said that it has not run the call, or if the call cannot
	// have reached it.
	NotRun bool
	// PathLost is set if this VM lost its path to the server: a failure that says nothing of the server.
	PathLost bool
	// Crashed is set if the server crashed during the call.
	Crashed bool
	// Busy is set if the server refused the call because it is full.
	Busy bool
}

// FreeRequested means that results are no longer needed.
type FreeRequested struct{ Refs []shed.ResultRef }

// FreeEnded means that the servers have been notified, and their capacity is free again.
type FreeEnded struct {
	Refs []shed.ResultRef
	// Server held the results, if it is set. It may have held them for an earlier process of this VM.
	Server shed.ServerEntry
}

// HeldElsewhere reports what servers hold for another VM. A VM that starts to coordinate a
// pool uses it to know the used capacity: without it, many pieces were refused for lack of
// capacity in the seconds after a coordinator was stopped.
type HeldElsewhere struct {
	From shed.VM
	Held map[shed.ServerID]int64
	// Retention is how long servers retain results.
	Retention time.Duration
}

// SurveyEnded is the end of a Survey.
type SurveyEnded struct {
	Survey
	// Answered is set if the server has reported its free capacity, FreeBytes.
	Answered  bool
	FreeBytes int64
}

// ServerRests means that a server wants no call from this VM for the time left.
type ServerRests struct {
	Server shed.ServerID
	Left   time.Duration
}

// Stopped means that this VM stops coordinating: pending pieces go back to the VMs that
// requested them, calls in flight run to their end. Otherwise two VMs would coordinate the
// same servers, with twice the calls, until the last pending piece is complete.
type Stopped struct{}

// Tick means that time has passed.
type Tick struct{}

// Action is what the driver has to perform.
type Action interface{ action() }

// Send requests a call. The driver ends it with one CallEnded.
type Send struct {
	Call   CallID
	Server shed.ServerEntry
	Pieces []shed.Piece
	// Limit is the time after which the call is abandoned: when no result has a value any more. A
	// server that was silent goes on with the call, so it isn't given up before.
	Limit time.Duration
	// UsualLimit is the longest time that such a call usually takes.
	UsualLimit time.Duration
	// Pending is how many pieces stay pending.
	Pending int
}

// Done answers a job, with a result for each piece.
type Done struct {
	Job     JobID
	Results []shed.PieceResult
}

// Free requests that results be released at the server that holds them.
type Free struct{ Refs []shed.ResultRef }

// Survey asks a server for its free result capacity. The driver ends it with one SurveyEnded. A VM
// that begins to coordinate a pool does so once per server: after a restart of all VMs, servers
// refused 1,800 pieces in 4 s since they still held results of the processes before.
type Survey struct {
	Pool   shed.PoolID
	Server shed.ServerEntry
}

// Servers returns the servers of a pool that may get new work, sorted by id.
type Servers func(shed.PoolID) []shed.ServerEntry
