// Package peers carries calls and control messages between daemons: drpc over
// TCP, encoded as CBOR. It decides nothing. It never repeats a call, and it says
// truthfully whether a call can have started at the far side.
package peers
