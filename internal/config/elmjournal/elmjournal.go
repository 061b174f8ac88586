// Package elmjournal defines how a site's configuration is stored in the key-value
// service: the revision and key of a full document, and the changes since, each as
// a JSON merge patch (RFC 7396).
//
// Processes that watch the journal therefore read little for each change. When the
// patches become too many or too long, a new full document is written and most
// patches are dropped. The last ones are kept, so that a process that is up to date
// need not read the full document. The version of the journal in the key-value
// service is the revision of the configuration.
//
// # Usage
//
//	journal, err := elmjournal.Decode(value)
//	document, err := journal.Replay(full)
package elmjournal

import (
	"encoding/json"
	"errors"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

const (
	// maxPatches and maxPatchBytes are the limits at which a new full document
	// is written.
	maxPatches    = 32
	maxPatchBytes = 8 << 10
	// keptPatches and keptBytes limit the patches that are kept with a new full
	// document.
	keptPatches = 8
	keptBytes   = 2 << 10
)

// ErrJournal reports a malformed journal, or a patch that can't be applied.
var ErrJournal = errors.New("invalid configuration journal")

// Patch is the change from the previous revision to Revision.
type Patch struct {
	Revision uint64          `json:"revision"`
	Body     json.RawMessage `json:"body"`
}

// Journal is the journal of one site. It is immutable, and its zero value has
// no revisions.
type Journal struct {
	// Revision is the revision of the full document, and Key its key in the
	// key-value service.
	Revision uint64 `json:"revision"`
	Key      string `json:"key"`
	// Patches are the last changes, with consecutive revisions. Some may be
	// older than the full document.
	Patches []Patch `json:"patches,omitempty"`
}

// New returns a journal with a full document and no patches.
func New(revision uint64, key string) Journal {
	return Journal{Revision: revision, Key: key}
}

// Decode reads a journal.
func Decode(data []byte) (Journal, error) {
	var j Journal
	if err := json.Unmarshal(data, &j); err != nil {
		return Journal{}, fmt.Errorf("%w: %w", ErrJournal, err)
	}
	return j, nil
}

// Encode returns the stored form of the journal.
func (j Journal) Encode() ([]byte, error) {
	data, err := json.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrJournal, err)
	}
	return data, nil
}

// Newest returns the newest revision.
func (j Journal) Newest() uint64 {
	if n := len(j.Patches); n > 0 {
		return j.Patches[n-1].Revision
	}
	return j.Revision
}

// Oldest returns the oldest revision from which the patches lead to the newest.
func (j Journal) Oldest() uint64 {
	if len(j.Patches) > 0 {
		return j.Patches[0].Revision - 1
	}
	return j.Revision
}

// NeedsFullDocument reports whether a new full document should be written.
func (j Journal) NeedsFullDocument() bool {
	return j.Key == "" || len(j.Patches) >= maxPatches || size(j.Patches) >= maxPatchBytes
}

// WithFullDocument returns a journal with a new full document at the newest revision.
func (j Journal) WithFullDocument(key string) Journal {
	j.Revision = j.Newest()
	j.Key = key
	for len(j.Patches) > keptPatches || size(j.Patches) > keptBytes {
		j.Patches = j.Patches[1:]
	}
	return j
}

// WithChange returns a journal with a patch from one document to another.
func (j Journal) WithChange(current, wanted []byte) (Journal, error) {
	body, err := jsonpatch.CreateMergePatch(current, wanted)
	if err != nil {
		return j, fmt.Errorf("%w: %w", ErrJournal, err)
	}
	patch := Patch{Revision: j.Newest() + 1, Body: body}
	j.Patches = append(j.Patches[:len(j.Patches):len(j.Patches)], patch)
	return j, nil
}

// Replay applies the patches to the full document and returns the newest one.
func (j Journal) Replay(full []byte) ([]byte, error) {
	document := full
	for _, p := range j.Patches {
		if p.Revision <= j.Revision {
			continue
		}
		next, err := jsonpatch.MergePatch(document, p.Body)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrJournal, err)
		}
		document = next
	}
	return document, nil
}

// size returns the total size of patches in bytes.
func size(patches []Patch) int {
	total := 0
	for _, p := range patches {
		total += len(p.Body)
	}
	return total
}
