// Package elmcrash finds the signatures under which endpoints crash: prompt segments and
// whole requests. Requests that share such a signature crash one endpoint after the other.
//
// A signature is suspect if it was in flight at several endpoints when they crashed. What
// speaks for it is that it was cleared: an endpoint wrote a response on it and lived
// on. Popular signatures are in flight at many crashes, and are cleared more often. Few
// requests have the same signature as a whole, so that fewer crashes prove it guilty.
//
// Times are Unix milliseconds, since entries compare them. The package does no input
// or output.
//
// # Usage
//
//	detector := elmcrash.New(now)
//	detector.Clear(signatures, now)
//	guilty, suspects := detector.Judge(crashes, clearedElsewhere, now)
package elmcrash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmsignature"
)

const (
	// Window is how long crashes and clearances count.
	Window = 2 * time.Minute
	// burstLength is the time in which crashes may have one cause, such as the loss of
	// a rack. They count as one burst.
	burstLength = int64(time.Second / time.Millisecond)
	// objectionTime is the time in which other entries that cleared a signature share
	// that after a crash.
	objectionTime = int64(time.Second / time.Millisecond)
	// minHistory is how long a detector collects clearances before it blames signatures.
	// Until then it only follows what other entries have found.
	minHistory = 2 * int64(time.Second/time.Millisecond)
	// suspectMargin is the number of further crashes that would make a suspect guilty.
	suspectMargin = 2
	// minSuspectCrashes is the number of crashes that make a signature suspect.
	minSuspectCrashes = 2
	// minRequestCrashes is the number of crashes that prove a request guilty that was
	// never cleared.
	minRequestCrashes = 3
	// noticeSpread is the time within which entries notice the same crash. It is shorter than
	// the restart of an endpoint.
	noticeSpread = int64(time.Second/time.Millisecond) / 4
)

// Crash is the crash of one incarnation of an endpoint, with the signatures that were in
// flight there.
type Crash struct {
	// Endpoint identifies the incarnation, and ID the endpoint whatever its incarnation.
	Endpoint, ID string
	At           int64
	Signatures   []elmsignature.Signature
	// Unlisted is 0 if the entry knows the incarnation, and otherwise the number of crashes
	// since that of the incarnation which it knows. Other entries may know the later one.
	Unlisted int
}

// merge returns the crash with what another entry saw of it.
func (c Crash) merge(other Crash) Crash {
	c.At = min(c.At, other.At)
	c.Signatures = slices.Concat(c.Signatures, other.Signatures)
	return c
}

// Detector keeps the clearances that this entry has seen, and judges signatures. It is
// not safe for concurrent use.
type Detector struct {
	// segments and requests have histories of their own, so that many different requests
	// don't displace segments.
	segments, requests history
	startedAt          int64
}

// New returns a Detector without a history.
func New(now int64) *Detector { return &Detector{startedAt: now} }

// history returns the history that holds a signature.
func (d *Detector) history(s elmsignature.Signature) *history {
	if s.IsRequest() {
		return &d.requests
	}
	return &d.segments
}

// Clear records that an endpoint wrote a response on the signatures and lived on.
func (d *Detector) Clear(signatures []elmsignature.Signature, now int64) {
	for _, s := range signatures {
		d.history(s).add(s, now)
	}
}

// ClearKnown is like Clear for signatures that were cleared before. It is for responses
// that were lost so soon that a signature that crashes endpoints may not have done so yet.
func (d *Detector) ClearKnown(signatures []elmsignature.Signature, now int64) {
	for _, s := range signatures {
		if len(d.Clearances(s)) > 0 {
			d.history(s).add(s, now)
		}
	}
}

// Restore adds clearances that this entry shared before it was restarted.
func (d *Detector) Restore(s elmsignature.Signature, shared []int64) { d.history(s).merge(s, shared) }

// Clearances returns when a signature was last cleared.
func (d *Detector) Clearances(s elmsignature.Signature) []int64 { return d.history(s).times(s) }

// evidence is what speaks against and for a signature.
type evidence struct {
	signature elmsignature.Signature
	// crashes are the times of the crashes in order, and bursts the number of times
	// at which they happened together.
	crashes []int64
	bursts  int
	// clearedBefore and clearedSince count the clearances before and after the first
	// crash.
	clearedBefore, clearedSince int
	// settled is the number of crashes to which no entry may object any more.
	settled int
	// ambiguous means that another request was never cleared and was in flight at the
	// same crashes.
	ambiguous bool
	// allCrashes is the number of crashes from the first to the last one, whatever was
	// in flight, and burstCrashes that of the crashes in the same bursts.
	allCrashes, burstCrashes int
}

