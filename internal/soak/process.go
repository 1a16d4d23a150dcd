package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"spurhall.example/spurhall/internal/timer"
)

// Process is one process that the soak started, over its restarts. All of its output goes to one file.
type Process struct {
	name  string
	path  string
	args  []string
	env   []string
	log   *os.File
	clock *timer.Service

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{} // closed when the process has ended
	wanted bool          // its end was asked for
	lost   []string      // ends that nobody asked for
}

// NewProcess returns a process that isn't started.
func NewProcess(clock *timer.Service, dir, name, path string, env []string, args ...string) (*Process, error) {
	f, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return &Process{name: name, path: path, args: args, env: env, log: f, clock: clock}, err
}

// SetArg sets the value that follows an argument, from the next start on.
func (p *Process) SetArg(name, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.args, name); i >= 0 {
		p.args[i+1] = value
	}
}

// Start starts it, or starts it again.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.Command(p.path, p.args...)
	c.Env = append(os.Environ(), p.env...)
	c.Stdout, c.Stderr = p.log, p.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.wanted = c, done, false
	go func() {
		err := c.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.wanted && p.cmd == c {
			p.lost = append(p.lost, fmt.Sprint(err))
		}
		close(done)
	}()
	return nil
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.wanted = true
	}
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// ExpectEnd says that the process may end by itself.
func (p *Process) ExpectEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = true
}

// Wait waits until the process has ended, and tells whether it did in time.
func (p *Process) Wait(d time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	late, stop := p.clock.After(d)
	defer stop()
	select {
	case <-done:
		return true
	case <-late:
		return false
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(dialTimeout)
}

// Close ends the process for good.
func (p *Process) Close() {
	if p.cmd != nil {
		p.Kill()
	}
	_ = p.log.Close()
}

// Lost returns how the process ended where nobody had asked it to.
func (p *Process) Lost() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

func (p *Process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Level is what a process holds.
type Level struct {
	Bytes       int64 `json:"bytes"` // resident
	Descriptors int   `json:"descriptors"`
}

// Level returns what the process holds now.
func (p *Process) Level() (Level, error) {
	dir := filepath.Join("/proc", strconv.Itoa(p.pid()))
	fds, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return Level{}, err
	}
	b, err := os.ReadFile(filepath.Join(dir, "statm"))
	if err != nil {
		return Level{}, err
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return Level{}, fmt.Errorf("%s: statm is %q", p.name, b)
	}
	pages, err := strconv.ParseInt(f[1], 10, 64)
	return Level{Bytes: pages * int64(os.Getpagesize()), Descriptors: len(fds)}, err
}
