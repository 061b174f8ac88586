// Package elmlockstep models a group of ranks in lock-step, its callers and the
// entries between them, in virtual time. It decides with the product's own code:
// elmplace chooses ranks, elmdemand and elmplan plan expert maps. Only what the
// group, the callers and the network do is modelled.
//
// A pass lasts as long as the slowest rank's own part, and in each set of layers as
// long as the rank with the most tokens there. A run is decided by its Settings and
// its seed alone.
//
// # Usage
//
//	result := elmlockstep.Run(elmlockstep.Calm().WithMaps(elmlockstep.Fitted), 1)
//	fmt.Println(result.OnTime, result.Skew)
package elmlockstep

import (
	"math/rand/v2"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmrank"
)

// Maps is a way to plan expert maps.
type Maps int

const (
	// First keeps the map with which a group opens.
	First Maps = iota
	// Always changes the map at each look.
	Always
	// Fitted changes it as elmplanner does.
	Fitted
	// Known is a bound: at each look the map fits the demand of that moment, at
	// no cost.
	Known
)

// Order is a way to place requests.
type Order int

const (
	// Arrival serves requests in the order in which they come, with a queue of
	// half the slots at each rank.
	Arrival Order = iota
	// Timely serves those first that can be on time, as elmplace does.
	Timely
)

// Span is a part of a run in which something is different.
type Span struct {
	From, To time.Duration
	// Factor is by how much.
	Factor float64
}

func (s Span) covers(now time.Duration) bool { return now >= s.From && now < s.To }

// Settings describe a run.
type Settings struct {
	Length time.Duration
	// Rate is the number of requests in a second.
	Rate float64
	// Shift is the time between two shifts of demand, or 0.
	Shift time.Duration
	// Burst multiplies the rate.
	Burst Span
	// Slow makes one rank take Factor times as long.
	Slow Span
	// Moves makes streams leave a slow rank.
	Moves bool
	// Away breaks the group.
	Away  Span
	Maps  Maps
	Order Order
}

// Calm returns the settings of a site of twelve ranks without trouble: 56 requests
// in a second, whose demand for experts shifts every four seconds.
func Calm() Settings {
	return Settings{Length: 30 * time.Second, Rate: 56, Shift: 4 * time.Second, Maps: Fitted, Order: Timely, Moves: true}
}

// WithMaps returns settings with another way to plan maps.
func (s Settings) WithMaps(m Maps) Settings {
	s.Maps = m
	return s
}

// WithOrder returns settings with another way to place requests.
func (s Settings) WithOrder(o Order) Settings {
	s.Order = o
	return s
}

// WithBurst returns settings with more requests for a while.
func (s Settings) WithBurst(b Span) Settings {
	s.Burst = b
	return s
}

// WithSlow returns settings with a rank that is slow for a while, which streams
// leave or not.
func (s Settings) WithSlow(slow Span, moves bool) Settings {
	s.Slow, s.Moves = slow, moves
	return s
}

// WithAway returns settings with a group that is broken for a while.
func (s Settings) WithAway(a Span) Settings {
	s.Away = a
	return s
}

// Result is what callers got, as shares of all requests, and what passes were like.
type Result struct {
	Asked int
	// OnTime had the first event and all pauses within their objectives.
	OnTime float64
	Late   float64
	// Refused came back once and were refused again; Left gave up.
	Refused float64
	Left    float64
	// Skew is the mean load of the most loaded rank relative to the mean.
	Skew float64
	// SkewHigh is the skew that 5 in 100 passes exceed.
	SkewHigh float64
	// Copied is the number of experts that ranks were given.
	Copied int
	// Changes is the number of maps.
	Changes int
	// Seconds has the share on time of the requests that came in each second.
	Seconds []float64
	// Skews has the mean skew of the passes of each second.
	Skews []float64
}

// world is the state of a run.
type world struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	demand   demand
	ranks    []rank
	entries  []entry
	planner  planner
	active   elmrank.Map
	callers  []*request
	// live are the callers who still want something.
	live    []*request
	passEnd time.Duration
	inPass  bool
	broken  bool
	skews   []skew
}

type skew struct {
	at    time.Duration
	value float64
}

// tick is the resolution of virtual time.
const tick = time.Millisecond

// Run plays a run.
func Run(s Settings, seed uint64) Result {
	random := rand.New(rand.NewPCG(seed, 11))
	w := &world{settings: s, random: random, active: elmrank.First(sets, experts, ranks)}
	w.demand = newDemand(random)
	w.ranks = make([]rank, ranks)
	for i := range w.ranks {
		w.ranks[i].counts = make([]float64, sets*experts)
	}
	w.entries = newEntries(seed)
	w.planner = newPlanner()
	for ; w.now < s.Length+drainTime; w.now += tick {
		w.turn()
	}
	return w.result()
}

// turn plays one tick.
func (w *world) turn() {
	if w.settings.Shift > 0 && w.now > 0 && w.now%w.settings.Shift == 0 {
		w.demand.shift(w.random)
	}
	w.outage()
	w.arrive()
	w.plan()
	if w.inPass && w.now >= w.passEnd {
		w.endPass()
	}
	if !w.inPass && !w.broken {
		w.beginPass()
	}
}

// outage breaks the group and lets it open again, with its first map.
func (w *world) outage() {
	away := w.settings.Away.covers(w.now)
	switch {
	case away && !w.broken:
		w.broken, w.inPass = true, false
		for i := range w.ranks {
			for _, q := range append(w.ranks[i].running, w.ranks[i].queue...) {
				w.lose(q)
			}
			w.ranks[i].running, w.ranks[i].queue = nil, nil
		}
	case !away && w.broken:
		w.broken = false
		w.active = elmrank.First(sets, experts, ranks)
		w.planner.reset()
	}
	if w.now%exchangeEvery == 0 {
		w.exchange()
	}
}
