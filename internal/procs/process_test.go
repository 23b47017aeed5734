package procs

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"jasmineshed/internal/fault"
)

const (
	// awaitTimeout bounds each wait for something that takes well under a second on an idle
	// machine.
	awaitTimeout = 60 * time.Second
	// pollInterval is the pause between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// process is a program that a test started. It is killed at the end of the test.
type process struct {
	*fault.Process
	t    *testing.T
	name string
}

// start starts a program within limits, whose output goes to the file log.
func start(t *testing.T, limits fault.Limits, log, name string, args ...string) *process {
	t.Helper()
	p, err := fault.StartLimited(limits, log, program(name), args...)
	require.NoError(t, err)
	t.Cleanup(p.Kill)
	return &process{Process: p, t: t, name: filepath.Base(log)}
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.Signal(s), p.name)
}

// awaitExit waits for the process to exit by itself, without an error.
func (p *process) awaitExit() {
	p.t.Helper()
	ended, err := p.Wait(awaitTimeout)
	require.True(p.t, ended, "process did not exit in time: %s:\n%s", p.name, p.Tail())
	require.NoError(p.t, err, p.name)
}

// awaitLine waits for the first complete JSON line that found accepts, and returns it.
func awaitLine[T any](p *process, found func(T) bool) T {
	p.t.Helper()
	var line T
	await(p.t, func() bool {
		out, err := os.ReadFile(p.Log)
		if err != nil {
			return false
		}
		for text := range bytes.Lines(out) {
			var next T
			if json.Unmarshal(text, &next) == nil && found(next) {
				line = next
				return true
			}
		}
		return false
	}, p.name+" prints the expected line", "%s", logOf{p})
	return line
}

// await polls until the condition holds, and fails the test after awaitTimeout.
func await(t *testing.T, condition func() bool, what string, args ...any) {
	t.Helper()
	end := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(end) {
			require.FailNow(t, "not in time: "+what, args...)
		}
		time.Sleep(pollInterval)
	}
}

// logOf formats as the end of a process's log at the time of formatting.
type logOf struct{ p *process }

// String reads the log.
func (l logOf) String() string { return l.p.Tail() }
