// Command elmmeasure measures the quality of service for callers while a data centre
// goes out of service and returns. It runs the Granite Ring example as real processes on
// loopback and prints the figures as Markdown. With -plots it runs the model of a
// lock-step group instead, and writes its plots into a folder.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmlocal"
)

const (
	baseFile    = "examples/granite/base.json"
	overlayFile = "examples/granite/overlay.json"
	// runTimeout bounds all runs of all scenarios together.
	runTimeout = 9 * time.Minute
)

func main() {
	bin := flag.String("bin", "bin", "folder with the programs")
	runs := flag.Int("runs", 10, "runs of each scenario")
	plots := flag.String("plots", "", "run the model and write its plots into this folder")
	flag.Parse()
	measure := func() error { return run(*bin, *runs) }
	if *plots != "" {
		measure = func() error { return runModel(os.Stdout, *plots) }
	}
	if err := measure(); err != nil {
		fmt.Fprintln(os.Stderr, "elmmeasure:", err)
		os.Exit(1)
	}
}

func run(bin string, runs int) error {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	bin, err := filepath.Abs(bin)
	if err != nil {
		return err
	}
	fmt.Printf(pageHeader, draftRate, draftTokens, orderRate, calmTime, awayTime, calmTime, runs, runtime.NumCPU(), runtime.Version())
	for _, s := range scenarios {
		var results []result
		for seed := range runs {
			r, err := runScenario(ctx, bin, s, uint64(seed))
			if err != nil {
				return fmt.Errorf("%s, run %d: %w", s.name, seed, err)
			}
			results = append(results, r)
		}
		printRow(s, results)
	}
	return nil
}

// startSite starts the Granite Ring example, applies its configuration and waits until
// it is ready.
func startSite(ctx context.Context, bin, folder string) (*elmlocal.Site, error) {
	plan := elmlocal.Granite(bin, folder)
	plan.Untraced = true
	site, err := elmlocal.Start(ctx, plan)
	if err != nil {
		return nil, err
	}
	_, err = site.Command(ctx, "apply", "-platform", site.Platform, "-base", baseFile, "-overlay", overlayFile)
	if err == nil {
		err = site.WaitReady(ctx)
	}
	if err != nil {
		site.Stop()
		return nil, err
	}
	return site, nil
}
