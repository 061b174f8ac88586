package elmcommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/elmcove/elmcove/internal/command/elmsignals"
	"github.com/elmcove/elmcove/internal/expert/elmrankagent"
	"github.com/elmcove/elmcove/internal/forward/elmfollower"
	"github.com/elmcove/elmcove/internal/forward/elmrouter"
	"github.com/elmcove/elmcove/internal/limit/elmcrowd"
	"github.com/elmcove/elmcove/internal/observe/elmages"
	"github.com/elmcove/elmcove/internal/observe/elmcause"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmsink"
	"github.com/elmcove/elmcove/platform"
)

// runFunc runs a process with the platform's settings.
type runFunc func(ctx context.Context, settings platform.Settings, logger *elmlog.Logger) error

func routerCommand() *command {
	rf := routerFlags{admission: elmrouter.AdmissionAuto}
	c := processCommand("router", "Runs the entry process on the users' platform.",
		func(ctx context.Context, s platform.Settings, l *elmlog.Logger) error {
			rf.limits.MemoryLimit = s.MemoryLimit
			if err := rf.limits.Check(); err != nil {
				return err
			}
			return elmrouter.New(s, l, rf.options()...).Run(ctx)
		})
	register := c.flags
	c.usage += " [-admission auto|pressure|off] [-learned-limits on|off] [-max-connections N] [-request-memory MB]"
	c.flags = func(f *flag.FlagSet) {
		register(f)
		rf.register(f)
	}
	return c
}

func rankAgentCommand() *command {
	return processCommand("rank-agent", "Runs the agent process on the users' platform.",
		func(ctx context.Context, s platform.Settings, l *elmlog.Logger) error {
			return elmrankagent.New(s, l).Run(ctx)
		})
}

// settingsCommand returns a command that validates the platform's settings file of
// an instance.
func settingsCommand() *command {
	path := os.Getenv(platform.SettingsVariable)
	return &command{
		name: "settings", synopsis: "Checks an instance's settings file of the users' platform.",
		usage: "settings [-settings FILE]",
		flags: func(f *flag.FlagSet) { f.StringVar(&path, "settings", path, "settings file of the platform") },
		run: func(context.Context, []string) error {
			s, err := platform.Load(path)
			if err != nil {
				return err
			}
			fmt.Printf("instance %s in data centre %s, store %s\n", s.Instance, s.Datacentre, s.Store)
			return nil
		},
	}
}

// causeCommand returns a command that shows from logs what happened to a request.
func causeCommand() *command {
	path := "-"
	return &command{
		name: "cause", synopsis: "Shows from the logs of the platform's processes what happened to a request.",
		usage: "cause [-log FILE] REQUEST", args: 1,
		flags: func(f *flag.FlagSet) { f.StringVar(&path, "log", path, "log file, or - for standard input") },
		run: func(_ context.Context, args []string) error {
			return explain(path, func(log io.Reader) (fmt.Stringer, error) { return elmcause.Read(log, args[0]) })
		},
	}
}

// agesCommand returns a command that shows from logs when entries worked with old state.
func agesCommand() *command {
	path, limit := "-", elmfollower.MaxSharedDelay
	return &command{
		name: "ages", synopsis: "Shows from the logs of entries when they worked with platform state older than a limit.",
		usage: "ages [-log FILE] [-over DURATION]",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&path, "log", path, "log file, or - for standard input")
			f.DurationVar(&limit, "over", limit, "age of the platform state")
		},
		run: func(context.Context, []string) error {
			return explain(path, func(log io.Reader) (fmt.Stringer, error) { return elmages.Read(log, limit) })
		},
	}
}

// explain prints what read finds in a log file, or in the standard input if the path is -.
func explain(path string, read func(io.Reader) (fmt.Stringer, error)) error {
	log := os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer file.Close() //nolint:errcheck // The file is only read.
		log = file
	}
	found, err := read(log)
	if err != nil {
		return err
	}
	fmt.Print(found)
	return nil
}

// processCommand returns a command that runs a process on the users' platform.
func processCommand(name, synopsis string, run runFunc) *command {
	path := os.Getenv(platform.SettingsVariable)
	return &command{
		name: name, synopsis: synopsis, usage: name + " [-settings FILE]", drains: true,
		flags: func(f *flag.FlagSet) { f.StringVar(&path, "settings", path, "settings file of the platform") },
		run: func(ctx context.Context, _ []string) error {
			return runOnPlatform(ctx, path, run)
		},
	}
}

// runOnPlatform runs a process until SIGTERM or SIGINT starts draining. The process
// logs through a sink, so that a slow log reader does not block it.
func runOnPlatform(ctx context.Context, path string, run runFunc) error {
	ctx, signals := elmsignals.Catch(ctx)
	defer signals.Release()
	settings, err := platform.Load(path)
	if err != nil || ctx.Err() != nil {
		return err
	}
	elmcrowd.SetMemoryLimit(settings.MemoryLimit)
	sink := elmsink.New(os.Stdout)
	logger := elmlog.NewJSON(settings.Instance, sink)
	logger.CaptureStandard()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wait sync.WaitGroup
	reportDropped := func(n int64) { logger.Event(elmlog.LinesDropped, "lines", n) }
	wait.Go(func() { sink.Run(background, reportDropped) })
	wait.Go(func() {
		watchSettings(background, signals, path, func() error {
			_, loadErr := platform.Load(path)
			return loadErr
		}, logger)
	})
	err = run(ctx, settings, logger)
	if err != nil {
		logger.Event(elmlog.Failed, "error", err)
	}
	stop()
	wait.Wait()
	sink.Flush(reportDropped)
	return err
}
