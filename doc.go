// Package shed holds the types and interfaces that every part of jasmineshed
// shares: ids, the rules in force, the events a decision is taken on, the
// actions a decision asks for, and the messages between daemons.
//
// Decisions live in pure packages below internal/. A pure package takes an
// Event and the time, and returns Actions. It reads no clock, opens no socket,
// starts no goroutine, writes no log and never depends on map order, so any
// run can be replayed from its events.
package shed
