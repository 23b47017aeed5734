// Package gauge is the load generator for experiments: it runs a scenario against a
// fleet of real daemons and stand-ins in one process and reports the quality of service.
// Arrivals are open-loop: requests never wait for answers to others, and latency is
// measured from the planned arrival.
package gauge
