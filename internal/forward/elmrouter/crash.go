package elmrouter

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmcrash"
	"github.com/elmcove/elmcove/internal/forward/elmnotice"
	"github.com/elmcove/elmcove/internal/forward/elmsignature"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
)

const (
	// crashCheckDelay is the time in which all requests of a crashed endpoint have lost
	// their responses.
	crashCheckDelay = 50 * time.Millisecond
	// minClearingProgress is how long an endpoint must have written a response that it
	// then lost to clear its signatures. Endpoints crash as they begin to write.
	minClearingProgress = 150 * time.Millisecond
	// quarantineTTL is how long a signature stays in quarantine after the last request
	// with it. The store grants no longer lease.
	quarantineTTL = 10 * time.Minute
	// clearanceInterval is the time between two notices of this entry that clear the
	// same signature.
	clearanceInterval = 5 * time.Second
)

// Keys of notices. The rest of a crash key is the incarnation and the entry, that of a
// clearance the signature and the entry, and that of a quarantine the signature.
const (
	crashKey      = "crash/"
	clearanceKey  = "cleared/"
	quarantineKey = "quarantine/"
)

// crashNotice is the value of a crash notice.
type crashNotice struct {
	At int64 `json:"at"`
	// Signatures has the name of its first kind, which earlier versions read.
	Signatures []elmsignature.Signature `json:"segments"`
}

// clearanceNotice is the value of a notice that clears a signature.
type clearanceNotice struct {
	Times []int64 `json:"times"`
}

// quarantineNotice is the value of a quarantine notice.
type quarantineNotice struct {
	Until int64 `json:"until"`
}

// lostResponses are the requests that lost their responses at an endpoint, until it is
// known whether the endpoint has crashed.
type lostResponses struct {
	member elmsnapshot.Member
	count  int
	// sentAt is when the last of them was sent.
	sentAt time.Duration
	// signatures are those in flight. If the endpoint lives, it has cleared those that it
	// wrote on for long, and begun those that it wrote on at all.
	signatures, cleared, begun map[elmsignature.Signature]bool
}

// newLostResponses returns no lost responses of a member.
func newLostResponses(m elmsnapshot.Member) *lostResponses {
	return &lostResponses{
		member: m, signatures: map[elmsignature.Signature]bool{},
		cleared: map[elmsignature.Signature]bool{}, begun: map[elmsignature.Signature]bool{},
	}
}

// recordLostResponse records that the request lost its response, and starts to check
// whether its endpoint has crashed.
func (d *delivery) recordLostResponse() {
	r := d.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	l, checking := r.lost[d.member.ID]
	if !checking {
		l = newLostResponses(d.member)
		r.lost[d.member.ID] = l
		go r.checkCrash(context.WithoutCancel(d.ctx), l)
	}
	l.count++
	l.sentAt = max(l.sentAt, d.sentAt)
	for _, s := range d.signatures {
		l.signatures[s] = true
		if d.progressFrom > 0 {
			l.begun[s] = true
		}
		if d.progressTo-d.progressFrom >= minClearingProgress {
			l.cleared[s] = true
		}
	}
}

// checkCrash finds out whether an endpoint that lost responses has crashed: then nothing
// listens at its address.
func (r *Router) checkCrash(ctx context.Context, l *lostResponses) {
	elmclock.Wait(ctx, crashCheckDelay)
	crashed := r.exchange.IsRefused(ctx, l.member.Address)
	r.mutex.Lock()
	delete(r.lost, l.member.ID)
	r.mutex.Unlock()
	if !crashed {
		r.clearSignatures(slices.Collect(maps.Keys(l.cleared)), slices.Collect(maps.Keys(l.begun)))
		return
	}
	isMember := func(m elmsnapshot.Member) bool { return m.ID == l.member.ID }
	if !slices.ContainsFunc(r.follower.Snapshot().Members(l.member.Service, elmclock.Now()), isMember) {
		return // It left as planned.
	}
	signatures := slices.Sorted(maps.Keys(l.signatures))
	r.meter.Count("elmcove_endpoint_crashes_total", "service", l.member.Service)
	r.logger.Event(elmlog.EndpointCrashed, "endpoint", l.member.ID, "service", l.member.Service, "address", l.member.Address,
		"requests", l.count, "signatures", signatures)
	r.post(crashKey+r.markCrash(l)+"/"+r.settings.Instance, crashNotice{At: time.Now().UnixMilli(), Signatures: signatures}, elmcrash.Window)
}

// clearSignatures records that an endpoint wrote a response on signatures and lives, or
// that it had begun to.
func (r *Router) clearSignatures(written, begun []elmsignature.Signature) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now().UnixMilli()
	r.detector.Clear(written, now)
	r.detector.ClearKnown(begun, now)
}

