package procs

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

const (
	// patience bounds each wait for something that takes well under a second on
	// an idle machine.
	patience = 60 * time.Second
	// glance is the pause between two looks.
	glance = 20 * time.Millisecond
)

// process is one program that a test started. It ends with the test.
type process struct {
	t    *testing.T
	name string
	log  string
	cmd  *exec.Cmd
	// ended is closed once the system has taken the process back.
	ended chan struct{}
	wait  errgroup.Group
}

// start runs a program; what it prints goes to the file log.
func start(t *testing.T, log, name string, args ...string) *process {
	t.Helper()
	out, err := os.Create(log)
	require.NoError(t, err)
	p := &process{t: t, name: filepath.Base(log), log: log, ended: make(chan struct{})}
	p.cmd = exec.Command(program(name), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// A test run that is broken off by its own timeout runs no cleanup; the
	// system ends the process then.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.cmd.Start())
	require.NoError(t, out.Close())
	p.wait.Go(func() error {
		defer close(p.ended)
		return p.cmd.Wait()
	})
	t.Cleanup(p.kill)
	return p
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(s), p.name)
}

// kill ends the process at once; a stopped one too.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// ends waits for the process to end by itself, without an error.
func (p *process) ends() {
	p.t.Helper()
	select {
	case <-p.ended:
		require.NoError(p.t, p.wait.Wait(), p.name)
	case <-time.After(patience):
		require.FailNow(p.t, "process doesn't end", "%s:\n%s", p.name, p.tail())
	}
}

// tail is the end of what the process printed.
func (p *process) tail() string {
	const most = 4000
	out, _ := os.ReadFile(p.log)
	return string(out[max(0, len(out)-most):])
}

// awaitLine reads the first JSON line that is whole and taken by found.
func awaitLine[T any](p *process, found func(T) bool) T {
	p.t.Helper()
	var line T
	await(p.t, func() bool {
		out, err := os.ReadFile(p.log)
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
	}, p.name+" prints where it serves", "%s", logOf{p})
	return line
}

// await looks until what is asked for holds.
func await(t *testing.T, holds func() bool, what string, args ...any) {
	t.Helper()
	end := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(end) {
			require.FailNow(t, "not in time: "+what, args...)
		}
		time.Sleep(glance)
	}
}

// logOf prints what a process printed, at the time of printing.
type logOf struct{ p *process }

// String reads the log.
func (l logOf) String() string { return l.p.tail() }
