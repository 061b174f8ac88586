// Command stand3 plays the cases of the third review that are scripts: a store, replicas and
// callers stand around processes of elmcove on loopback addresses.
//
//	stand3 CASE FOLDER
//
// It writes FOLDER/record.txt, and ends with 1 if the case's rule was broken, 0 if it held and 2
// if the case couldn't run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime is the longest time that a case may take.
const maxTime = 110 * time.Second

// play is a case: it returns errBroken if a rule was broken, and another error if it couldn't run.
type play func(ctx context.Context, r *record, trouble bool) error

func main() { os.Exit(run()) }

func run() int {
	// The case "planners" depends on when two planners send their orders, so that it is played
	// up to three times, each time with new processes.
	plays := map[string]play{"foreign": playForeign, "cold": playCold, "planners": repeat(3, playPlanners)}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		return 2
	}
	err := runCase(plays[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return 1
	default:
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
}

func runCase(p play, folder string, trouble bool) (err error) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			r.line("end: %v", err)
		} else {
			r.line("end: the rule held")
		}
		err = errors.Join(err, r.close())
	}()
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	r.line("trouble: %t", trouble)
	return p(ctx, r, trouble)
}

// repeat returns a case that plays another one several times, until a rule is broken.
func repeat(times int, p play) play {
	return func(ctx context.Context, r *record, trouble bool) error {
		for n := range times {
			r.line("round %d", n+1)
			if err := p(ctx, r, trouble); err != nil {
				return err
			}
		}
		return nil
	}
}

// withSite runs a function on a new site and ends it afterwards.
func withSite(r *record, f func(s *site) error) error {
	s, err := newSite(r)
	if err != nil {
		return err
	}
	defer s.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(ended)
	go func() {
		<-ended
		s.close()
		os.Exit(2)
	}()
	return f(s)
}
