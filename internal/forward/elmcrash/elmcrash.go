// Package elmcrash finds the prompt segments under which endpoints crash. Requests that
// share such a segment crash one endpoint after the other.
//
// A segment is suspect if it was in flight at several endpoints when they crashed. What
// speaks for it is that it was cleared: an endpoint wrote a response on it and lived
// on. Popular segments are in flight at many crashes, and are cleared more often.
//
// Times are Unix milliseconds, since entries compare them. The package does no input
// or output.
//
// # Usage
//
//	detector := elmcrash.New(now)
//	detector.Clear(segments, now)
//	guilty, suspects := detector.Judge(crashes, clearedElsewhere, now)
package elmcrash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Window is how long crashes and clearances count.
	Window = 2 * time.Minute
	// burstLength is the time in which crashes may have one cause, such as the loss of
	// a rack. They count as one burst.
	burstLength = int64(time.Second / time.Millisecond)
	// objectionTime is the time in which other entries that cleared a segment share
	// that after a crash.
	objectionTime = int64(time.Second / time.Millisecond)
	// minHistory is how long a detector collects clearances before it blames segments.
	// Until then it only follows what other entries have found.
	minHistory = 2 * int64(time.Second/time.Millisecond)
	// suspectMargin is the number of further crashes that would make a suspect guilty.
	suspectMargin = 2
	// minSuspectCrashes is the number of crashes that make a segment suspect.
	minSuspectCrashes = 2
	// maxClearances is the number of latest clearances that are kept of a segment.
	maxClearances = 16
	// maxSegments bounds the segments in each generation of the history.
	maxSegments = 8192
)

// Crash is the crash of one incarnation of an endpoint, with the segments that were in
// flight there.
type Crash struct {
	Endpoint string
	At       int64
	Segments []string
}

// Detector keeps the clearances that this entry has seen, and judges segments. It is
// not safe for concurrent use.
type Detector struct {
	// recent and older are two generations of the history, by segment, so that its
	// size is bounded.
	recent, older map[string][]int64
	startedAt     int64
}

// New returns a Detector without a history.
func New(now int64) *Detector { return &Detector{recent: map[string][]int64{}, startedAt: now} }

// Clear records that an endpoint wrote a response on the segments and lived on.
func (d *Detector) Clear(segments []string, now int64) {
	for _, s := range segments {
		times := append(slices.Clone(d.Clearances(s)), now)
		if len(d.recent) >= maxSegments {
			d.recent, d.older = map[string][]int64{}, d.recent
		}
		d.recent[s] = times[max(0, len(times)-maxClearances):]
	}
}

// ClearKnown is like Clear for segments that were cleared before. It is for responses
// that were lost so soon that a segment that crashes endpoints may not have done so yet.
func (d *Detector) ClearKnown(segments []string, now int64) {
	for _, s := range segments {
		if len(d.Clearances(s)) > 0 {
			d.Clear([]string{s}, now)
		}
	}
}

// Restore adds clearances that this entry shared before it was restarted.
func (d *Detector) Restore(segment string, shared []int64) {
	known := d.Clearances(segment)
	isNew := func(t int64) bool { return !slices.Contains(known, t) }
	if !slices.ContainsFunc(shared, isNew) || len(known) == maxClearances {
		return
	}
	times := slices.Compact(slices.Sorted(slices.Values(slices.Concat(known, shared))))
	d.recent[segment] = times[max(0, len(times)-maxClearances):]
}

// Clearances returns when a segment was last cleared.
func (d *Detector) Clearances(segment string) []int64 {
	if times, ok := d.recent[segment]; ok {
		return times
	}
	return d.older[segment]
}

// evidence is what speaks against and for a segment.
type evidence struct {
	segment string
	// crashes are the times of the crashes in order, and bursts the number of times
	// at which they happened together.
	crashes []int64
	bursts  int
	// clearedBefore and clearedSince count the clearances before and after the first
	// crash.
	clearedBefore, clearedSince int
	// allCrashes is the number of crashes from the first to the last one, whatever was
	// in flight, and burstCrashes that of the crashes in the same bursts.
	allCrashes, burstCrashes int
}

