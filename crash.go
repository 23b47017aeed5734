package shed

import (
	"encoding/hex"
	"time"
)

// Fingerprint identifies a request across resends by its caller.
type Fingerprint [16]byte

// String returns the fingerprint in hex, as logged.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler, for logs.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// RequestRef identifies the request of pieces, when servers crash while running them and when they queue.
type RequestRef struct {
	Request   Fingerprint `cbor:"1,keyasint"`
	Workspace WorkspaceID `cbor:"2,keyasint,omitempty"`
	// Rank is the request's priority; 0 is the most urgent.
	Rank int `cbor:"3,keyasint,omitempty"`
}

// ServerStart identifies one start of a backend server.
type ServerStart struct {
	Server ServerID `cbor:"1,keyasint"`
	// StartedMs is the time of the start, as in ServerEntry.
	StartedMs int64 `cbor:"2,keyasint,omitempty"`
}

// ServerCrash reports that a server ended while it was running a request.
type ServerCrash struct {
	Start ServerStart `cbor:"1,keyasint"`
	// Age is the time from the crash to the sending of the message.
	Age time.Duration `cbor:"2,keyasint"`
}

// SuspectKind is the kind of what may crash servers. The set is closed.
type SuspectKind uint8

const (
	// SuspectRequest is a request, or its pieces in a pool.
	SuspectRequest SuspectKind = iota
	// SuspectPart is a part of prompts, in a pool. Requests of several workspaces may share it.
	SuspectPart
)

// String returns the kind as logged.
func (k SuspectKind) String() string {
	switch k {
	case SuspectRequest:
		return "request"
	case SuspectPart:
		return "part"
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler, for logs.
func (k SuspectKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Suspect is a request or a part of prompts during which servers crashed.
type Suspect struct {
	Request Fingerprint `cbor:"1,keyasint"`
	// Kind is the kind of what Request identifies.
	Kind SuspectKind `cbor:"5,keyasint,omitempty"`
	// Workspace is the one whose request was interrupted first.
	Workspace WorkspaceID   `cbor:"2,keyasint,omitempty"`
	Crashes   []ServerCrash `cbor:"3,keyasint,omitempty"`
	// SurvivedAgo is the time since a server ran the request without crashing; nil if no such
	// run is known.
	SurvivedAgo *time.Duration `cbor:"4,keyasint,omitempty"`
}

// CrashUpdate shares with peers what is known of requests that crash servers. Receivers merge
// it as a set union, so it may arrive in any order and more than once.
type CrashUpdate struct {
	Suspects []Suspect `cbor:"1,keyasint"`
	// All is set if every peer is sent the same.
	All bool `cbor:"2,keyasint,omitempty"`
	// RecentCrashes lists recent server crashes, under any request.
	RecentCrashes []ServerCrash `cbor:"3,keyasint,omitempty"`
}

func (CrashUpdate) message() {}
