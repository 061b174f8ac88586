package elmcommand

import (
	"context"

	"github.com/elmcove/elmcove/internal/command/elmsignals"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// watchSettings validates the settings file again on each SIGHUP. A running process keeps its
// addresses and limits.
func watchSettings(ctx context.Context, signals elmsignals.Signals, path string, load func() error, logger *elmlog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals.Hangups():
		}
		if err := load(); err != nil {
			logger.Event(elmlog.SettingsRefused, "error", err)
			continue
		}
		logger.Event(elmlog.SettingsReloaded, "path", path)
	}
}
