package elmcommand

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// signals are the signals to a process. One that is not caught ends the process, so they are
// caught before anything else is done.
type signals struct {
	hangups chan os.Signal
	release context.CancelFunc
}

// catchSignals returns a context that ends at SIGTERM or SIGINT. Further ones are ignored, so
// that they do not abort requests in progress.
func catchSignals(ctx context.Context) (context.Context, signals) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	return ctx, signals{hangups: hangups, release: func() {
		stop()
		signal.Stop(hangups)
	}}
}

// watchSettings validates the settings file again on each SIGHUP. A running process keeps its
// addresses and limits.
func (s signals) watchSettings(ctx context.Context, path string, load func() error, logger *elmlog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.hangups:
		}
		if err := load(); err != nil {
			logger.Event(elmlog.SettingsRefused, "error", err)
			continue
		}
		logger.Event(elmlog.SettingsReloaded, "path", path)
	}
}
