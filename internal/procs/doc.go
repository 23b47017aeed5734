// Package procs tests the built programs as processes of their own, on
// loopback: daemons on three zones, the platform, engines and plain services.
// What only a real process can show is tested here: SIGKILL, SIGSTOP, SIGTERM
// and connections that go silent. It has tests only.
package procs
