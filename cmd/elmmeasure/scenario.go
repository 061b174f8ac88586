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
	away     = "worcester"
	calmTime = 3 * time.Second
	awayTime = 4 * time.Second
)

// scenario is a way in which a data centre leaves and returns.
type scenario struct {
	name     string
	leave    func(ctx context.Context, site *elmlocal.Site) error
	comeBack func(ctx context.Context, site *elmlocal.Site) error
	// balanced tells whether the platform's balancer sends no callers to the
	// entries of the data centre while it is away.
	balanced bool
}

var scenarios = []scenario{
	{name: "taken out by an operator", leave: takeOut, comeBack: takeBack},
	{name: "lost at once: entries and agents killed", leave: kill, comeBack: restart, balanced: true},
	{name: "platform out of reach for all", leave: outage, comeBack: recovery},
}

func takeOut(ctx context.Context, site *elmlocal.Site) error {
	_, err := site.Command(ctx, "out", "-platform", site.Platform, away)
	return err
}

func takeBack(ctx context.Context, site *elmlocal.Site) error {
	_, err := site.Command(ctx, "back", "-platform", site.Platform, away)
	return err
}

func kill(_ context.Context, site *elmlocal.Site) error {
	for _, name := range site.Members(away) {
		if err := site.Signal(name, syscall.SIGKILL); err != nil {
			return err
		}
	}
	return nil
}

func restart(_ context.Context, site *elmlocal.Site) error {
	for _, name := range site.Members(away) {
		if err := site.Restart(name); err != nil {
			return err
		}
	}
	return nil
}

func outage(ctx context.Context, site *elmlocal.Site) error { return site.SetFault(ctx, "down") }

func recovery(ctx context.Context, site *elmlocal.Site) error { return site.SetFault(ctx, "none") }

// play runs a scenario once.
func play(ctx context.Context, bin string, s scenario, seed uint64) (result, error) {
	folder, err := os.MkdirTemp("", "elmmeasure-")
	if err != nil {
		return result{}, err
	}
	site, err := start(ctx, bin, folder)
	if err != nil {
		return result{}, err
	}
	defer site.Stop()
	l := newLoad(ctx, site, seed)
	l.warmUp()
	l.begin()
	pause(ctx, calmTime)
	if s.balanced {
		l.avoid(away)
	}
	left := time.Now()
	if err = s.leave(ctx, site); err != nil {
		return result{}, err
	}
	watch := l.watchNewWork(left)
	pause(ctx, awayTime)
	lastNew := watch()
	returned := time.Now()
	if err = s.comeBack(ctx, site); err != nil {
		return result{}, err
	}
	l.avoid("")
	back := l.waitForWork(ctx)
	pause(ctx, time.Until(returned.Add(calmTime)))
	l.end()
	r := l.result(left, returned, lastNew, back.Sub(returned))
	if r.overrun > 0 || r.lost > 0 || r.twice > 0 {
		fmt.Fprintf(os.Stderr, "%s, run %d: a promise was broken, logs are kept in %s\n", s.name, seed, folder)
		return r, nil
	}
	_ = os.RemoveAll(folder) // A leftover folder does no harm.
	return r, nil
}

func isAway(name string, site *elmlocal.Site) bool {
	return strings.Contains(" "+strings.Join(site.Members(away), " ")+" ", " "+name+" ")
}
