// Command elmdemo runs the Granite Ring example as separate processes on loopback,
// sends requests, and checks the results. It exits with status 0 only if every
// check passes.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmclient"
	"github.com/elmcove/elmcove/internal/stand/elmlocal"
)

const (
	baseFile    = "examples/granite/base.json"
	overlayFile = "examples/granite/overlay.json"
	runTimeout  = 45 * time.Second
)

func main() {
	bin := flag.String("bin", "bin", "folder with the programs")
	stay := flag.Bool("stay", false, "leave the site running until interrupted")
	flag.Parse()
	if err := run(*bin, *stay); err != nil {
		fmt.Fprintln(os.Stderr, "elmdemo:", err)
		os.Exit(1)
	}
}

func run(bin string, stay bool) (err error) {
	folder, err := os.MkdirTemp("", "elmcove-")
	if err != nil {
		return err
	}
	defer func() {
		if err == nil {
			_ = os.RemoveAll(folder) // A leftover temporary folder is harmless.
			return
		}
		fmt.Fprintln(os.Stderr, "logs and traces are kept in", folder)
	}()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	bin, err = filepath.Abs(bin)
	if err != nil {
		return err
	}
	if stay {
		return runUntilInterrupted(ctx, bin, folder)
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	return runChecks(ctx, bin, folder)
}

func start(ctx context.Context, bin, folder string) (*elmlocal.Site, error) {
	site, err := elmlocal.Start(ctx, elmlocal.Granite(bin, folder))
	if err != nil {
		return nil, err
	}
	if _, err := site.Command(ctx, "apply", "-platform", site.Platform, "-base", baseFile, "-overlay", overlayFile); err != nil {
		site.Stop()
		return nil, err
	}
	if err := site.WaitReady(ctx); err != nil {
		site.Stop()
		return nil, err
	}
	return site, nil
}

func runUntilInterrupted(ctx context.Context, bin, folder string) error {
	site, err := start(ctx, bin, folder)
	if err != nil {
		return err
	}
	defer site.Stop()
	fmt.Println("The site runs until it is interrupted. Logs and traces:", folder)
	for _, name := range site.EntryNames() {
		fmt.Printf("  %s %s\n", name, site.EntryURL(name))
	}
	fmt.Printf(`Try:
  curl -N %[1]s/v1/chat/completions -H 'Authorization: Bearer curb-secret' -H 'Content-Type: application/json' -d '{"model":"draft","stream":true,"messages":[{"role":"user","content":"cracked frame"}]}'
  bin/elmcove status -platform %[2]s
  bin/elmcove out -platform %[2]s -wait worcester
  bin/elmcove back -platform %[2]s -wait worcester
`, site.EntryURL("entry-1"), site.Platform)
	<-ctx.Done()
	return nil
}

func runChecks(ctx context.Context, bin, folder string) error {
	begin := time.Now()
	site, err := start(ctx, bin, folder)
	if err != nil {
		return err
	}
	defer site.Stop()
	fmt.Printf("started 7 entries, 15 endpoints with agents, and the platform in %s\n", time.Since(begin).Round(time.Millisecond))
	c := &checks{ctx: ctx, site: site, client: elmclient.New("curb-secret")}
	c.checkStream()
	c.checkAbandoned()
	c.checkOrderTwice()
	c.checkOutAndBack()
	c.checkShutdown()
	fmt.Printf("%d passed, %d failed in %s\n", c.passed, c.failed, time.Since(begin).Round(time.Millisecond))
	if c.failed > 0 {
		return fmt.Errorf("%d checks failed", c.failed)
	}
	return nil
}
