package quota

const (
	// memoryShare is the part of the memory that the runtime is told to keep to. What is left is for what it doesn't
	// count, and for what it takes before it has noticed.
	memoryShare = 0.85
	// bytesShare is the part of that for bodies and answers, connectionShare the part for connections.
	bytesShare, connectionShare = 0.2, 0.2
	// connectionBytes is what a connection takes with its goroutine, its buffers and the header of its request.
	connectionBytes = 32 << 10
	// spareShare is the part of the descriptors that callers leave to peers and connections that are about to close,
	// ownDescriptors the number that they leave to files, listeners, the store and others.
	spareShare     = 0.125
	ownDescriptors = 32
	// descriptorsEach is the number of descriptors per connection of a caller: its own and one to a server.
	descriptorsEach = 2
)

// Machine is what the process may take of its VM.
type Machine struct {
	// Memory is in bytes, Descriptors the number of files that may be open; 0 means that there is no limit.
	Memory      int64
	Descriptors int
	// RuntimeMemory is the limit that the Go runtime was started with, in bytes; 0 if there is none.
	RuntimeMemory int64
}

// RuntimeLimit returns how much memory the runtime should keep to, in bytes; 0 for no limit.
func (m Machine) RuntimeLimit() int64 {
	if m.RuntimeMemory > 0 {
		return m.RuntimeMemory
	}
	return int64(memoryShare * float64(m.Memory))
}

// Budget returns what callers may hold: no more than most, and no more than the machine allows.
func (m Machine) Budget(most Config) Config {
	cfg := most
	if limit := m.RuntimeLimit(); limit > 0 {
		cfg.Bytes = min(cfg.Bytes, int64(bytesShare*float64(limit)))
		cfg.Connections = min(cfg.Connections, int(connectionShare*float64(limit)/connectionBytes))
	}
	if m.Descriptors > 0 {
		free := (1-spareShare)*float64(m.Descriptors) - ownDescriptors
		cfg.Connections = min(cfg.Connections, int(free/descriptorsEach))
	}
	cfg.Connections = max(cfg.Connections, 1)
	return cfg
}
