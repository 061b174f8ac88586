package elmcommand

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/elmcove/elmcove/internal/config/elmsettings"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/platform"
)

// Guards against a process that a signal ends while it reads its settings, and against a
// SIGHUP that ends a running one.
func TestSignals(t *testing.T) {
	const (
		platformSettings = "nodeName = \"edge-1\"\nip = \"127.0.0.1\"\nzone = \"home\"\ninternalPorts = [1, 2]\nplatform.address = \"127.0.0.1:1\"\n"
		ownSettings      = `{"instance": "a", "datacentre": "b", "site": "c", "platform": "http://127.0.0.1:1", "keys": "d", "http": "127.0.0.1:1"}`
	)
	processes := map[string]struct {
		settings string
		start    func(path string, run func()) error
	}{
		"on the platform": {platformSettings, func(path string, run func()) error {
			return runOnPlatform(t.Context(), path, func(context.Context, platform.Settings, *elmlog.Logger) error {
				run()
				return nil
			})
		}},
		"own interface": {ownSettings, func(path string, run func()) error {
			return runProcess(t.Context(), path, elmsettings.RoleEntry, func(context.Context, process) error {
				run()
				return nil
			})
		}},
	}
	for name, c := range map[string]struct {
		// starting is sent while the settings are read, and running is sent by the process.
		starting, running syscall.Signal
		ran               bool
	}{
		"reload at the start": {starting: syscall.SIGHUP, ran: true},
		"stop at the start":   {starting: syscall.SIGTERM},
		"reload":              {running: syscall.SIGHUP, ran: true},
		"stop":                {running: syscall.SIGTERM, ran: true},
	} {
		for kind, p := range processes {
			t.Run(name+", "+kind, func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "settings")
				if err := syscall.Mkfifo(path, 0o600); err != nil {
					t.Fatal(err)
				}
				ran := false
				ended := make(chan error, 1)
				go func() {
					ended <- p.start(path, func() {
						ran = true
						signalSelf(c.running)
					})
				}()
				pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // It waits until the process reads.
				if err != nil {
					t.Fatal(err)
				}
				signalSelf(c.starting)
				// The settings are read again at SIGHUP.
				if err = os.Remove(path); err == nil {
					err = os.WriteFile(path, []byte(p.settings), 0o600)
				}
				if err != nil {
					t.Fatal(err)
				}
				_, _ = pipe.WriteString(p.settings)
				_ = pipe.Close()
				if err = <-ended; err != nil || ran != c.ran {
					t.Errorf("ran: %t, %v", ran, err)
				}
			})
		}
	}
}

// signalSelf sends a signal to this process and waits until it is delivered.
func signalSelf(signal syscall.Signal) {
	if signal != 0 {
		_ = syscall.Kill(os.Getpid(), signal)
		<-time.After(100 * time.Millisecond)
	}
}
