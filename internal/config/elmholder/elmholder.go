// Package elmholder holds the newest configuration that a process knows. It
// never goes back to an older revision.
//
// # Usage
//
//	holder := elmholder.New()
//	adopted, err := holder.Adopt(update)
//	config := holder.Config()
package elmholder

import (
	"sync"
	"sync/atomic"

	"github.com/elmcove/elmcove/internal/config/elmconfig"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// Holder holds a configuration. It is safe for concurrent use.
type Holder struct {
	mutex   sync.Mutex
	present atomic.Pointer[elmconfig.Config]
}

// New returns a Holder with an empty configuration at revision 0.
func New() *Holder {
	h := &Holder{}
	h.present.Store(&elmconfig.Config{})
	return h
}

// Config returns the present configuration.
func (h *Holder) Config() elmconfig.Config {
	return *h.present.Load()
}

// Update returns the present configuration as a message for neighbours.
func (h *Holder) Update() *elmwire.Update {
	config := h.Config()
	return &elmwire.Update{Revision: config.Revision(), Document: config.Document()}
}

// Adopt takes over a configuration if it is newer than the present one, and
// reports whether it did.
func (h *Holder) Adopt(update *elmwire.Update) (bool, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if update.GetRevision() <= h.Config().Revision() {
		return false, nil
	}
	config, err := elmconfig.Decode(update.GetDocument())
	if err != nil {
		return false, err
	}
	config = config.WithRevision(update.GetRevision())
	h.present.Store(&config)
	return true, nil
}