// Judge returns the signatures under which endpoints crash, and those that are suspect
// unless this entry has cleared them. Elsewhere holds the clearances that other entries
// have seen of suspects.
func (d *Detector) Judge(crashes []Crash, elsewhere map[elmsignature.Signature][]int64, now int64) (guilty, suspects []elmsignature.Signature) {
	crashes = mergeIncarnations(crashes, now-Window.Milliseconds())
	bySignature := map[elmsignature.Signature][]Crash{}
	for _, c := range crashes {
		for _, s := range c.Signatures {
			bySignature[s] = append(bySignature[s], c)
		}
	}
	explained := map[string]int{}
	remaining := map[elmsignature.Signature]bool{}
	for s, list := range bySignature {
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
			e := d.weigh(s, bySignature[s], elsewhere[s], explained, now)
			e.allCrashes, e.burstCrashes = countAround(crashes, e.crashes)
			list = append(list, e)
		}
		markAmbiguous(list, bySignature)
		list = slices.DeleteFunc(list, func(e evidence) bool { return !e.isGuilty() })
		if len(list) == 0 {
			break
		}
		worst := slices.MinFunc(list, compareGuilt).signature
		guilty = append(guilty, worst)
		delete(remaining, worst)
		for _, c := range bySignature[worst] {
			explained[c.Endpoint] = max(explained[c.Endpoint], weight(worst, len(bySignature[worst])))
		}
	}
	slices.Sort(guilty)
	return guilty, suspects
}

// weight returns how much a guilty signature explains its crashes. A request explains them
// before a segment that has as many.
func weight(s elmsignature.Signature, crashes int) int {
	if s.IsRequest() {
		return crashes + 1
	}
	return crashes
}

// markAmbiguous marks the requests that can't be told from another one by their crashes.
func markAmbiguous(list []evidence, bySignature map[elmsignature.Signature][]Crash) {
	for i, e := range list {
		list[i].ambiguous = slices.ContainsFunc(list, func(other evidence) bool {
			rival := other.signature != e.signature && other.signature.IsRequest() && other.clearedBefore+other.clearedSince == 0
			return rival && e.signature.IsRequest() && containsAll(bySignature[other.signature], bySignature[e.signature])
		})
	}
}

// containsAll reports whether crashes contain all of some others.
func containsAll(crashes, others []Crash) bool {
	return !slices.ContainsFunc(others, func(o Crash) bool {
		return !slices.ContainsFunc(crashes, func(c Crash) bool { return c.Endpoint == o.Endpoint })
	})
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
			c = m.merge(c)
		}
		merged[c.Endpoint] = c
	}
	for name, c := range merged {
		if same, ok := findListed(merged, c); ok {
			merged[same] = merged[same].merge(c)
			delete(merged, name)
		}
	}
	for name, c := range merged {
		c.Signatures = slices.Compact(slices.Sorted(slices.Values(c.Signatures)))
		merged[name] = c
	}
	return slices.SortedFunc(maps.Values(merged), func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint, b.Endpoint))
	})
}

// findListed returns the name under which an entry that knows the incarnation of an unlisted
// crash has seen the same crash, if there is one.
func findListed(crashes map[string]Crash, unlisted Crash) (string, bool) {
	if unlisted.Unlisted == 0 {
		return "", false
	}
	for name, c := range crashes {
		if c.Unlisted == 0 && c.ID == unlisted.ID && max(c.At-unlisted.At, unlisted.At-c.At) <= noticeSpread {
			return name, true
		}
	}
	return "", false
}

// weigh collects the evidence on a signature. Crashes do not count that a guilty signature
// with more crashes explains. Against a signature that was ever cleared, those do not count
// either that any guilty one explains, or to which others may still object.
func (d *Detector) weigh(s elmsignature.Signature, crashes []Crash, elsewhere []int64, explained map[string]int, now int64) evidence {
	e := evidence{signature: s}
	clearances := slices.Concat(d.Clearances(s), elsewhere)
	burst := int64(0)
	for _, c := range crashes {
		known := len(clearances) > 0
		recent := c.At > now-objectionTime
		if explained[c.Endpoint] > len(crashes) || known && (explained[c.Endpoint] > 0 || recent) {
			continue
		}
		e.crashes = append(e.crashes, c.At)
		if !recent {
			e.settled++
		}
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

// isGuilty reports whether the endpoints crashed under the signature. More crashes are
// needed if it was cleared before, or if crashes happened without it, and as many as either
// needs if both hold.
func (e evidence) isGuilty() bool {
	n := len(e.crashes)
	switch {
	case n <= 2*e.clearedSince:
		return false
	case e.clearedBefore > 0 && e.bursts < 5 && (e.bursts < 4 || n < 7):
		return false
	case e.signature.IsRequest() && e.clearedSince == 0 && e.settled >= minRequestCrashes && !e.ambiguous:
		return e.bursts >= 3 || 4*n >= 3*e.burstCrashes
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
		cmp.Compare(weight(b.signature, len(b.crashes)), weight(a.signature, len(a.crashes))),
		cmp.Compare(a.clearedSince, b.clearedSince),
		cmp.Compare(a.signature, b.signature),
	)
}
