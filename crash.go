package shed

import (
	"encoding/hex"
	"time"
)

// Fingerprint names a request by what stays the same when its caller sends it again.
type Fingerprint [16]byte

// String returns the fingerprint as it stands in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler, for logs.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// RequestRef is what a piece's request is known by if servers end under it.
type RequestRef struct {
	Request   Fingerprint `cbor:"1,keyasint"`
	Workspace WorkspaceID `cbor:"2,keyasint,omitempty"`
}

// ServerStart names one start of a backend server.
type ServerStart struct {
	Server ServerID `cbor:"1,keyasint"`
	// StartedMs as in Listing.
	StartedMs int64 `cbor:"2,keyasint,omitempty"`
}

// ServerCrash says that a server ended while it ran a request.
type ServerCrash struct {
	Start ServerStart `cbor:"1,keyasint"`
	// Age is how long ago that was when the message was sent.
	Age time.Duration `cbor:"2,keyasint"`
}

// Suspect is a request under which servers ended.
type Suspect struct {
	Request   Fingerprint   `cbor:"1,keyasint"`
	Workspace WorkspaceID   `cbor:"2,keyasint,omitempty"`
	Crashes   []ServerCrash `cbor:"3,keyasint,omitempty"`
	// SurvivedAgo is how long ago a server ran it and did not end; nil if none is known.
	SurvivedAgo *time.Duration `cbor:"4,keyasint,omitempty"`
}

// CrashUpdate tells peers what is known of requests that crash servers. Receivers take the
// union of what they hear, so that it may come in any order and more than once.
type CrashUpdate struct {
	Suspects []Suspect `cbor:"1,keyasint"`
	// All: every peer is told the same.
	All bool `cbor:"2,keyasint,omitempty"`
	// RecentCrashes are servers that ended lately, under any request.
	RecentCrashes []ServerCrash `cbor:"3,keyasint,omitempty"`
}

func (CrashUpdate) message() {}
