package elmentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/elmcove/elmcove/internal/config/elmholder"
	"github.com/elmcove/elmcove/internal/config/elmjournal"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/registry/elmstore"
	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

const (
	watchWait     = 20 * time.Second
	pollInterval  = 30 * time.Second
	retryInterval = 500 * time.Millisecond
	// lastRetry is the longest time between two calls to a platform that does
	// not answer.
	lastRetry = 5 * time.Second
	// watchers is the number of entries in a data centre that watch the
	// configuration for the others.
	watchers = 2
)

// followRoster keeps the links as the platform's instance list says.
func (e *Entry) followRoster(ctx context.Context) {
	version := int64(-1)
	retries := newDelays()
	e.fleet.Follow(ctx, e.neighbours())
	for {
		next, err := e.refreshRoster(ctx, version)
		version = next
		if !rest(ctx, retries.next(err, retryInterval)) {
			return
		}
	}
}

// delays spreads the calls of an entry to a platform that does not answer.
type delays struct {
	backoff *backoff.ExponentialBackOff
}

func newDelays() *delays {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryInterval
	b.MaxInterval = lastRetry
	return &delays{backoff: b}
}

// next returns the time until the next call: pause after one that succeeded,
// and a growing time after ones that failed.
func (d *delays) next(err error, pause time.Duration) time.Duration {
	if err != nil {
		return d.backoff.NextBackOff()
	}
	d.backoff.Reset()
	return pause
}

// neighbours returns the agents that the settings name by their addresses. An
// entry that starts while the platform is out of reach serves with them, and
// learns the configuration from them.
func (e *Entry) neighbours() []elmkvapi.Instance {
	agents := make([]elmkvapi.Instance, 0, len(e.settings.Neighbours))
	for _, address := range e.settings.Neighbours {
		agents = append(agents, elmkvapi.Instance{Name: address, Address: address})
	}
	return agents
}

// refreshRoster takes in the platform's next list, and returns its version. A
// list that is not believed is asked for again.
func (e *Entry) refreshRoster(ctx context.Context, version int64) (int64, error) {
	list, err := e.store.WatchInstances(ctx, e.settings.Datacentres, version, watchWait)
	if err != nil || list.Version == version {
		return version, err // The last list stays in use. Links tell which agents are alive.
	}
	e.mutex.Lock()
	roster, suspect := e.roster.Update(list.Instances, time.Now())
	e.roster = roster
	e.mutex.Unlock()
	if suspect {
		e.logger.Event(elmlog.RosterSuspect, "listed", len(list.Instances))
	}
	e.fleet.Follow(ctx, roster.Assigned(e.settings.Instance, e.settings.Datacentre, e.settings.Spread))
	if suspect {
		return version, nil
	}
	return list.Version, nil
}

// followConfig keeps the configuration as the key-value service has it. Most
// entries only poll now and then, since agents tell them of changes.
func (e *Entry) followConfig(ctx context.Context) {
	key := ConfigKey(e.settings.Site)
	down := false
	retries := newDelays()
	for {
		value, err := e.readConfig(ctx, key)
		if err == nil {
			err = e.takeJournal(ctx, value)
		}
		if (err != nil) != down {
			down = err != nil
			e.reportStore(err)
		}
		if !rest(ctx, retries.next(err, e.configPause())) {
			return
		}
	}
}

// configPause returns the time until the configuration is read again.
func (e *Entry) configPause() time.Duration {
	switch {
	case e.holder.Revision() == 0:
		return retryInterval
	case e.watches():
		return 0
	}
	return pollInterval
}

func (e *Entry) readConfig(ctx context.Context, key string) (elmstore.Value, error) {
	revision := e.holder.Revision()
	if revision == 0 || !e.watches() {
		return e.store.Read(ctx, key)
	}
	return e.store.Watch(ctx, key, int64(revision), watchWait)
}

func (e *Entry) watches() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.roster.Watches(e.settings.Instance, e.settings.Datacentre, watchers)
}

func (e *Entry) reportStore(err error) {
	if err != nil {
		e.logger.Event(elmlog.StoreDown, "error", err)
		return
	}
	e.logger.Event(elmlog.StoreBack)
}

// Adopt implements elmfleet.Holder.
func (e *Entry) Adopt(update *elmwire.Update) {
	adopted, err := e.holder.Adopt(update)
	if errors.Is(err, elmholder.ErrGap) {
		return // The neighbour sees the revision that is held, and sends more.
	}
	if err != nil {
		e.logger.Event(elmlog.ConfigRefused, "revision", update.GetRevision(), "error", err)
		return
	}
	if adopted {
		e.logger.Event(elmlog.ConfigAdopted, "revision", update.GetRevision())
		e.fleet.Announce()
	}
}

// takeJournal takes in the changes of a journal, and its full document first
// if the entry is older than they are.
func (e *Entry) takeJournal(ctx context.Context, value elmstore.Value) error {
	if uint64(value.Version) <= e.holder.Revision() {
		return nil
	}
	journal, err := elmjournal.Decode(value.Data)
	if err != nil {
		return err
	}
	if e.holder.Revision() < journal.Oldest() {
		full, err := e.store.Read(ctx, journal.Key)
		if err != nil {
			return err
		}
		e.Adopt(&elmwire.Update{Revision: journal.Revision, Document: full.Data})
	}
	for _, p := range journal.Patches {
		e.Adopt(&elmwire.Update{Revision: p.Revision, Base: p.Revision - 1, Document: p.Body})
	}
	return nil
}

// Revision implements elmfleet.Holder.
func (e *Entry) Revision() uint64 {
	return e.holder.Revision()
}

// Since implements elmfleet.Holder.
func (e *Entry) Since(revision uint64) []*elmwire.Update {
	return e.holder.Since(revision)
}

// ConfigKey returns the key under which a site's configuration is kept.
func ConfigKey(site string) string {
	return "config:" + site
}

// rest waits for a time that is spread by a quarter, and reports whether the
// context goes on.
func rest(ctx context.Context, pause time.Duration) bool {
	spread := time.Duration(float64(pause) * (0.75 + 0.5*rand.Float64()))
	select {
	case <-time.After(spread):
		return true
	case <-ctx.Done():
		return false
	}
}
