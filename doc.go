// Package shed defines the types and interfaces shared by all parts of
// jasmineshed: ids, the rules in force, the events that decisions are based
// on, the actions that they result in, and the messages between daemons.
//
// Decisions are made in pure packages below internal/. A pure package takes an
// Event and the time, and returns Actions. It reads no clock, opens no socket,
// starts no goroutine, writes no log and never depends on map order, so any
// run can be replayed from its events.
package shed
