package elmcommand

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/elmcove/elmcove/internal/agent/elmagent"
	"github.com/elmcove/elmcove/internal/command/elmsignals"
	"github.com/elmcove/elmcove/internal/config/elmsettings"
	"github.com/elmcove/elmcove/internal/entry/elmentry"
	"github.com/elmcove/elmcove/internal/limit/elmcrowd"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmtrace"
)

// traceTimeout limits the export of the remaining traces on shutdown.
const traceTimeout = 2 * time.Second

// process holds what entries and agents have in common.
type process struct {
	settings elmsettings.Settings
	logger   *elmlog.Logger
	tracer   *elmtrace.Tracer
}

func entryCommand() *command {
	var path string
	return &command{
		name:     "entry",
		synopsis: "Runs the entry process of an instance.",
		usage:    "entry -settings FILE",
		drains:   true,
		flags:    func(f *flag.FlagSet) { f.StringVar(&path, "settings", "entry.json", "settings file") },
		run: func(ctx context.Context, _ []string) error {
			return runProcess(ctx, path, elmsettings.RoleEntry, runEntry)
		},
	}
}

func agentCommand() *command {
	var path string
	return &command{
		name:     "agent",
		synopsis: "Runs the agent process beside an endpoint.",
		usage:    "agent -settings FILE",
		drains:   true,
		flags:    func(f *flag.FlagSet) { f.StringVar(&path, "settings", "agent.json", "settings file") },
		run: func(ctx context.Context, _ []string) error {
			return runProcess(ctx, path, elmsettings.RoleAgent, runAgent)
		},
	}
}

func runEntry(ctx context.Context, p process) error {
	entry, err := elmentry.New(p.settings, elmentry.WithLogger(p.logger), elmentry.WithTracer(p.tracer))
	if err != nil {
		return err
	}
	return entry.Run(ctx)
}

func runAgent(ctx context.Context, p process) error {
	agent, err := elmagent.New(p.settings, elmagent.WithLogger(p.logger), elmagent.WithTracer(p.tracer))
	if err != nil {
		return err
	}
	return agent.Run(ctx)
}

// runProcess runs a process until SIGTERM or SIGINT starts draining.
func runProcess(ctx context.Context, path string, role elmsettings.Role, run func(context.Context, process) error) error {
	ctx, signals := elmsignals.Catch(ctx)
	defer signals.Release()
	settings, err := elmsettings.Load(path, role)
	if err != nil || ctx.Err() != nil {
		return err
	}
	elmcrowd.SetMemoryLimit(settings.MemoryLimit())
	tracer, err := elmtrace.New(ctx, settings.Instance, settings.Traces)
	if err != nil {
		return err
	}
	logger := elmlog.New(settings.Instance, settings.Log, os.Stderr)
	logger.CaptureStandard()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go watchSettings(background, signals, path, func() error {
		_, loadErr := elmsettings.Load(path, role)
		return loadErr
	}, logger)
	err = run(ctx, process{settings: settings, logger: logger, tracer: tracer})
	closeTracer(tracer, logger)
	return err
}

func closeTracer(tracer *elmtrace.Tracer, logger *elmlog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), traceTimeout)
	defer cancel()
	if err := tracer.Close(ctx); err != nil {
		logger.Event(elmlog.TracesLost, "error", err)
	}
}
