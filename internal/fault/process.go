package fault

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Process is a program that a test started.
type Process struct {
	// Log is the file that holds its standard output and error.
	Log string
	cmd *exec.Cmd
	// exited is closed once the process has been waited for.
	exited chan struct{}
	wait   errgroup.Group
}

// Start runs a program and appends its standard output and error to the file log.
func Start(log, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log of a process: %w", err)
	}
	defer func() { _ = out.Close() }()
	p := &Process{Log: log, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// A test run that its own timeout aborts runs no cleanup; the kernel kills the
	// process then.
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

// Kill kills the process, even if it is suspended by a signal, and waits for its exit.
func (p *Process) Kill() {
	// An error means that the process has already exited.
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Wait waits for the process to exit by itself. It returns false if it doesn't within the
// timeout, else true and the error of the exit.
func (p *Process) Wait(timeout time.Duration) (bool, error) {
	select {
	case <-p.exited:
		return true, p.wait.Wait()
	case <-time.After(timeout):
		return false, nil
	}
}

// Tail returns the end of the process's log.
func (p *Process) Tail() string {
	const maxTail = 4000
	out, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error()
	}
	return string(out[max(0, len(out)-maxTail):])
}

// PeakMemory returns the largest amount of memory that the process has had resident, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	file := fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid)
	status, err := os.ReadFile(file)
	if err != nil {
		return 0, fmt.Errorf("peak memory of a process: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		var kib int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kib); n == 1 {
			return kib << 10, nil
		}
	}
	return 0, fmt.Errorf("peak memory of a process: none in %s", file)
}

// Descriptors returns how many file descriptors the process has open.
func (p *Process) Descriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("descriptors of a process: %w", err)
	}
	return len(entries), nil
}

// MostDescriptors watches the process for a time, and returns the largest number of descriptors that it had open.
func (p *Process) MostDescriptors(watch time.Duration) (int, error) {
	most := 0
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		n, err := p.Descriptors()
		if err != nil {
			return 0, err
		}
		most = max(most, n)
	}
	return most, nil
}

// Limits are the limits of a process on its resources.
type Limits struct {
	// Memory is the memory that its runtime is told to keep to, in bytes. Descriptors is how many files it may have
	// open. 0 changes nothing.
	Memory      int64
	Descriptors int
}

// StartLimited is Start with limits.
func StartLimited(l Limits, log, program string, args ...string) (*Process, error) {
	var script string
	if l.Memory > 0 {
		script += fmt.Sprintf("export GOMEMLIMIT=%d; ", l.Memory)
	}
	if l.Descriptors > 0 {
		script += fmt.Sprintf("ulimit -n %d; ", l.Descriptors)
	}
	return Start(log, "/bin/sh", append([]string{"-c", script + `exec "$0" "$@"`, program}, args...)...)
}
