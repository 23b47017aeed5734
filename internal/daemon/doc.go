// Package daemon is the driver around the decision core: it performs the
// actions that core asks for, feeds their results back as events, and holds
// what the core never sees, the payloads of requests.
//
// One mutex orders the decisions. Under it, an action is only ever started,
// never waited for, so actions happen in the order in which they were decided:
// a CancelCall can't overtake the StartCall that it cancels.
package daemon
