package elmlocal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/elmcove/elmcove/internal/config/elmsettings"
)

// Signal sends a signal to the named process. With SIGSTOP it returns when all of
// the process's threads are stopped.
func (s *Site) Signal(name string, signal syscall.Signal) error {
	s.mutex.Lock()
	p, ok := s.processes[name]
	s.mutex.Unlock()
	if !ok {
		return fmt.Errorf("%w: no process %q", ErrLocal, name)
	}
	if err := p.Process.Signal(signal); err != nil {
		return fmt.Errorf("%w: signal %s: %w", ErrLocal, name, err)
	}
	if signal != syscall.SIGSTOP {
		return nil
	}
	if err := waitStopped(p.Process.Pid); err != nil {
		return fmt.Errorf("%w: stop %s: %w", ErrLocal, name, err)
	}
	return nil
}

// waitStopped waits until a child process is stopped. Threads that run on other
// processors may execute for some time after the signal was sent.
func waitStopped(processID int) error {
	for {
		err := unix.Waitid(unix.P_PID, processID, nil, unix.WSTOPPED, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// WaitExit waits until the named process has exited.
func (s *Site) WaitExit(ctx context.Context, name string) error {
	s.mutex.Lock()
	done := s.done[name]
	s.mutex.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: wait for %s: %w", ErrLocal, name, ctx.Err())
	}
}

// ProcessID returns the process ID of the named process.
func (s *Site) ProcessID(name string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.processes[name].Process.Pid
}

// Command runs an operator's command and returns its standard output and
// standard error.
func (s *Site) Command(ctx context.Context, arguments ...string) (string, error) {
	c := exec.CommandContext(ctx, filepath.Join(s.plan.Bin, "elmcove"), arguments...)
	output, err := c.CombinedOutput()
	if err != nil {
		return string(output), fmt.Errorf("%w: elmcove %v: %w: %s", ErrLocal, arguments, err, output)
	}
	return string(output), nil
}

func (s *Site) startWithSettings(name, role string, settings elmsettings.Settings) error {
	text, err := json.Marshal(settings)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLocal, err)
	}
	path := filepath.Join(s.plan.Folder, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("%w: %w", ErrLocal, err)
	}
	return s.start(name, "elmcove", role, "-settings", path)
}

// Restart starts an exited process again with the same arguments.
func (s *Site) Restart(name string) error {
	s.mutex.Lock()
	arguments := s.processes[name].Args[1:]
	program := filepath.Base(s.processes[name].Path)
	s.mutex.Unlock()
	return s.start(name, program, arguments...)
}

func (s *Site) start(name, program string, arguments ...string) error {
	logFile, err := os.OpenFile(filepath.Join(s.plan.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLocal, err)
	}
	defer func() { _ = logFile.Close() }() // The child process has its own descriptor.
	c := exec.Command(filepath.Join(s.plan.Bin, program), arguments...)
	c.Stdout = logFile
	c.Stderr = logFile
	s.network.Hold(c)
	if err := c.Start(); err != nil {
		return fmt.Errorf("%w: start %s: %w", ErrLocal, name, err)
	}
	done := make(chan struct{})
	go func() {
		_ = c.Wait() // A process may exit with any status.
		close(done)
	}()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.processes[name] = c
	s.done[name] = done
	return nil
}
