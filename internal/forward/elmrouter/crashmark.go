package elmrouter

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmcrash"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
)

// crashMark is the last crash of an endpoint that this entry knows of.
type crashMark struct {
	// incarnation is the listed one. Unlisted is the number of crashes since the incarnation's
	// own, which are those of later ones that were not listed yet.
	incarnation string
	unlisted    int
	at          time.Duration
}

// unlistedSuffix returns what follows the listed incarnation in the text that identifies a crash.
func unlistedSuffix(unlisted int) string {
	if unlisted == 0 {
		return ""
	}
	return "+" + strconv.Itoa(unlisted)
}

// decodeCrash decodes a notice on a crash.
func decodeCrash(incarnation, value string) elmcrash.Crash {
	n := decodeNotice[crashNotice](value)
	id, started := "", incarnation
	if at := strings.LastIndexByte(incarnation, '@'); at >= 0 {
		id, started = incarnation[:at], incarnation[at:]
	}
	_, number, _ := strings.Cut(started, "+")
	unlisted, _ := strconv.Atoi(number) // 0 if there is none.
	return elmcrash.Crash{Endpoint: incarnation, ID: id, At: n.At, Signatures: n.Signatures, Unlisted: unlisted}
}

// markCrash records a crash that this entry has seen, and returns the text that identifies what
// has crashed. A request that was sent after the crash of the same incarnation has met a later
// one, which is not listed yet.
func (r *Router) markCrash(l *lostResponses) string {
	now, listed := elmclock.Now(), incarnation(l.member)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	mark := r.crashMarks[l.member.ID]
	switch {
	case mark.incarnation != listed:
		mark = crashMark{incarnation: listed}
	case l.sentAt > mark.at:
		mark.unlisted++
	}
	mark.at = now
	r.crashMarks[l.member.ID] = mark
	return listed + unlistedSuffix(mark.unlisted)
}

// learnCrashes records the crashes that entries have shared, and forgets old ones.
func (r *Router) learnCrashes(crashes []elmcrash.Crash, wall int64, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.crashMarks, func(_ string, m crashMark) bool { return now-m.at > elmcrash.Window })
	for _, c := range crashes {
		mark := r.crashMarks[c.ID]
		shared := crashMark{
			incarnation: strings.TrimSuffix(c.Endpoint, unlistedSuffix(c.Unlisted)),
			unlisted:    c.Unlisted,
			at:          now - time.Duration(wall-c.At)*time.Millisecond,
		}
		switch {
		case mark.incarnation == shared.incarnation:
			mark.unlisted, mark.at = max(mark.unlisted, shared.unlisted), max(mark.at, shared.at)
			r.crashMarks[c.ID] = mark
		case mark.at < shared.at:
			r.crashMarks[c.ID] = shared
		}
	}
}
