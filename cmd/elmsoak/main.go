// Command elmsoak runs router processes under faults, once for each seed, and
// checks the delivery guarantees against the records of callers and endpoints. With
// -recovery it measures instead how long numbers of entries take to recover when the
// store returns from a copy.
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/elmcove/elmcove/platform/stand/elmsoak"
)

func main() {
	bin := flag.String("bin", "bin", "folder with the programs")
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Uint64("seeds", 1, "number of seeds")
	entries := flag.Int("entries", 3, "number of entries; from 5 on one reads the store for all")
	length := flag.Duration("length", 12*time.Second, "duration of the faults for each seed")
	kinds := flag.String("kinds", "", "kinds of faults to draw, such as copies,restarts; all if empty")
	logs := flag.String("logs", "", "folder that keeps the logs of entries of runs with violations; none if empty")
	recovery := flag.String("recovery", "", "numbers of entries to measure the recovery of, such as 7,38,120")
	flag.Parse()
	var broken int
	var err error
	if *recovery != "" {
		err = measureRecovery(*bin, *recovery)
	} else {
		broken, err = run(elmsoak.Plan{Bin: *bin, Seed: *seed, Entries: *entries, Length: *length, Kinds: fields(*kinds), Logs: *logs}, *seeds)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "elmsoak:", err)
		os.Exit(1)
	}
	if broken > 0 {
		os.Exit(1)
	}
}

// measureRecovery prints a row for each number of entries.
func measureRecovery(bin, numbers string) error {
	bin, err := filepath.Abs(bin)
	if err != nil {
		return err
	}
	fmt.Println("| entries | act on the configuration | listed again | store calls in 10 s | without the return |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for text := range strings.SplitSeq(numbers, ",") {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 {
			return fmt.Errorf("-recovery: %q is not a number of entries", text)
		}
		r, err := elmsoak.MeasureRecovery(context.Background(), bin, number)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %.2f s | %.2f s | %d | %d |\n", r.Entries, r.Configured.Seconds(), r.Listed.Seconds(), r.Calls, r.UsualCalls)
	}
	return nil
}

// fields returns the parts of a list that is separated by commas.
func fields(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}

// breakdown returns the failures in parentheses, by their cause.
func breakdown(failures map[string]int) string {
	var list []string
	for _, cause := range slices.Sorted(maps.Keys(failures)) {
		list = append(list, fmt.Sprintf("%s %d", cause, failures[cause]))
	}
	if len(list) == 0 {
		return ""
	}
	return " (" + strings.Join(list, ", ") + ")"
}

// run carries out a plan with a number of seeds from its own on, and returns the number
// of violations.
func run(plan elmsoak.Plan, seeds uint64) (int, error) {
	bin, err := filepath.Abs(plan.Bin)
	if err != nil {
		return 0, err
	}
	plan.Bin = bin
	broken := 0
	for end := plan.Seed + seeds; plan.Seed < end; plan.Seed++ {
		report, err := elmsoak.Run(context.Background(), plan)
		if err != nil {
			return broken, err
		}
		fmt.Printf("seed %d: %d faults, %d requests, %d served, %d refused, %d failed%s, %d MB, %d broken\n",
			plan.Seed, report.Faults, report.Requests, report.Served, report.Refused, report.Failed, breakdown(report.Failures), report.PeakMemory>>20, len(report.Broken))
		for _, b := range report.Broken {
			fmt.Println("  " + b)
		}
		broken += len(report.Broken)
	}
	return broken, nil
}
