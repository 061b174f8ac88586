package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const intro = `# Measures

Written by ` + "`make measure`" + `. Step-time skew, the cost of rebalancing and a group that
breaks are measured with the model, see [MODEL.md](MODEL.md).

## Service while a data centre leaves and returns

The Granite Ring example as real processes on loopback: 7 entries, 12 drafting and
3 dispatch endpoints, data centre worcester. %d drafts/s of %d tokens and %d orders/s;
%s calm, %s away, %s back. Each order is sent again, through any entry, until it is
answered. %d runs each, on %d processors, %s. Figures are medians, and in brackets
the least and the greatest of the runs. Times to the first token and between tokens
are at the 95th of 100, while the data centre is away.

| scenario | drafts whole | refused not run | broken or unknown | orders lost | orders run twice | orders without answer | last new work there, s | first token, ms | between tokens, ms | work there again, s | beyond what engines bear |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
`

// result is what one run came to.
type result struct {
	drafts  int
	whole   int
	refused int
	broken  int
	lost    int
	twice   int
	unsure  int
	lastNew time.Duration
	first   time.Duration
	gap     time.Duration
	back    time.Duration
	overrun int
}

// result sums up a load. Times are those of the drafts asked for between left
// and returned.
func (l *load) result(left, returned time.Time, lastNew, back time.Duration) result {
	ctx := context.WithoutCancel(l.ctx)
	r := result{drafts: len(l.drafts), unsure: l.unsure, lastNew: lastNew, back: back}
	var firsts, gaps []time.Duration
	for _, d := range l.drafts {
		switch {
		case d.whole:
			r.whole++
		case d.broken || d.status != 503:
			r.broken++
		default:
			r.refused++
		}
		if d.asked.After(left) && d.asked.Before(returned) && d.whole {
			firsts = append(firsts, d.first)
			gaps = append(gaps, d.gaps...)
		}
	}
	r.first = at95(firsts)
	r.gap = at95(gaps)
	for _, key := range l.keys {
		switch runs := l.site.Executions(ctx, key); {
		case runs == 0:
			r.lost++
		case runs > 1:
			r.twice++
		}
	}
	r.overrun = l.site.EngineCounts(ctx, "").Overrun
	return r
}

func at95(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*95/100]
}

func printRow(s scenario, results []result) {
	spread := func(get func(result) float64, format string) string {
		values := make([]float64, 0, len(results))
		for _, r := range results {
			values = append(values, get(r))
		}
		slices.Sort(values)
		return fmt.Sprintf(format+" ("+format+" to "+format+")", values[len(values)/2], values[0], values[len(values)-1])
	}
	share := func(part func(result) int) string {
		return spread(func(r result) float64 { return 100 * float64(part(r)) / float64(r.drafts) }, "%.2f%%")
	}
	count := func(get func(result) int) string {
		return spread(func(r result) float64 { return float64(get(r)) }, "%.0f")
	}
	fmt.Printf("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", s.name,
		share(func(r result) int { return r.whole }),
		share(func(r result) int { return r.refused }),
		share(func(r result) int { return r.broken }),
		count(func(r result) int { return r.lost }),
		count(func(r result) int { return r.twice }),
		count(func(r result) int { return r.unsure }),
		spread(func(r result) float64 { return r.lastNew.Seconds() }, "%.2f"),
		spread(func(r result) float64 { return float64(r.first.Microseconds()) / 1000 }, "%.1f"),
		spread(func(r result) float64 { return float64(r.gap.Microseconds()) / 1000 }, "%.1f"),
		spread(func(r result) float64 { return r.back.Seconds() }, "%.2f"),
		count(func(r result) int { return r.overrun }))
}
