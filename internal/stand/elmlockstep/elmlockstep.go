// Package elmlockstep simulates a group of ranks in lock-step, its callers and the
// entries between them, in virtual time. Decisions are made by the production code:
// elmplace chooses ranks, elmdemand and elmplan plan expert maps. Only the behaviour
// of the group, the callers and the network is simulated.
//
// A pass waits for the rank whose own part takes longest, and in each set of layers for
// the rank with the most tokens there. A run is deterministic for given Settings and
// seed.
//
// # Usage
//
//	result := elmlockstep.Run(elmlockstep.Calm().WithMapPolicy(elmlockstep.FitDemand), 1)
//	fmt.Println(result.OnTime, result.Skew)
package elmlockstep

import (
	"math/rand/v2"
	"time"

	"github.com/elmcove/elmcove/internal/model/elmrank"
)

// MapPolicy is the policy by which expert maps are planned.
type MapPolicy int

const (
	// KeepFirst keeps the map with which a group starts.
	KeepFirst MapPolicy = iota
	// AlwaysImprove rolls out every map that is better than the active one.
	AlwaysImprove
	// FitDemand rolls out a map under the same conditions as elmplanner for streams
	// without a maximum gap.
	FitDemand
	// FitGap decides as elmplanner for streams with a maximum gap, which is the objective
	// of the callers.
	FitGap
	// Oracle is an upper bound: at each poll the map is fitted to the actual demand,
	// at no cost.
	Oracle
)

// QueuePolicy is the policy by which requests are placed and queued.
type QueuePolicy int

const (
	// ArrivalOrder serves requests in order of arrival, with a queue of half the slots at
	// each rank.
	ArrivalOrder QueuePolicy = iota
	// ObjectiveFirst serves requests that can still meet their objective first, as elmplace
	// does.
	ObjectiveFirst
)

// Span is a part of a run in which the load or the group differs from normal.
type Span struct {
	From, To time.Duration
	// Factor multiplies the rate of requests in a burst, or the time that a slow rank
	// needs.
	Factor float64
}

func (s Span) covers(now time.Duration) bool { return now >= s.From && now < s.To }

// Settings configures a run.
type Settings struct {
	Length time.Duration
	// Rate is the number of requests per second.
	Rate float64
	// ShiftInterval is the time between two demand shifts; 0 means that there are none.
	ShiftInterval time.Duration
	// Burst multiplies the rate by its factor.
	Burst Span
	// Slow makes the work of one rank take longer by its factor.
	Slow Span
	// MigrateStreams makes the entries move streams away from a slow rank.
	MigrateStreams bool
	// Outage is the time in which the group is broken. Its factor has no effect.
	Outage      Span
	MapPolicy   MapPolicy
	QueuePolicy QueuePolicy
}

// Calm returns the settings of a run without faults or bursts: twelve ranks, 56 requests
// per second, and a demand shift every four seconds.
func Calm() Settings {
	return Settings{Length: 30 * time.Second, Rate: 56, ShiftInterval: 4 * time.Second, MapPolicy: FitDemand, QueuePolicy: ObjectiveFirst, MigrateStreams: true}
}

// WithMapPolicy returns settings with another policy for planning maps.
func (s Settings) WithMapPolicy(m MapPolicy) Settings {
	s.MapPolicy = m
	return s
}

// WithQueuePolicy returns settings with another policy for placing requests.
func (s Settings) WithQueuePolicy(q QueuePolicy) Settings {
	s.QueuePolicy = q
	return s
}

// WithBurst returns settings with a burst of requests.
func (s Settings) WithBurst(b Span) Settings {
	s.Burst = b
	return s
}

// WithSlow returns settings with a rank that is temporarily slow, with or without the
// migration of streams away from it.
func (s Settings) WithSlow(slow Span, migrateStreams bool) Settings {
	s.Slow, s.MigrateStreams = slow, migrateStreams
	return s
}

// WithOutage returns settings with a group that is temporarily broken.
func (s Settings) WithOutage(outage Span) Settings {
	s.Outage = outage
	return s
}

// Result summarizes a run: outcomes as shares of all requests, and the skew of passes.
type Result struct {
	// Requests is the number of requests.
	Requests int
	// OnTime is the share of requests that met the objectives for the first event and
	// for the pauses, Late that of the other complete ones.
	OnTime float64
	Late   float64
	// Refused is the share of requests that were refused again when their caller
	// retried, Disconnected that of the rest: the caller timed out, or the group broke
	// after it had retried.
	Refused      float64
	Disconnected float64
	// Skew is the load of the most loaded rank relative to the mean, averaged over
	// passes.
	Skew float64
	// Skew95 is the 95th percentile of the skew of passes.
	Skew95 float64
	// Copied is the number of experts that were copied to ranks.
	Copied int
	// Rollouts is the number of map rollouts.
	Rollouts int
	// OnTimeBySecond holds, for each second, the share of the requests arriving in it that
	// were on time.
	OnTimeBySecond []float64
	// SkewBySecond holds the mean skew of the passes of each second.
	SkewBySecond []float64
}

// simulation is the state of a run.
type simulation struct {
	settings  Settings
	random    *rand.Rand
	now       time.Duration
	demand    demand
	ranks     []rank
	entries   []entry
	planner   planner
	activeMap elmrank.Map
	requests  []*request
	// open holds the requests that have not ended.
	open    []*request
	passEnd time.Duration
	inPass  bool
	broken  bool
	skews   []skew
}

// skew is the load of the most loaded rank relative to the mean in one pass.
type skew struct {
	at    time.Duration
	value float64
}

// tick is the resolution of virtual time.
const tick = time.Millisecond

// Run simulates a run.
func Run(s Settings, seed uint64) Result {
	random := rand.New(rand.NewPCG(seed, 11))
	sm := &simulation{settings: s, random: random, activeMap: elmrank.InitialMap(sets, experts, ranks)}
	sm.demand = newDemand(random)
	sm.ranks = make([]rank, ranks)
	for i := range sm.ranks {
		sm.ranks[i].counts = make([]float64, sets*experts)
	}
	sm.entries = newEntries(seed)
	sm.planner = newPlanner()
	for ; sm.now < s.Length+settleTime; sm.now += tick {
		sm.step()
	}
	return sm.result()
}

// step advances the simulation by one tick.
func (sm *simulation) step() {
	if sm.settings.ShiftInterval > 0 && sm.now > 0 && sm.now%sm.settings.ShiftInterval == 0 {
		sm.demand.shift(sm.random)
	}
	sm.outage()
	sm.advanceRequests()
	sm.planMap()
	if sm.inPass && sm.now >= sm.passEnd {
		sm.endPass()
	}
	if !sm.inPass && !sm.broken {
		sm.beginPass()
	}
}

// outage starts and ends the outage of the group, which restarts with its first map, and
// exchanges reports between entries at their interval.
func (sm *simulation) outage() {
	down := sm.settings.Outage.covers(sm.now)
	switch {
	case down && !sm.broken:
		sm.broken, sm.inPass = true, false
		for i := range sm.ranks {
			for _, q := range append(sm.ranks[i].running, sm.ranks[i].queue...) {
				sm.abort(q)
			}
			sm.ranks[i].running, sm.ranks[i].queue = nil, nil
		}
	case !down && sm.broken:
		sm.broken = false
		sm.activeMap = elmrank.InitialMap(sets, experts, ranks)
		sm.planner.reset()
	}
	if sm.now%exchangeInterval == 0 {
		sm.exchange()
	}
}
