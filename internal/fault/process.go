package fault

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Process is one program that a test started.
type Process struct {
	// Log is the file that holds what it prints.
	Log string
	cmd *exec.Cmd
	// exited is closed once the system has taken the process back.
	exited chan struct{}
	wait   errgroup.Group
}

// Start runs a program; what it prints is added to the file log.
func Start(log, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("log of a process: %w", err)
	}
	defer func() { _ = out.Close() }()
	p := &Process{Log: log, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// A test run that is broken off by its own timeout runs no cleanup; the
	// system ends the process then.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	p.wait.Go(func() error {
		defer close(p.exited)
		return p.cmd.Wait()
	})
	return p, nil
}

// Signal sends the process a signal.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process at once, a stopped one too, and waits for its end.
func (p *Process) Kill() {
	// It may have ended by itself.
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Running tells whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Wait waits for the process to end by itself; false if it doesn't in time. The
// error is that of its exit.
func (p *Process) Wait(timeout time.Duration) (bool, error) {
	select {
	case <-p.exited:
		return true, p.wait.Wait()
	case <-time.After(timeout):
		return false, nil
	}
}

// Tail is the end of what the process printed.
func (p *Process) Tail() string {
	const maxTail = 4000
	out, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error()
	}
	return string(out[max(0, len(out)-maxTail):])
}
