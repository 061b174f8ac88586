// Package elmsite reads and changes the configuration of a site, and asks its
// entries how far a change has come.
//
// A change is written by compare-and-swap, so that of two operators at once
// one gets a Conflict. The document bears the change's own identifier, by which
// a lost reply is resolved.
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
	"time"

	"github.com/elmcove/elmcove/internal/config/elmconfig"
	"github.com/elmcove/elmcove/internal/config/elmjournal"
	"github.com/elmcove/elmcove/internal/entry/elmentry"
	"github.com/elmcove/elmcove/internal/entry/elmledger"
	"github.com/elmcove/elmcove/internal/registry/elmstore"
	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
)

const askTimeout = time.Second

// ErrSite reports a site that can't be read or asked.
var ErrSite = errors.New("site")

// Conflict reports a change that was accepted first.
type Conflict struct {
	Theirs elmconfig.Change
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("change %q by %s was accepted first", c.Theirs.Text, c.Theirs.Operator)
}

// Edit makes a new configuration from the present one.
type Edit func(present elmconfig.Config) (elmconfig.Config, error)

// Progress tells at how many processes a revision is in force.
type Progress struct {
	Entries    int
	AllEntries int
	Agents     int
	AllAgents  int
}

// Done reports whether the revision is in force everywhere.
func (p Progress) Done() bool {
	return p.Entries == p.AllEntries && p.Agents == p.AllAgents
}

// Site is a site as operators see it.
type Site struct {
	name   string
	store  *elmstore.Store
	client *http.Client
}

// New returns the named site, whose platform is at a URL.
func New(platform, name string) (*Site, error) {
	store, err := elmstore.New(platform)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSite, err)
	}
	return &Site{name: name, store: store, client: &http.Client{Timeout: askTimeout}}, nil
}

// Config returns the accepted configuration, which is empty before the first.
func (s *Site) Config(ctx context.Context) (elmconfig.Config, error) {
	present, err := s.read(ctx)
	return present.config, err
}

// History returns the last accepted changes, the newest last.
func (s *Site) History(ctx context.Context) ([]elmconfig.Change, error) {
	present, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	var changes []elmconfig.Change
	if first := present.full.Change; first != nil && present.journal.Revision <= present.journal.Oldest() {
		changes = append(changes, *first)
	}
	for _, p := range present.journal.Patches {
		change, err := patchChange(p)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// Change makes a change to the accepted configuration.
func (s *Site) Change(ctx context.Context, change elmconfig.Change, edit Edit) (elmconfig.Change, error) {
	present, err := s.read(ctx)
	if err != nil {
		return change, err
	}
	wanted, err := edit(present.config)
	if err != nil {
		return change, err
	}
	change.Revision = present.config.Revision() + 1
	journal, err := s.next(ctx, present, wanted.WithChange(change))
	if err != nil {
		return change, err
	}
	result, err := s.store.Swap(ctx, elmentry.ConfigKey(s.name), int64(present.config.Revision()), journal)
	if err != nil {
		return change, err
	}
	if !result.Won {
		return change, conflict(result.Value.Data)
	}
	return change, nil
}

// accepted is a journal and the documents that it leads from and to.
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

// next returns the journal with a change. A full journal starts again at a new
// full document, which is written first under a key of its own.
func (s *Site) next(ctx context.Context, present accepted, wanted elmconfig.Config) ([]byte, error) {
	document, err := wanted.Encode()
	if err != nil {
		return nil, err
	}
	journal, err := present.withChange(wanted.Change.Revision, document)
	if err != nil {
		return nil, err
	}
	if !journal.Full() {
		return journal.Encode()
	}
	key := elmentry.ConfigKey(s.name) + ":" + wanted.Change.ID
	if _, err := s.store.Swap(ctx, key, 0, document); err != nil {
		return nil, err
	}
	return journal.WithFull(key).Encode()
}

// withChange returns the journal with a change to a document.
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

// patchChange returns the description of a change.
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

// Status asks all live entries for their status. Entries that do not answer
// are left out.
func (s *Site) Status(ctx context.Context) ([]elmentry.Status, error) {
	instances, err := s.entries(ctx)
	if err != nil {
		return nil, err
	}
	var all []elmentry.Status
	for _, i := range instances {
		var status elmentry.Status
		if s.ask(ctx, i.Address, "/elmcove/status", &status) == nil {
			all = append(all, status)
		}
	}
	return all, nil
}

// Progress tells how far a revision has come.
func (s *Site) Progress(ctx context.Context, revision uint64) (Progress, error) {
	instances, err := s.entries(ctx)
	if err != nil {
		return Progress{}, err
	}
	entries, err := s.Status(ctx)
	if err != nil {
		return Progress{}, err
	}
	progress := Progress{AllEntries: len(instances)}
	agents := map[string]uint64{}
	for _, e := range entries {
		if e.Revision >= revision {
			progress.Entries++
		}
		for _, a := range e.Agents {
			agents[a.Agent] = max(agents[a.Agent], a.Revision)
		}
	}
	progress.AllAgents = len(agents)
	for _, r := range agents {
		if r >= revision {
			progress.Agents++
		}
	}
	return progress, nil
}

// Explain asks the entries for the decisions on a request.
func (s *Site) Explain(ctx context.Context, request string) ([]elmledger.Line, error) {
	instances, err := s.entries(ctx)
	if err != nil {
		return nil, err
	}
	for _, i := range instances {
		var lines []elmledger.Line
		if s.ask(ctx, i.Address, "/elmcove/explain/"+url.PathEscape(request), &lines) == nil {
			return lines, nil
		}
	}
	return nil, fmt.Errorf("%w: no entry remembers request %q", ErrSite, request)
}

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

func (s *Site) ask(ctx context.Context, address, path string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSite, err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSite, err)
	}
	defer func() { _ = response.Body.Close() }() // Nothing is left to read.
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: %s", ErrSite, address, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrSite, address, err)
	}
	return nil
}

// conflict describes the change that was accepted first.
func conflict(data []byte) error {
	journal, err := elmjournal.Decode(data)
	if err != nil {
		return err
	}
	c := &Conflict{Theirs: elmconfig.Change{Revision: journal.Newest(), Text: "full document"}}
	if n := len(journal.Patches); n > 0 {
		c.Theirs, err = patchChange(journal.Patches[n-1])
	}
	if err != nil {
		return err
	}
	return c
}
