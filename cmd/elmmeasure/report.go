package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const pageHeader = `# Measures

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

// result holds the figures of one run. Drafts are counted by outcome: completed, refused
// or broken. Orders are counted if they were lost, ran twice or got no answer.
type result struct {
	drafts     int
	completed  int
	refused    int
	broken     int
	lost       int
	ranTwice   int
	unanswered int
	// lastStart is the time from when the data centre leaves until its engines last
	// start a request.
	lastStart time.Duration
	// firstToken and tokenGap are 95th percentiles.
	firstToken time.Duration
	tokenGap   time.Duration
	// resumedAfter is the time from the return of the data centre until it starts
	// requests again in seconds, or infinity if it did not within calmTime.
	resumedAfter float64
	// overrun counts the requests that engines received beyond their capacity.
	overrun int
}

// result summarizes a run. Times to tokens are those of the drafts sent between leftAt
// and returnedAt.
func (l *loadGenerator) result(leftAt, returnedAt time.Time, lastStart time.Duration, resumedAfter float64) result {
	ctx := context.WithoutCancel(l.ctx)
	r := result{drafts: len(l.drafts), unanswered: l.unanswered, lastStart: lastStart, resumedAfter: resumedAfter}
	var firsts, gaps []time.Duration
	for _, d := range l.drafts {
		switch {
		case d.completed:
			r.completed++
		case d.broken || d.status != 503:
			r.broken++
		default:
			r.refused++
		}
		if d.sentAt.After(leftAt) && d.sentAt.Before(returnedAt) && d.completed {
			firsts = append(firsts, d.firstToken)
			gaps = append(gaps, d.gaps...)
		}
	}
	r.firstToken = percentile95(firsts)
	r.tokenGap = percentile95(gaps)
	for _, key := range l.orderKeys {
		switch runs := l.site.Executions(ctx, key); {
		case runs == 0:
			r.lost++
		case runs > 1:
			r.ranTwice++
		}
	}
	r.overrun = l.site.EngineCounts(ctx, "").Overrun
	return r
}

func percentile95(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*95/100]
}

// printRow prints the table row of a scenario: medians, and the range of the runs.
func printRow(s scenario, results []result) {
	summary := func(get func(result) float64, format string) string {
		values := make([]float64, 0, len(results))
		for _, r := range results {
			values = append(values, get(r))
		}
		slices.Sort(values)
		return fmt.Sprintf(format+" ("+format+" to "+format+")", values[len(values)/2], values[0], values[len(values)-1])
	}
	share := func(part func(result) int) string {
		return summary(func(r result) float64 { return 100 * float64(part(r)) / float64(r.drafts) }, "%.2f%%")
	}
	count := func(get func(result) int) string {
		return summary(func(r result) float64 { return float64(get(r)) }, "%.0f")
	}
	fmt.Printf("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", s.name,
		share(func(r result) int { return r.completed }),
		share(func(r result) int { return r.refused }),
		share(func(r result) int { return r.broken }),
		count(func(r result) int { return r.lost }),
		count(func(r result) int { return r.ranTwice }),
		count(func(r result) int { return r.unanswered }),
		summary(func(r result) float64 { return r.lastStart.Seconds() }, "%.2f"),
		summary(func(r result) float64 { return float64(r.firstToken.Microseconds()) / 1000 }, "%.1f"),
		summary(func(r result) float64 { return float64(r.tokenGap.Microseconds()) / 1000 }, "%.1f"),
		summary(func(r result) float64 { return r.resumedAfter }, "%.2f"),
		count(func(r result) int { return r.overrun }))
}
