// Package elmjournal is the form in which a site's configuration is kept in the
// key-value service: the revision and name of a full document, and the changes
// since, each as a JSON merge patch (RFC 7396).
//
// Processes that watch the journal so read little for each change. When the
// changes have grown long, a new full document is written and most of them are
// dropped; the last ones stay, so that a process that is up to date need not
// read the full document. The version of the journal in the key-value service
// is the revision of the configuration.
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
	maxPatches = 32
	maxBytes   = 8 << 10
	// keptPatches and keptBytes bound the changes that stay beside a new full
	// document.
	keptPatches = 8
	keptBytes   = 2 << 10
)

// ErrJournal reports a journal that can't be used.
var ErrJournal = errors.New("invalid configuration journal")

// Patch is a change from the revision before to a revision.
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
	// Patches are the last changes without a gap. Some may be older than the
	// full document.
	Patches []Patch `json:"patches,omitempty"`
}

// New returns a journal that starts at a full document.
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

// Encode returns the journal as it is kept.
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

// Oldest returns the oldest revision from which the changes lead to the newest.
func (j Journal) Oldest() uint64 {
	if len(j.Patches) > 0 {
		return j.Patches[0].Revision - 1
	}
	return j.Revision
}

// Full reports whether the journal should start again at a new full document.
func (j Journal) Full() bool {
	return j.Key == "" || len(j.Patches) >= maxPatches || size(j.Patches) >= maxBytes
}

// WithFull returns a journal whose full document is at the newest revision.
func (j Journal) WithFull(key string) Journal {
	j.Revision = j.Newest()
	j.Key = key
	for len(j.Patches) > keptPatches || size(j.Patches) > keptBytes {
		j.Patches = j.Patches[1:]
	}
	return j
}

// WithChange returns a journal with the change between two documents.
func (j Journal) WithChange(present, wanted []byte) (Journal, error) {
	body, err := jsonpatch.CreateMergePatch(present, wanted)
	if err != nil {
		return j, fmt.Errorf("%w: %w", ErrJournal, err)
	}
	patch := Patch{Revision: j.Newest() + 1, Body: body}
	j.Patches = append(j.Patches[:len(j.Patches):len(j.Patches)], patch)
	return j, nil
}

// Replay returns the newest document, given the full one.
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

func size(patches []Patch) int {
	total := 0
	for _, p := range patches {
		total += len(p.Body)
	}
	return total
}
