package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// runsProgram is the environment variable with which the test binary runs as the program.
const runsProgram = "ELMCOVE_TEST_RUNS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runsProgram) != "" {
		main()
	}
	os.Exit(m.Run())
}

// Guards against a signal that ends a process while the packages it consists of are being
// initialised: SIGHUP must not end it, and SIGTERM must end it as later.
func TestSignalDuringInitialisation(t *testing.T) {
	folder := t.TempDir()
	absent, pipe := filepath.Join(folder, "absent"), filepath.Join(folder, "pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil { // A command that reads it waits.
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args   []string
		signal syscall.Signal
		ended  syscall.Signal // 0 if the process ends by itself.
	}{
		"reload of a router":         {args: []string{"router", "-settings", absent}, signal: syscall.SIGHUP},
		"stop of a router":           {args: []string{"router", "-settings", absent}, signal: syscall.SIGTERM},
		"reload of an entry":         {args: []string{"entry", "-settings", absent}, signal: syscall.SIGHUP},
		"hangup of a command":        {args: []string{"settings", "-settings", pipe}, signal: syscall.SIGHUP, ended: syscall.SIGHUP},
		"interruption of a command":  {args: []string{"check", "-base", pipe}, signal: syscall.SIGINT, ended: syscall.SIGINT},
		"command without any signal": {args: []string{"settings", "-settings", absent}},
	} {
		t.Run(name, func(t *testing.T) {
			program := exec.CommandContext(t.Context(), os.Args[0], c.args...)
			program.Env = append(os.Environ(), runsProgram+"=1", "GODEBUG=inittrace=1")
			output, err := program.StderrPipe()
			if err == nil {
				err = program.Start()
			}
			if err != nil {
				t.Fatal(err)
			}
			lines := bufio.NewScanner(output)
			for lines.Scan() { // The packages of this module need those of the standard library.
				if c.signal != 0 && strings.HasPrefix(lines.Text(), "init github.com/elmcove/") {
					_ = program.Process.Signal(c.signal)
					break
				}
			}
			for lines.Scan() { // The process must not wait for its output to be read.
				continue
			}
			_ = program.Wait() // It fails without settings.
			status, _ := program.ProcessState.Sys().(syscall.WaitStatus)
			if c.ended != 0 && (!status.Signaled() || status.Signal() != c.ended) || c.ended == 0 && !status.Exited() {
				t.Errorf("ended with %v", program.ProcessState)
			}
		})
	}
}
