package elmfairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// concentrationFactor is how many times the smallest row a workspace asks that would have a row
// everywhere if its callers were spread evenly. Rates of few requests differ by about half.
const concentrationFactor = 2

// view holds the shares of a service as this entry computed them at a time.
type view struct {
	computed bool
	at       time.Duration
	short    bool
	// level is what a workspace of weight 1 that asks more than its share gets, in requests
	// a second of all entries together.
	level float64
	// demand is what each workspace asks of all entries together.
	demand  map[uint32]float64
	weights map[uint32]float64
}

func (v view) isCurrent(now time.Duration) bool { return v.computed && now-v.at < viewInterval }

func (v view) share(key uint32) float64 {
	asked := v.demand[key]
	if granted := v.level * weightOf(v.weights, key); asked > granted {
		return max(granted/asked, math.SmallestNonzeroFloat32)
	}
	return 1
}

// viewOf returns the shares of a service.
func (l *Ledger) viewOf(key uint32, now time.Duration) view {
	s, known := l.services[key]
	if known && s.view.isCurrent(now) {
		return s.view
	}
	heardOf := l.heardDemands(key, now)
	v := view{computed: true, at: now, weights: l.weights, short: known && s.isShort(now)}
	for _, d := range heardOf {
		v.short = v.short || d.Short
	}
	if v.short {
		own, others := l.ownDemand(key, now), merge(heardOf)
		v = v.withDemand(own, others, (own.Admitted+others.Admitted)*(1+headroom))
	}
	if known {
		s.view = v
	}
	return v
}

// withDemand returns the view with the shares in a capacity. Of a workspace without a row
// elsewhere, the others are taken to get what it sends to this entry in proportion, and at
// most the mean of the workspaces without a row.
func (v view) withDemand(own, others Demand, capacity float64) view {
	v.demand = maps.Clone(others.Rows)
	if v.demand == nil {
		v.demand = map[uint32]float64{}
	}
	mean, ratio := 0.0, 0.0
	if others.Count > 0 {
		mean = others.Rest / float64(others.Count)
	}
	if total := own.total(); total > 0 {
		ratio = others.total() / total
	}
	rest, count := own.Rest+others.Rest, others.Count
	for key, asked := range own.Rows {
		if elsewhere, listed := others.Rows[key]; listed {
			v.demand[key] = elsewhere + asked
			continue
		}
		more := min(mean, ratio*asked, rest)
		v.demand[key] = asked + more
		rest, count = rest-more, count-1
	}
	number := float64(max(count, 1))
	if mean > 0 {
		number = max(number, rest/mean) // No entry has seen all of the rest.
	}
	v.level = v.fill(capacity, rest, number)
	return v
}

// fill returns the level at which the shares use up the capacity, or infinity if the demand
// is within it. The workspaces of the rest ask the same.
func (v view) fill(capacity, rest, number float64) float64 {
	type part struct{ asked, weight float64 }
	parts := make([]part, 0, len(v.demand)+1)
	weights := 0.0
	for key, asked := range v.demand {
		parts = append(parts, part{asked, weightOf(v.weights, key)})
	}
	if rest > 0 {
		parts = append(parts, part{rest, number})
	}
	for _, p := range parts {
		weights += p.weight
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(a.asked/a.weight, b.asked/b.weight) })
	for _, p := range parts {
		if p.asked/p.weight > capacity/weights {
			return capacity / weights
		}
		capacity, weights = capacity-p.asked, weights-p.weight
	}
	return math.Inf(1)
}

func weightOf(weights map[uint32]float64, key uint32) float64 {
	if w, ok := weights[key]; ok && w > 0 {
		return w
	}
	return 1
}

func (d Demand) total() float64 {
	total := d.Rest
	for _, asked := range d.Rows {
		total += asked
	}
	return total
}

// merge returns the sum of demands. A workspace that has a row in some of them is taken to ask
// the mean of those without a row in the others, whose number is the largest that any of them
// counts, unless it asks so much where it has a row that it would have one everywhere if its
// callers were spread evenly. The number of all workspaces is the largest that any demand knows.
func merge(demands []Demand) Demand {
	sum := Demand{Rows: map[uint32]float64{}}
	number, all, border := 0, 0, 0.0
	rows := map[uint32]rowSum{}
	for _, d := range demands {
		sum.Rest += d.Rest
		number, all = max(number, d.Count), max(all, d.Count+len(d.Rows))
		sum.Admitted += d.Admitted
		sum.Short = sum.Short || d.Short
		for key, asked := range d.Rows {
			r := rows[key]
			rows[key] = rowSum{r.asked + asked, r.rest + d.Rest, r.demands + 1}
		}
		border += smallest(d.Rows) / float64(len(demands))
	}
	sum.Count = max(all-len(rows), 0)
	unlisted := sum.Rest
	for key, r := range rows {
		sum.Rows[key] = r.asked
		if number == 0 || r.asked/r.demands > concentrationFactor*border {
			continue
		}
		more := min(max(unlisted-r.rest, 0)/float64(number), sum.Rest)
		sum.Rows[key] += more
		sum.Rest -= more
	}
	return sum
}

// rowSum sums the rows of a workspace, the rest in the demands that list it, and their number.
type rowSum struct{ asked, rest, demands float64 }

func smallest(rows map[uint32]float64) float64 {
	if len(rows) == 0 {
		return 0
	}
	least := math.Inf(1)
	for _, asked := range rows {
		least = min(least, asked)
	}
	return least
}
