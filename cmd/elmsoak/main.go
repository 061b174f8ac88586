// Command elmsoak runs router processes under faults, once for each seed, and
// checks the delivery guarantees against the records of callers and endpoints.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/elmcove/elmcove/platform/stand/elmsoak"
)

func main() {
	bin := flag.String("bin", "bin", "folder with the programs")
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Uint64("seeds", 1, "number of seeds")
	length := flag.Duration("length", 12*time.Second, "duration of the faults for each seed")
	flag.Parse()
	broken, err := run(*bin, *seed, *seeds, *length)
	if err != nil {
		fmt.Fprintln(os.Stderr, "elmsoak:", err)
		os.Exit(1)
	}
	if broken > 0 {
		os.Exit(1)
	}
}

func run(bin string, seed, seeds uint64, length time.Duration) (int, error) {
	bin, err := filepath.Abs(bin)
	if err != nil {
		return 0, err
	}
	broken := 0
	for n := seed; n < seed+seeds; n++ {
		report, err := elmsoak.Run(context.Background(), elmsoak.Plan{Bin: bin, Seed: n, Length: length})
		if err != nil {
			return broken, err
		}
		fmt.Printf("seed %d: %d faults, %d requests, %d served, %d refused, %d failed, %d broken\n",
			n, report.Faults, report.Requests, report.Served, report.Refused, report.Failed, len(report.Broken))
		for _, b := range report.Broken {
			fmt.Println("  " + b)
		}
		broken += len(report.Broken)
	}
	return broken, nil
}
