// Package elmsite reads and changes the configuration of a site, and queries its
// entries for the progress of a change.
//
// A change is written by compare-and-swap: if two operators make changes at the
// same time, one of them gets a Conflict. The document contains the identifier of
// the change. It shows whether a change was accepted when the reply is lost.
//
// # Usage
//
//	site, err := elmsite.New("http://127.0.0.1:9000", "granite")
//	accepted, err := site.Change(ctx, change, edit)
//	progress, err := site.Progress(ctx, accepted.Revision)
package elmsite

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/config/elmconfig"
	"github.com/elmcove/elmcove/internal/config/elmjournal"
	"github.com/elmcove/elmcove/internal/entry/elmentry"
	"github.com/elmcove/elmcove/internal/entry/elmledger"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/registry/elmstore"
	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
)

const (
	// requestTimeout limits a status request to one entry.
	requestTimeout = time.Second
	// maxHeadBytes and maxBodyBytes limit the response to it.
	maxHeadBytes = 64 << 10
	maxBodyBytes = 16 << 20
)

// ErrSite reports that a site's configuration or its entries can't be read.
var ErrSite = errors.New("site")

const (
	// changeTimeout is how long a read for a change, and its write, are repeated while the store is
	// unavailable.
	changeTimeout = 10 * time.Second
	// retryDelay is the time between two reads or writes.
	retryDelay = 250 * time.Millisecond
)

// Conflict reports that another change was accepted first.
type Conflict struct {
	// Accepted is the change that was accepted first.
	Accepted elmconfig.Change
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("change %q by %s was accepted first", c.Accepted.Text, c.Accepted.Operator)
}

// Edit returns a new configuration based on the current one.
type Edit func(current elmconfig.Config) (elmconfig.Config, error)

// Progress is the number of entries and agents at which a revision is in force,
// and the number of all that are known.
type Progress struct {
	Entries      int
	TotalEntries int
	Agents       int
	TotalAgents  int
}

// Done reports whether the revision is in force everywhere.
func (p Progress) Done() bool {
	return p.Entries == p.TotalEntries && p.Agents == p.TotalAgents
}

// Site gives operators access to a site.
type Site struct {
	name   string
	store  *elmstore.Store
	client *http.Client
}

// New returns a named site. The platform is the URL of its services.
func New(platform, name string) (*Site, error) {
	store, err := elmstore.New(platform)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSite, err)
	}
	transport := elmbounded.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment}, maxHeadBytes, maxBodyBytes)
	return &Site{name: name, store: store, client: &http.Client{Timeout: requestTimeout, Transport: transport}}, nil
}

// Config returns the accepted configuration. It is empty before the first
// accepted change.
func (s *Site) Config(ctx context.Context) (elmconfig.Config, error) {
	current, err := s.read(ctx)
	return current.config, err
}

