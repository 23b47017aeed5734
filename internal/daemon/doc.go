// Package daemon is the driver around the decision core: it performs the
// actions that the core returns, feeds their results back as events, and holds
// the payloads of requests, which the core never sees.
//
// One mutex serializes the decisions. While it is held, actions are started but
// never waited for, so they start in the order in which they were decided: a
// CancelCall can't overtake the StartCall that it cancels.
package daemon
