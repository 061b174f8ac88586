// Command stand runs one case of the review: it starts elmcove's programs as separate
// processes on loopback addresses, and plays the platform's store, the endpoints and the
// callers. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
//
// # Usage
//
//	target/review/stand -case NAME -folder review/N [-trouble 0]
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder of the case, in which record.txt is written")
	trouble := flag.String("trouble", os.Getenv("TROUBLE"), "0 runs without the disruption; a case may know other values")
	program := flag.String("elmcove", "target/elmcove", "the program of the deploy file")
	flag.Parse()
	cases := map[string]func(*world) (bool, error){
		"cold": runCold, "idle": runIdle, "route": runRoute, "storm": runStorm, "sudden": runSudden,
	}
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "stand: unknown case", *name)
		os.Exit(2)
	}
	os.Exit(play(run, filepath.Join(*folder, "record.txt"), *program, *trouble))
}

// longest is how long a case may take.
const longest = 100 * time.Second

// endEarly ends the processes of a case that is stopped or takes too long.
func endEarly(w *world) {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-stopped:
	case <-time.After(longest):
	}
	w.note("could not run: stopped, or over %v", longest)
	w.close()
	os.Exit(2)
}

// play runs a case and returns the exit code.
func play(run func(*world) (bool, error), recordPath, program, trouble string) int {
	w, err := newWorld(recordPath, program, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return 2
	}
	go endEarly(w)
	broken, err := run(w)
	w.close()
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "stand:", err)
		return 2
	case broken:
		w.note("result: broken")
		fmt.Println("broken")
		return 1
	}
	w.note("result: held")
	fmt.Println("held")
	return 0
}
