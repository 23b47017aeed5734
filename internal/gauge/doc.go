// Package gauge is the load and experiment tool: it plays a scenario against a
// fleet of real daemons and stand-ins in one process and reports what callers
// got. Arrivals are open-loop: they never wait for answers, and latency counts
// from the planned arrival.
package gauge
