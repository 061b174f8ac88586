package elmrouter

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmslow"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform"
)

const (
	// entriesKey precedes the names of entries in the store.
	entriesKey = "entries/"
	// entryLease is how long an entry counts after it was last heard of.
	entryLease = 10 * time.Second
	// keepEvery is the time between two renewals.
	keepEvery = 3 * time.Second
	// farEvery is the number of messages to the own data centre for each that
	// also goes to the others, since bytes between data centres are paid.
	farEvery = 4
	// sharedReaders is the number of entries in a data centre from which one
	// reads the store for all, since each call to it is paid.
	sharedReaders = 5
	// registerPause is the pause after a registration that failed.
	registerPause = time.Second
)

// register keeps this entry's address in the store, so that others find it.
func (r *Router) register(ctx context.Context) {
	lease := int64(0)
	for ctx.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = r.enter(ctx)
		} else if err = r.store.Keep(ctx, lease); errors.Is(err, platform.ErrLease) {
			lease = 0
			continue
		}
		rest := keepEvery
		if err != nil {
			r.logger.Event(elmlog.StoreDown, "call", "register", "error", err)
			rest = registerPause
		}
		elmclock.Wait(ctx, rest)
	}
}

func (r *Router) enter(ctx context.Context) (int64, error) {
	lease, err := r.store.Lease(ctx, max(entryLease, r.settings.Lease))
	if err != nil {
		return 0, err
	}
	key := platform.OwnPrefix + entriesKey + r.settings.Instance
	if _, err := r.store.Write(ctx, nil, []platform.Put{{Key: key, Value: []byte(r.internal() + " " + r.settings.Datacentre), Lease: lease}}); err != nil {
		return 0, err
	}
	return lease, nil
}

// receive takes what the other entries tell.
func (r *Router) receive(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.peers.Run(ctx, r.heard)
		if err != nil {
			r.logger.Event(elmlog.LinkDown, "error", err)
			elmclock.Wait(ctx, registerPause)
		}
	}
}

func (r *Router) heard(l *elmpeer.Loads) {
	loads := map[uint32]int{}
	for _, e := range l.GetLoads() {
		loads[e.GetEndpoint()] = int(e.GetOpen())
	}
	now := elmclock.Now()
	r.mutex.Lock()
	r.placer.SetPeer(l.GetEntry(), loads, now)
	r.mutex.Unlock()
}

// tell tells the other entries how much work this one has where.
func (r *Router) tell(ctx context.Context) {
	quiet := false
	for turn := 0; ctx.Err() == nil; turn++ {
		elmclock.Wait(ctx, tellEvery)
		near, far := r.others()
		r.peers.SetOthers(addressesOf(near), addressesOf(far))
		message := &elmpeer.Loads{Entry: r.settings.Instance}
		slow, now := r.slow(), elmclock.Now()
		r.mutex.Lock()
		r.placer.SetEntries(len(near)+len(far)+1, now)
		r.placer.SetSlow(slow)
		for id, open := range r.placer.Loads() {
			message.Loads = append(message.Loads, &elmpeer.Load{Endpoint: id, Open: uint32(open)})
		}
		r.mutex.Unlock()
		if len(message.Loads) == 0 && quiet {
			continue
		}
		quiet = len(message.Loads) == 0
		if err := r.peers.Tell(message, quiet || turn%farEvery == 0); err != nil {
			r.meter.Count("elmcove_tell_failures_total", "entry", r.settings.Instance)
		}
	}
}

// entry is another entry process as the store lists it.
type entry struct{ name, address string }

// others returns the other entries, in the order of their names: those of the
// own data centre, and those of others.
func (r *Router) others() (near, far []entry) {
	listed := r.follower.Belief().Own(entriesKey)
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		address, datacentre, _ := strings.Cut(listed[name], " ")
		switch {
		case name == r.settings.Instance:
		case datacentre == r.settings.Datacentre:
			near = append(near, entry{name, address})
		default:
			far = append(far, entry{name, address})
		}
	}
	return near, far
}

func addressesOf(list []entry) []string {
	var addresses []string
	for _, e := range list {
		addresses = append(addresses, e.address)
	}
	return addresses
}

// reader returns the address of the entry that reads the store for this one, or
// "" if this one has to: in each data centre the first by name reads for all,
// where there are enough of them.
func (r *Router) reader() string {
	near, _ := r.others()
	if len(near)+1 < sharedReaders || near[0].name > r.settings.Instance {
		return ""
	}
	return near[0].address
}

// slow returns the slow ranks of all groups.
func (r *Router) slow() elmslow.List {
	all := elmslow.List{}
	for _, text := range r.follower.Belief().Own(elmslow.Key) {
		maps.Copy(all, elmslow.Parse(text))
	}
	return all
}

// reportTimeout bounds the question to a rank whether its group is open.
const reportTimeout = 500 * time.Millisecond

// pollEvery is the time between two such questions.
const pollEvery = 150 * time.Millisecond

// progress takes the news that an endpoint has made an event.
func (r *Router) progress(service, endpoint string, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.placer.Progress(service, endpoint, now)
}

// blame takes the news that an endpoint rejected a request because its group is
// broken.
func (r *Router) blame(service, endpoint, blamed string) {
	r.mutex.Lock()
	whole := r.placer.Blame(service, endpoint, elmclock.Now())
	r.mutex.Unlock()
	if whole {
		r.setBroken(service, true, "rejected by "+endpoint+" for "+blamed)
		return
	}
	r.logger.Event(elmlog.EndpointBroken, "service", service, "endpoint", endpoint, "blamed", blamed)
}

// setBroken takes the news that a group is broken or open. While it is broken,
// one rank in turn is asked for its state.
func (r *Router) setBroken(service string, broken bool, cause string) {
	now := elmclock.Now()
	r.mutex.Lock()
	news := r.placer.SetBroken(service, broken, now)
	poll := broken && !r.polling[service]
	if poll {
		r.polling[service] = true
	}
	r.mutex.Unlock()
	if news {
		event := elmlog.GroupOpen
		if broken {
			event = elmlog.GroupBroken
		}
		r.logger.Event(event, "service", service, "cause", cause)
	}
	if poll {
		go r.pollGroup(service)
	}
}

// pollGroup asks ranks until one says that the group is open.
func (r *Router) pollGroup(service string) {
	defer func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.polling, service)
	}()
	for turn := 0; !r.draining.Load(); turn++ {
		elmclock.Wait(context.Background(), pollEvery)
		members := r.follower.Belief().Members(service, elmclock.Now())
		if len(members) == 0 {
			continue
		}
		report, err := r.ranks.Report(context.Background(), members[turn%len(members)].Address)
		if err == nil && report.Open {
			r.setBroken(service, false, "reported by "+members[turn%len(members)].ID)
			return
		}
		r.setBroken(service, true, "still broken")
	}
}
