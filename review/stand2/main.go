// Command stand2 plays the cases of the second review: it has the stand-ins of the platform, the
// replicas and the clients, and starts routers as processes.
//
// # Usage
//
//	stand2 CASE PROGRAM RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held = iota
	broken
	notRun
)

// limit is the time after which a run ends in any case.
const limit = 110 * time.Second

// cases returns by its name whether the rule of a case was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"grey":   greyCase,
	"tenant": tenantCase,
}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE PROGRAM RECORD")
		return notRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	w, err := newWorld(ctx, args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.end()
	isBroken, err := cases[args[0]](w, os.Getenv("TROUBLE") != "0")
	if err == nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		w.record.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case isBroken:
		return broken
	}
	return held
}
