// Package elmholder holds the newest configuration that a process has received,
// and the last updates before it. It never returns to an older revision.
//
// # Usage
//
//	holder := elmholder.New()
//	adopted, err := holder.Adopt(update)
//	config := holder.Config()
//	for _, update := range holder.Since(neighbour) {
//		send(update)
//	}
package elmholder

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/elmcove/elmcove/internal/config/elmconfig"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// maxRecentUpdates is the number of updates that are kept for neighbours.
const maxRecentUpdates = 64

// ErrGap reports a patch whose base is not the current revision.
var ErrGap = errors.New("configuration patch is not based on the current revision")

// Holder holds the current configuration of a process. It is safe for concurrent use.
type Holder struct {
	mutex   sync.Mutex
	current atomic.Pointer[elmconfig.Config]
	recent  []*elmwire.Update
}

// New returns a Holder with an empty configuration at revision 0.
func New() *Holder {
	h := &Holder{}
	h.current.Store(&elmconfig.Config{})
	return h
}

// Config returns the current configuration.
func (h *Holder) Config() elmconfig.Config {
	return *h.current.Load()
}

// Revision returns the current revision.
func (h *Holder) Revision() uint64 {
	return h.current.Load().Revision()
}

// Since returns the updates that take a neighbour from a revision to the current
// one: the patches since then, or the full document if they are no longer kept.
func (h *Holder) Since(revision uint64) []*elmwire.Update {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	config := h.Config()
	if revision >= config.Revision() {
		return nil
	}
	for i, u := range h.recent {
		if u.GetBase() == revision {
			return h.recent[i:len(h.recent):len(h.recent)]
		}
	}
	document, err := config.Encode()
	if err != nil {
		return nil // A configuration that was decoded can be encoded.
	}
	return []*elmwire.Update{{Revision: config.Revision(), Document: document}}
}

// Adopt applies an update if it is newer than the current configuration, and
// reports whether it did.
func (h *Holder) Adopt(update *elmwire.Update) (bool, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if update.GetRevision() <= h.Revision() {
		return false, nil
	}
	config, err := h.apply(update)
	if err != nil {
		return false, err
	}
	config = config.WithRevision(update.GetRevision())
	h.current.Store(&config)
	h.keep(update)
	return true, nil
}

// apply returns the configuration after an update.
func (h *Holder) apply(update *elmwire.Update) (elmconfig.Config, error) {
	if update.GetBase() == 0 {
		return elmconfig.Decode(update.GetDocument())
	}
	if update.GetBase() != h.Revision() {
		return elmconfig.Config{}, fmt.Errorf("%w: base %d, current %d", ErrGap, update.GetBase(), h.Revision())
	}
	return h.Config().WithPatch(update.GetDocument())
}

// keep adds a patch to the recent updates. A full document clears them, since no
// patch leads across it.
func (h *Holder) keep(update *elmwire.Update) {
	if update.GetBase() == 0 {
		h.recent = nil
		return
	}
	h.recent = append(h.recent[max(len(h.recent)-maxRecentUpdates+1, 0):len(h.recent):len(h.recent)], update)
}