// Judge returns the segments under which endpoints crash, and those that are suspect
// unless this entry has cleared them. Elsewhere holds the clearances that other entries
// have seen of suspects.
func (d *Detector) Judge(crashes []Crash, elsewhere map[string][]int64, now int64) (guilty, suspects []string) {
	crashes = mergeIncarnations(crashes, now-Window.Milliseconds())
	bySegment := map[string][]Crash{}
	for _, c := range crashes {
		for _, s := range c.Segments {
			bySegment[s] = append(bySegment[s], c)
		}
	}
	explained := map[string]int{}
	remaining := map[string]bool{}
	for s, list := range bySegment {
		if len(list) < minSuspectCrashes {
			continue
		}
		remaining[s] = true
		if len(list)+suspectMargin > 2*countSince(elsewhere[s], list[0].At) {
			suspects = append(suspects, s)
		}
	}
	slices.Sort(suspects)
	for len(remaining) > 0 && now-d.startedAt >= minHistory {
		var list []evidence
		for s := range remaining {
			e := d.weigh(s, bySegment[s], elsewhere[s], explained, now)
			e.allCrashes, e.burstCrashes = countAround(crashes, e.crashes)
			if e.isGuilty() {
				list = append(list, e)
			}
		}
		if len(list) == 0 {
			break
		}
		worst := slices.MinFunc(list, compareGuilt).segment
		guilty = append(guilty, worst)
		delete(remaining, worst)
		for _, c := range bySegment[worst] {
			explained[c.Endpoint] = max(explained[c.Endpoint], len(bySegment[worst]))
		}
	}
	slices.Sort(guilty)
	return guilty, suspects
}

// mergeIncarnations merges what several entries saw of the same crash, drops crashes
// before a time, and sorts them by time.
func mergeIncarnations(crashes []Crash, after int64) []Crash {
	merged := map[string]Crash{}
	for _, c := range crashes {
		if c.At < after {
			continue
		}
		if m, ok := merged[c.Endpoint]; ok {
			c = Crash{Endpoint: c.Endpoint, At: min(m.At, c.At), Segments: slices.Concat(m.Segments, c.Segments)}
		}
		c.Segments = slices.Compact(slices.Sorted(slices.Values(c.Segments)))
		merged[c.Endpoint] = c
	}
	return slices.SortedFunc(maps.Values(merged), func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint, b.Endpoint))
	})
}

// weigh collects the evidence on a segment. Crashes do not count that a guilty segment
// with more crashes explains. Against a segment that was ever cleared, those do not count
// either that any guilty segment explains, or to which others may still object.
func (d *Detector) weigh(segment string, crashes []Crash, elsewhere []int64, explained map[string]int, now int64) evidence {
	e := evidence{segment: segment}
	clearances := slices.Concat(d.Clearances(segment), elsewhere)
	burst := int64(0)
	for _, c := range crashes {
		known := len(clearances) > 0
		if explained[c.Endpoint] > len(crashes) || known && (explained[c.Endpoint] > 0 || c.At > now-objectionTime) {
			continue
		}
		e.crashes = append(e.crashes, c.At)
		if e.bursts == 0 || c.At-burst >= burstLength {
			e.bursts, burst = e.bursts+1, c.At
		}
	}
	if len(e.crashes) > 0 {
		e.clearedSince = countSince(clearances, e.crashes[0])
		e.clearedBefore = len(clearances) - e.clearedSince
	}
	return e
}

// countAround returns the number of crashes from the first to the last of some times,
// and that of the crashes in the same bursts.
func countAround(crashes []Crash, times []int64) (between, inBursts int) {
	for _, c := range crashes {
		if len(times) > 0 && c.At >= times[0] && c.At <= times[len(times)-1] {
			between++
		}
		if slices.ContainsFunc(times, func(t int64) bool { return max(t-c.At, c.At-t) < burstLength }) {
			inBursts++
		}
	}
	return between, inBursts
}

// countSince returns the number of times that are not before start.
func countSince(times []int64, start int64) int {
	n := 0
	for _, t := range times {
		if t >= start {
			n++
		}
	}
	return n
}

// isGuilty reports whether the endpoints crashed under the segment. More crashes are
// needed if it was cleared before, or if crashes happened without it.
func (e evidence) isGuilty() bool {
	n := len(e.crashes)
	switch {
	case n <= 2*e.clearedSince:
		return false
	case e.clearedBefore > 0:
		return e.bursts >= 5 || e.bursts >= 4 && n >= 7
	case 4*n >= 3*e.burstCrashes && 4*n >= 3*e.allCrashes:
		return e.bursts >= 3 || e.bursts >= 2 && n >= 4
	case 4*n >= 3*e.burstCrashes && 2*n >= e.allCrashes:
		return e.bursts >= 3
	case 4*n >= 3*e.burstCrashes:
		return e.bursts >= 4 && n >= 5
	}
	return e.bursts >= 6 && n >= 8
}

// compareGuilt orders evidence, the strongest first.
func compareGuilt(a, b evidence) int {
	return cmp.Or(
		cmp.Compare(min(a.clearedBefore, 1), min(b.clearedBefore, 1)),
		cmp.Compare(len(b.crashes), len(a.crashes)),
		cmp.Compare(a.clearedSince, b.clearedSince),
		cmp.Compare(a.segment, b.segment),
	)
}
