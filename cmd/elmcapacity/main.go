// Command elmcapacity measures on loopback the processor time, memory and network
// traffic of entries and agents per link, request and workspace, and prints the
// figures as Markdown. The page docs/CAPACITY.md is derived from them.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// runTimeout bounds a whole run.
const runTimeout = 9 * time.Minute

func main() {
	bin := flag.String("bin", "bin", "folder with the programs")
	flag.Parse()
	if err := run(*bin); err != nil {
		fmt.Fprintln(os.Stderr, "elmcapacity:", err)
		os.Exit(1)
	}
}

func run(bin string) error {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	bin, err := filepath.Abs(bin)
	if err != nil {
		return err
	}
	m := &meter{ctx: ctx, bin: bin}
	fmt.Print("# Measured slopes\n\nThis page is written by `make capacity`. ")
	fmt.Printf("Machine: %s.\n\n", describeMachine())
	steps := []func() error{m.measureAgents, m.measureEntries, m.measureWorkspaces, m.measureChanges, m.measureRequests, m.measureClaims}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}
