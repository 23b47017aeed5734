// Package procs tests the built programs as separate processes on loopback:
// daemons in three zones, the platform, engines and plain services. It covers
// what only real processes can show: SIGKILL, SIGSTOP, SIGTERM and blackholed
// connections. It has test files only.
package procs
