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
	// maxRetryInterval is the maximum interval between calls to an unreachable
	// platform.
	maxRetryInterval = 5 * time.Second
	// watchers is the number of entries per data centre that watch the
	// configuration. The other entries receive changes from the agents.
	watchers = 2
)

// followRoster keeps links to the agents in the platform's instance list.
func (e *Entry) followRoster(ctx context.Context) {
	version := int64(-1)
	retries := newRetryDelays()
	e.fleet.SetAgents(ctx, e.neighbours())
	for {
		next, err := e.refreshRoster(ctx, version)
		version = next
		if !sleep(ctx, retries.next(err, retryInterval)) {
			return
		}
	}
}

// retryDelays computes the pauses between calls to the platform, with
// exponential backoff after failures.
type retryDelays struct {
	backoff *backoff.ExponentialBackOff
}

func newRetryDelays() *retryDelays {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryInterval
	b.MaxInterval = maxRetryInterval
	return &retryDelays{backoff: b}
}

// next returns the time until the next call: pause if err is nil, and otherwise
// the next backoff interval.
func (d *retryDelays) next(err error, pause time.Duration) time.Duration {
	if err != nil {
		return d.backoff.NextBackOff()
	}
	d.backoff.Reset()
	return pause
}

// neighbours returns the agents whose addresses are in the settings. An entry
// that starts while the platform is unreachable uses them to serve requests and
// receives the configuration from them.
func (e *Entry) neighbours() []elmkvapi.Instance {
	agents := make([]elmkvapi.Instance, 0, len(e.settings.Neighbours))
	for _, address := range e.settings.Neighbours {
		agents = append(agents, elmkvapi.Instance{Name: address, Address: address})
	}
	return agents
}

// refreshRoster applies the platform's next instance list and returns its
// version. If the list is suspect, it returns the previous version, so that the
// list is fetched again.
func (e *Entry) refreshRoster(ctx context.Context, version int64) (int64, error) {
	list, err := e.store.WatchInstances(ctx, e.settings.Datacentres, version, watchWait)
	if err != nil || list.Version == version {
		return version, err // The previous list stays in use. Links show which agents are alive.
	}
	e.mutex.Lock()
	roster, suspect := e.roster.Update(list.Instances, time.Now())
	e.roster = roster
	e.mutex.Unlock()
	if suspect {
		e.logger.Event(elmlog.InstanceListSuspect, "listed", len(list.Instances))
	}
	e.fleet.SetAgents(ctx, roster.Assigned(e.settings.Instance, e.settings.Datacentre, e.settings.Spread))
	if suspect {
		return version, nil
	}
	return list.Version, nil
}

// followConfig keeps the configuration synchronized with the key-value service.
// Most entries only poll at pollInterval, since agents send them changes.
func (e *Entry) followConfig(ctx context.Context) {
	key := ConfigKey(e.settings.Site)
	down := false
	retries := newRetryDelays()
	for {
		value, err := e.readConfig(ctx, key)
		if err == nil {
			err = e.applyJournal(ctx, value)
		}
		if (err != nil) != down {
			down = err != nil
			e.reportStore(err)
		}
		if !sleep(ctx, retries.next(err, e.configPause())) {
			return
		}
	}
}

// configPause returns the time until the next read of the configuration.
func (e *Entry) configPause() time.Duration {
	switch {
	case e.holder.Revision() == 0:
		return retryInterval
	case e.watchesConfig():
		return 0
	}
	return pollInterval
}

func (e *Entry) readConfig(ctx context.Context, key string) (elmstore.Value, error) {
	revision := e.holder.Revision()
	if revision == 0 || !e.watchesConfig() {
		return e.store.Read(ctx, key)
	}
	return e.store.Watch(ctx, key, int64(revision), watchWait)
}

func (e *Entry) watchesConfig() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.roster.IsWatcher(e.settings.Instance, e.settings.Datacentre, watchers)
}

func (e *Entry) reportStore(err error) {
	if err != nil {
		e.logger.Event(elmlog.StoreDown, "error", err)
		return
	}
	e.logger.Event(elmlog.StoreRecovered)
}

// Adopt implements elmfleet.ConfigHolder.
func (e *Entry) Adopt(update *elmwire.Update) {
	adopted, err := e.holder.Adopt(update)
	if errors.Is(err, elmholder.ErrGap) {
		return // The neighbour learns the entry's revision and sends the missing updates.
	}
	if err != nil {
		e.logger.Event(elmlog.ConfigRefused, "revision", update.GetRevision(), "error", err)
		return
	}
	if adopted {
		e.logger.Event(elmlog.ConfigAdopted, "revision", update.GetRevision())
		e.fleet.AnnounceConfig()
	}
}

// applyJournal applies the patches of a journal. If the entry's revision is
// older than the one that the first patch is based on, it applies the full
// document first.
func (e *Entry) applyJournal(ctx context.Context, value elmstore.Value) error {
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

// Revision implements elmfleet.ConfigHolder.
func (e *Entry) Revision() uint64 {
	return e.holder.Revision()
}

// Since implements elmfleet.ConfigHolder.
func (e *Entry) Since(revision uint64) []*elmwire.Update {
	return e.holder.Since(revision)
}

// ConfigKey returns the key of a site's configuration in the key-value service.
func ConfigKey(site string) string {
	return "config:" + site
}

// sleep waits for the pause with a jitter of up to 25 % either way. It reports
// false if the context ends first.
func sleep(ctx context.Context, pause time.Duration) bool {
	spread := time.Duration(float64(pause) * (0.75 + 0.5*rand.Float64()))
	select {
	case <-time.After(spread):
		return true
	case <-ctx.Done():
		return false
	}
}
