// Package peers transports calls and control messages between daemons: drpc over TCP, encoded
// as CBOR. It makes no decisions. It never retries a call, and it reports accurately whether a
// call can have started on the remote side.
package peers
