package elmcrash

import (
	"slices"

	"github.com/elmcove/elmcove/internal/forward/elmsignature"
)

const (
	// maxClearances is the number of latest clearances that are kept of a signature.
	maxClearances = 16
	// maxSignatures bounds the signatures in each generation of a history.
	maxSignatures = 8192
)

// history holds when signatures were cleared, in two generations, so that its size is
// bounded.
type history struct {
	recent, older map[elmsignature.Signature][]int64
}

// times returns when a signature was last cleared.
func (h *history) times(s elmsignature.Signature) []int64 {
	if times, ok := h.recent[s]; ok {
		return times
	}
	return h.older[s]
}

// add records that a signature was cleared.
func (h *history) add(s elmsignature.Signature, now int64) {
	h.set(s, append(slices.Clone(h.times(s)), now))
}

// merge adds times that are not known yet.
func (h *history) merge(s elmsignature.Signature, shared []int64) {
	known := h.times(s)
	isNew := func(t int64) bool { return !slices.Contains(known, t) }
	if slices.ContainsFunc(shared, isNew) && len(known) < maxClearances {
		h.set(s, slices.Compact(slices.Sorted(slices.Values(slices.Concat(known, shared)))))
	}
}

// set keeps the latest of some times, and forgets the older generation if the recent one
// is full.
func (h *history) set(s elmsignature.Signature, times []int64) {
	if h.recent == nil || len(h.recent) >= maxSignatures {
		h.recent, h.older = map[elmsignature.Signature][]int64{}, h.recent
	}
	h.recent[s] = times[max(0, len(times)-maxClearances):]
}