// History returns the last accepted changes, newest last. Older changes are
// dropped from the journal.
func (s *Site) History(ctx context.Context) ([]elmconfig.Change, error) {
	current, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	var changes []elmconfig.Change
	if first := current.full.Change; first != nil && current.journal.Revision <= current.journal.Oldest() {
		changes = append(changes, *first)
	}
	for _, p := range current.journal.Patches {
		change, err := patchChange(p)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// Change applies an edit to the accepted configuration and returns the change
// with its revision. It returns a Conflict if another change was accepted first.
func (s *Site) Change(ctx context.Context, change elmconfig.Change, edit Edit) (elmconfig.Change, error) {
	current, err := repeat(ctx, s.read)
	if err != nil {
		return change, err
	}
	wanted, err := edit(current.config)
	if err != nil {
		return change, err
	}
	change.Revision = current.config.Revision() + 1
	journal, err := s.nextJournal(ctx, current, wanted.WithChange(change))
	if err != nil {
		return change, err
	}
	result, err := s.swap(ctx, elmentry.ConfigKey(s.name), int64(current.config.Revision()), journal)
	if err != nil {
		return change, err
	}
	if result.Won {
		return change, nil
	}
	history, err := s.History(ctx)
	if err != nil {
		return change, err
	}
	// A write without a reply may have put the change before the one that followed.
	if slices.ContainsFunc(history, func(c elmconfig.Change) bool { return c.ID == change.ID }) {
		return change, nil
	}
	return change, newConflict(result.Value.Data)
}

// swap writes a value if the current version of the key is expect, and repeats that while
// the outcome is unknown.
func (s *Site) swap(ctx context.Context, key string, expect int64, data []byte) (elmstore.Result, error) {
	return repeat(ctx, func(ctx context.Context) (elmstore.Result, error) { return s.store.Swap(ctx, key, expect, data) })
}

// repeat repeats a call to the store for changeTimeout while the store is unavailable.
func repeat[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		result, err := call(ctx)
		if !errors.Is(err, elmstore.ErrUnavailable) || ctx.Err() != nil {
			return result, err
		}
		elmclock.Wait(ctx, retryDelay)
	}
}

// accepted is a journal, its full document, and the configuration after its
// patches.
type accepted struct {
	journal elmjournal.Journal
	full    elmconfig.Config
	config  elmconfig.Config
}

func (s *Site) read(ctx context.Context) (accepted, error) {
	value, err := s.store.Read(ctx, elmentry.ConfigKey(s.name))
	if err != nil || value.Version == 0 {
		return accepted{}, err
	}
	journal, err := elmjournal.Decode(value.Data)
	if err != nil {
		return accepted{}, err
	}
	full, err := s.store.Read(ctx, journal.Key)
	if err != nil {
		return accepted{}, err
	}
	document, err := journal.Replay(full.Data)
	if err != nil {
		return accepted{}, err
	}
	a := accepted{journal: journal}
	if a.full, err = elmconfig.Decode(full.Data); err != nil {
		return accepted{}, err
	}
	if a.config, err = elmconfig.Decode(document); err != nil {
		return accepted{}, err
	}
	a.config = a.config.WithRevision(uint64(value.Version))
	return a, nil
}

// nextJournal returns the encoded journal with a change. If the journal needs a
// new full document, nextJournal first writes it under a key of its own.
func (s *Site) nextJournal(ctx context.Context, current accepted, wanted elmconfig.Config) ([]byte, error) {
	document, err := wanted.Encode()
	if err != nil {
		return nil, err
	}
	journal, err := current.withChange(wanted.Change.Revision, document)
	if err != nil {
		return nil, err
	}
	if !journal.NeedsFullDocument() {
		return journal.Encode()
	}
	key := elmentry.ConfigKey(s.name) + ":" + wanted.Change.ID
	if _, err := s.swap(ctx, key, 0, document); err != nil {
		return nil, err
	}
	return journal.WithFullDocument(key).Encode()
}

// withChange returns the journal with a change to a new document.
func (a accepted) withChange(revision uint64, document []byte) (elmjournal.Journal, error) {
	if a.config.Revision() == 0 {
		return elmjournal.New(revision, ""), nil
	}
	before, err := a.config.Encode()
	if err != nil {
		return elmjournal.Journal{}, err
	}
	return a.journal.WithChange(before, document)
}

// patchChange returns the description of the change in a patch.
func patchChange(p elmjournal.Patch) (elmconfig.Change, error) {
	var body struct {
		Change elmconfig.Change `json:"change"`
	}
	if err := json.Unmarshal(p.Body, &body); err != nil {
		return elmconfig.Change{}, fmt.Errorf("%w: change at revision %d: %w", ErrSite, p.Revision, err)
	}
	body.Change.Revision = p.Revision
	return body.Change, nil
}

// Status returns the status of all live entries. Entries that do not respond are
// omitted.
func (s *Site) Status(ctx context.Context) ([]elmentry.Status, error) {
	instances, err := s.entries(ctx)
	if err != nil {
		return nil, err
	}
	var all []elmentry.Status
	for _, i := range instances {
		var status elmentry.Status
		if s.getJSON(ctx, i.Address, "/elmcove/status", &status) == nil {
			all = append(all, status)
		}
	}
	return all, nil
}

// Progress returns the progress of a revision. Agents are counted by the
// revisions that entries report for them.
func (s *Site) Progress(ctx context.Context, revision uint64) (Progress, error) {
	instances, err := s.entries(ctx)
	if err != nil {
		return Progress{}, err
	}
	entries, err := s.Status(ctx)
	if err != nil {
		return Progress{}, err
	}
	progress := Progress{TotalEntries: len(instances)}
	agents := map[string]uint64{}
	for _, e := range entries {
		if e.Revision >= revision {
			progress.Entries++
		}
		for _, a := range e.Agents {
			agents[a.Agent] = max(agents[a.Agent], a.Revision)
		}
	}
	progress.TotalAgents = len(agents)
	for _, r := range agents {
		if r >= revision {
			progress.Agents++
		}
	}
	return progress, nil
}

// Explain returns the decisions on a request, from the first entry that has them.
func (s *Site) Explain(ctx context.Context, request string) ([]elmledger.Decision, error) {
	instances, err := s.entries(ctx)
	if err != nil {
		return nil, err
	}
	for _, i := range instances {
		var lines []elmledger.Decision
		if s.getJSON(ctx, i.Address, "/elmcove/explain/"+url.PathEscape(request), &lines) == nil {
			return lines, nil
		}
	}
	return nil, fmt.Errorf("%w: no entry remembers request %q", ErrSite, request)
}

// entries returns the live entries of the platform's instance list.
func (s *Site) entries(ctx context.Context) ([]elmkvapi.Instance, error) {
	instances, err := s.store.Instances(ctx)
	if err != nil {
		return nil, err
	}
	var entries []elmkvapi.Instance
	for _, i := range instances {
		if i.Role == elmkvapi.InstanceRoleEntry && i.State == elmkvapi.InstanceStateLive {
			entries = append(entries, i)
		}
	}
	return entries, nil
}

// getJSON decodes the JSON response of an entry into result.
func (s *Site) getJSON(ctx context.Context, address, path string, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSite, err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSite, err)
	}
	defer func() { _ = response.Body.Close() }() // The response has been read.
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: %s", ErrSite, address, response.Status)
	}
	document, err := elmbounded.ReadAll(response.Body, maxBodyBytes)
	if err == nil {
		err = json.Unmarshal(document, result)
	}
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrSite, address, err)
	}
	return nil
}

// newConflict returns a Conflict with the newest change of a journal.
func newConflict(data []byte) error {
	journal, err := elmjournal.Decode(data)
	if err != nil {
		return err
	}
	c := &Conflict{Accepted: elmconfig.Change{Revision: journal.Newest(), Text: "full document"}}
	if n := len(journal.Patches); n > 0 {
		c.Accepted, err = patchChange(journal.Patches[n-1])
	}
	if err != nil {
		return err
	}
	return c
}
