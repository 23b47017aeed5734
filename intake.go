package shed

import "time"

// Intake decides when a listener takes new connections. Its methods are safe for concurrent use and don't
// block.
type Intake interface {
	// Pause returns for how long no connection is to be taken; 0 means that one may be now.
	Pause() time.Duration
	// Taken records that a connection was taken.
	Taken()
}