// recordQuarantined records that a request was refused for its signatures, which renews
// their quarantine. The mutex must be held.
func (r *Router) recordQuarantined(signatures []elmsignature.Signature, now time.Duration) {
	for _, s := range signatures {
		if r.placer.QuarantineRemaining([]elmsignature.Signature{s}, now) > 0 {
			r.quarantinedAt[s] = now
		}
	}
}

// judgeSignatures decides from the notices which signatures are in quarantine.
func (r *Router) judgeSignatures(notices map[string]string, now time.Duration) {
	wall := time.Now().UnixMilli()
	var crashes []elmcrash.Crash
	clearances, own := map[elmsignature.Signature][]int64{}, map[elmsignature.Signature][]int64{}
	quarantine := map[elmsignature.Signature]time.Duration{}
	for key, value := range notices {
		if rest, ok := strings.CutPrefix(key, crashKey); ok {
			incarnation, _, _ := strings.Cut(rest, "/")
			crashes = append(crashes, decodeCrash(incarnation, value))
		} else if rest, ok := strings.CutPrefix(key, clearanceKey); ok {
			text, entry, _ := strings.Cut(rest, "/")
			signature := elmsignature.Signature(text)
			times := decodeNotice[clearanceNotice](value).Times
			if entry == r.settings.Instance {
				own[signature] = times
			} else {
				clearances[signature] = append(clearances[signature], times...)
			}
		} else if text, ok := strings.CutPrefix(key, quarantineKey); ok {
			remaining := time.Duration(decodeNotice[quarantineNotice](value).Until-wall) * time.Millisecond
			quarantine[elmsignature.Signature(text)] = now + remaining
			if remaining > 0 {
				r.board.Keep(elmnotice.Notice{Key: key, Value: value, TTL: remaining}, now)
			}
		}
	}
	r.learnCrashes(crashes, wall, now)
	r.mutex.Lock()
	for s, times := range own {
		r.detector.Restore(s, times)
	}
	guilty, suspects := r.detector.Judge(crashes, clearances, wall)
	r.mutex.Unlock()
	for _, s := range guilty {
		if _, known := quarantine[s]; !known {
			r.quarantine(s, wall)
			quarantine[s] = now + quarantineTTL
		}
	}
	r.setQuarantine(quarantine, wall, now)
	r.shareClearances(suspects, quarantine, now)
}

// quarantine shares the quarantine of a signature.
func (r *Router) quarantine(s elmsignature.Signature, wall int64) {
	r.post(quarantineKey+string(s), quarantineNotice{Until: wall + quarantineTTL.Milliseconds()}, quarantineTTL)
}

// setQuarantine puts a quarantine in force, and renews that of signatures that are still
// requested.
func (r *Router) setQuarantine(quarantine map[elmsignature.Signature]time.Duration, wall int64, now time.Duration) {
	r.mutex.Lock()
	before := r.quarantined
	r.quarantined = quarantine
	r.placer.SetQuarantine(quarantine)
	var renewed []elmsignature.Signature
	for s, at := range r.quarantinedAt {
		until, ok := quarantine[s]
		switch {
		case !ok:
			delete(r.quarantinedAt, s)
		case until-now < quarantineTTL/2 && now-at < quarantineTTL/2:
			renewed = append(renewed, s)
		}
	}
	r.mutex.Unlock()
	for _, s := range renewed {
		r.quarantine(s, wall)
	}
	for s, until := range quarantine {
		if _, ok := before[s]; !ok {
			r.meter.Count(quarantineCounter(s), "entry", r.settings.Instance)
			r.logger.Event(elmlog.QuarantineBegan, "signature", s, "remaining", until-now)
		}
	}
	for s := range before {
		if _, ok := quarantine[s]; !ok {
			r.logger.Event(elmlog.QuarantineEnded, "signature", s)
		}
	}
}

// quarantineCounter returns the name of the counter of quarantines of a signature's kind.
func quarantineCounter(s elmsignature.Signature) elmmeter.Name {
	if s.IsRequest() {
		return "elmcove_quarantined_requests_total"
	}
	return "elmcove_quarantined_segments_total"
}

// shareClearances shares this entry's clearances of suspects.
func (r *Router) shareClearances(suspects []elmsignature.Signature, quarantine map[elmsignature.Signature]time.Duration, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for s, at := range r.clearedAt {
		if now-at >= clearanceInterval {
			delete(r.clearedAt, s)
		}
	}
	for _, s := range suspects {
		times := r.detector.Clearances(s)
		_, shared := r.clearedAt[s]
		if _, guilty := quarantine[s]; guilty || shared || len(times) == 0 {
			continue
		}
		r.clearedAt[s] = now
		r.post(clearanceKey+string(s)+"/"+r.settings.Instance, clearanceNotice{Times: times}, elmcrash.Window)
	}
}
