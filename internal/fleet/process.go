package fleet

import (
	"context"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"sync"
	"syscall"

	"baobabreach/internal/errs"
	"baobabreach/internal/stub"

	"github.com/go-faster/errors"
)

// process is a child process. done is closed once it has exited and its status has been collected.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// spawnQueue passes functions to a goroutine that is locked to one OS thread. With Pdeathsig, the kernel kills a child
// when the thread that started it exits, so that thread must live as long as this process.
var (
	spawnQueue      = make(chan func())
	spawnThreadOnce sync.Once
)

func runOnSpawnThread(fn func()) {
	spawnThreadOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for f := range spawnQueue {
				f()
			}
		}()
	})
	done := make(chan struct{})
	spawnQueue <- func() {
		defer close(done)
		fn()
	}
	<-done
}

// startProcess starts a child that is killed when this process exits, and appends its output to a log file.
func startProcess(program string, args []string, log string) (*process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	defer func() { _ = out.Close() }()
	p := &process{cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// A separate process group keeps Ctrl-C in the terminal from reaching the children before the fleet stops them.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	runOnSpawnThread(func() { err = p.cmd.Start() })
	if err != nil {
		return nil, errors.Wrap(err, "start process")
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	}()
	return p, nil
}

func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) kill() { _ = p.cmd.Process.Kill() }

// Kill sends SIGKILL to a process and waits until it has exited.
func (f *Fleet) Kill(name string) error {
	p, err := f.runningProcess(name)
	if err != nil {
		return err
	}
	p.kill()
	<-p.done
	return nil
}

// Pause suspends a process with SIGSTOP.
func (f *Fleet) Pause(name string) error { return f.signal(name, syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (f *Fleet) Resume(name string) error { return f.signal(name, syscall.SIGCONT) }

// Stop sends SIGTERM to a process and waits for its graceful shutdown. A non-zero exit status is an error.
func (f *Fleet) Stop(ctx context.Context, name string) error {
	if err := f.signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	select {
	case <-p.done:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait until %s exits", name)
	}
	if !p.cmd.ProcessState.Success() {
		return errors.Errorf("%s exited with %s", name, p.cmd.ProcessState)
	}
	return nil
}

// Crashed returns the sorted names of the upstreams that an injected fault crashed, for a supervisor to restart.
func (f *Fleet) Crashed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, u := range f.Upstreams {
		if p := f.processes[u.Name]; p != nil && p.exited() && p.cmd.ProcessState.ExitCode() == stub.CrashExitStatus {
			out = append(out, u.Name)
		}
	}
	slices.Sort(out)
	return out
}

// Running reports whether a process was started and has not exited.
func (f *Fleet) Running(name string) bool {
	_, err := f.runningProcess(name)
	return err == nil
}

func (f *Fleet) signal(name string, s os.Signal) error {
	p, err := f.runningProcess(name)
	if err != nil {
		return err
	}
	return errs.Wrap(p.cmd.Process.Signal(s), "signal "+name)
}

func (f *Fleet) runningProcess(name string) (*process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.processes[name]
	if p == nil || p.exited() {
		return nil, errors.Errorf("%s is not running", name)
	}
	return p, nil
}
