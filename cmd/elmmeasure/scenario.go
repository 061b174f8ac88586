package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmlocal"
)

const (
	// awayDatacentre is the data centre that goes out of service, and whose engines are
	// watched in every scenario.
	awayDatacentre = "worcester"
	// calmTime is the length of normal service before the data centre leaves and after
	// it returns.
	calmTime = 3 * time.Second
	awayTime = 4 * time.Second
)

// scenario describes how a data centre goes out of service and returns.
type scenario struct {
	name    string
	leave   func(ctx context.Context, site *elmlocal.Site) error
	restore func(ctx context.Context, site *elmlocal.Site) error
	// balancerAvoids is whether the platform's balancer stops sending callers to the
	// entries of the data centre while it is out of service.
	balancerAvoids bool
}

var scenarios = []scenario{
	{name: "taken out by an operator", leave: takeOut, restore: bringBack},
	{name: "lost at once: entries and agents killed", leave: kill, restore: restart, balancerAvoids: true},
	{name: "platform out of reach for all", leave: outage, restore: recovery},
}

func takeOut(ctx context.Context, site *elmlocal.Site) error {
	_, err := site.Command(ctx, "out", "-platform", site.Platform, awayDatacentre)
	return err
}

func bringBack(ctx context.Context, site *elmlocal.Site) error {
	_, err := site.Command(ctx, "back", "-platform", site.Platform, awayDatacentre)
	return err
}

func kill(_ context.Context, site *elmlocal.Site) error {
	for _, name := range site.InstanceNames(awayDatacentre) {
		if err := site.Signal(name, syscall.SIGKILL); err != nil {
			return err
		}
	}
	return nil
}

func restart(_ context.Context, site *elmlocal.Site) error {
	for _, name := range site.InstanceNames(awayDatacentre) {
		if err := site.Restart(name); err != nil {
			return err
		}
	}
	return nil
}

func outage(ctx context.Context, site *elmlocal.Site) error { return site.SetFault(ctx, "down") }

func recovery(ctx context.Context, site *elmlocal.Site) error { return site.SetFault(ctx, "none") }

// runScenario runs a scenario once on a new site. It keeps the logs of a run that
// violates a guarantee.
func runScenario(ctx context.Context, bin string, s scenario, seed uint64) (result, error) {
	folder, err := os.MkdirTemp("", "elmmeasure-")
	if err != nil {
		return result{}, err
	}
	site, err := startSite(ctx, bin, folder)
	if err != nil {
		return result{}, err
	}
	defer site.Stop()
	l := newLoadGenerator(ctx, site, seed)
	l.warmUp()
	l.begin()
	sleep(ctx, calmTime)
	if s.balancerAvoids {
		l.avoid(awayDatacentre)
	}
	leftAt := time.Now()
	if err = s.leave(ctx, site); err != nil {
		return result{}, err
	}
	stopWatch := l.watchStarts(leftAt)
	sleep(ctx, awayTime)
	lastStart := stopWatch()
	returnedAt := time.Now()
	if err = s.restore(ctx, site); err != nil {
		return result{}, err
	}
	l.avoid("")
	resumedAfter := l.waitForStart(ctx, returnedAt)
	sleep(ctx, time.Until(returnedAt.Add(calmTime)))
	l.end()
	r := l.result(leftAt, returnedAt, lastStart, resumedAfter)
	if r.overrun > 0 || r.lost > 0 || r.ranTwice > 0 {
		fmt.Fprintf(os.Stderr, "%s, run %d: a guarantee was violated, logs are kept in %s\n", s.name, seed, folder)
		return r, nil
	}
	_ = os.RemoveAll(folder) // A folder that cannot be removed does not affect the result.
	return r, nil
}

// isAway reports whether a process belongs to the data centre that is out of service.
func isAway(name string, site *elmlocal.Site) bool {
	return strings.Contains(" "+strings.Join(site.InstanceNames(awayDatacentre), " ")+" ", " "+name+" ")
}
