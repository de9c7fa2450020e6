// Package devfleet runs a whole fleet of separate processes on one machine, for
// development and for tests of failures. A node itself starts no process.
package devfleet

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
)

// Process is a program that the fleet started.
type Process struct {
	Name string

	path string
	args []string
	log  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Start runs the program. Its output is appended to the process's log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return errs.New(errs.Internal, "Stop the process before it is started again.", "process %s runs already", p.Name)
	}
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "Choose a directory that can be written.", "log of %s", p.Name)
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = output, output
	// A process group of its own keeps a Ctrl-C at the terminal from reaching the process before
	// the supervisor stops it in order; the death signal ends it with a supervisor that was killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	_ = output.Close() // The process has its own descriptor.
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "Build the programs first.", "start %s", p.Name)
	}
	p.cmd = cmd
	p.done = make(chan struct{})
	go p.wait(cmd, p.done)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.cmd = nil
	p.err = err
	p.mu.Unlock()
	close(done)
}

// PID returns the process identity, 0 if the process does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// Signal sends a signal; a process that has ended is no error.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	err := p.cmd.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error { return p.end(syscall.SIGKILL, 10*time.Second) }

// Stop asks the process to stop gracefully and waits up to the timeout.
func (p *Process) Stop(timeout time.Duration) error { return p.end(syscall.SIGTERM, timeout) }

// Freeze stops the process as a scheduler or a hypervisor would.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

func (p *Process) end(signal syscall.Signal, timeout time.Duration) error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return nil
	}
	if err := p.Signal(signal); err != nil {
		return err
	}
	select {
	case <-done:
		return p.exitError(signal)
	case <-time.After(timeout):
		return errs.New(errs.Unavailable, "Look at its log; send the signal again to end it at once.", "process %s has not ended within %s", p.Name, timeout)
	}
}

// exitError reports a program that did not end the way that it was asked to.
func (p *Process) exitError(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal == syscall.SIGKILL || p.err == nil {
		return nil
	}
	return errs.Wrap(p.err, errs.Internal, "Look at its log.", "process %s", p.Name)
}
