// Package elmconfig merges, validates and decodes the configuration of a site.
//
// Operators write a base file and an overlay, both in JSON with comments. The
// overlay is merged into the base as a JSON merge patch (RFC 7396): objects are
// merged key by key, null removes a key, and any other value replaces the one in
// the base. The result is validated against config.schema.json. Keys that are not
// in the schema are rejected.
//
// # Usage
//
//	document, err := elmconfig.Merge(base, overlay)
//	config, err := elmconfig.Decode(document)
//	workspace, ok := config.Authenticate("secret")
package elmconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

const (
	defaultConcurrency = 256
	defaultBytes       = 1 << 20
	defaultTimeout     = 2 * time.Minute

	// StateIn means that a data centre receives new work.
	StateIn = "in"
	// StateOut means that a data centre receives no new work.
	StateOut = "out"

	hashPrefix   = "sha256:"
	kindModel    = "model"
	schemaSource = "config.schema.json"
)

// ErrInvalid reports an invalid configuration or change.
var ErrInvalid = errors.New("invalid configuration")

// Datacentre is the configuration of a data centre.
type Datacentre struct {
	State string `json:"state"`
}

// Service is the configuration of a model or plain service.
type Service struct {
	Kind string `json:"kind"`
	// NonIdempotent lists the non-idempotent calls, as method and path prefix.
	NonIdempotent []string `json:"once,omitempty"`
	// TimeoutSeconds is the timeout of a request, or 0 for the default.
	TimeoutSeconds int `json:"seconds,omitempty"`
}

// Workspace is the configuration of a workspace.
type Workspace struct {
	// Credential is the SHA-256 of the bearer credential, as "sha256:" and
	// hexadecimal digits.
	Credential string `json:"credential"`
	// MaxConcurrency is the maximum number of open requests at one entry, or 0
	// for the default.
	MaxConcurrency int `json:"concurrency,omitempty"`
	// MaxBodyBytes is the maximum size of a request body, or 0 for the default.
	MaxBodyBytes int64 `json:"bytes,omitempty"`
}

// Change describes an accepted change of the configuration.
type Change struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	Text     string    `json:"text"`
}

// Config is the configuration of one site at one revision. It is immutable: the
// With methods return changed copies.
type Config struct {
	Site        string                `json:"site"`
	Datacentres map[string]Datacentre `json:"datacentres"`
	Services    map[string]Service    `json:"services"`
	Workspaces  map[string]Workspace  `json:"workspaces"`
	Drained     []string              `json:"drained,omitempty"`
	// Change describes the change that produced this revision. It is not part
	// of the operators' files.
	Change *Change `json:"change,omitempty"`

	revision uint64
	// credentials maps hashed credentials to workspace names.
	credentials map[string]string
}

// Merge merges an overlay into a base file and validates the result. The error
// names the file, line and key of each violation. The overlay may be empty.
func Merge(base, overlay Source) ([]byte, error) {
	document, err := base.standardize()
	if err != nil {
		return nil, err
	}
	if len(overlay.Text) > 0 {
		patch, err := overlay.standardize()
		if err != nil {
			return nil, err
		}
		document, err = jsonpatch.MergePatch(document, patch)
		if err != nil {
			return nil, fmt.Errorf("%w: merge %s: %w", ErrInvalid, overlay.Name, err)
		}
	}
	return document, validate(document, overlay, base)
}

// Decode decodes a merged configuration.
func Decode(document []byte) (Config, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	var c Config
	if err := decoder.Decode(&c); err != nil {
		return Config{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return c.withCredentialIndex(), nil
}

// withCredentialIndex returns a copy in which Authenticate finds the workspaces.
func (c Config) withCredentialIndex() Config {
	c.credentials = make(map[string]string, len(c.Workspaces))
	for name, w := range c.Workspaces {
		c.credentials[w.Credential] = name
	}
	return c
}

// WithRevision returns a copy with the given revision.
func (c Config) WithRevision(revision uint64) Config {
	c.revision = revision
	return c
}

// WithDatacentre returns a copy with a data centre in the given state, StateIn
// or StateOut.
func (c Config) WithDatacentre(name, state string) (Config, error) {
	if _, ok := c.Datacentres[name]; !ok {
		return c, fmt.Errorf("%w: no data centre %q, have %s", ErrInvalid, name, names(c.Datacentres))
	}
	c.Datacentres = maps.Clone(c.Datacentres)
	c.Datacentres[name] = Datacentre{State: state}
	return c, nil
}

// WithDrained returns a copy in which an endpoint is drained or not.
func (c Config) WithDrained(instance string, drained bool) Config {
	c.Drained = slices.DeleteFunc(slices.Clone(c.Drained), func(d string) bool { return d == instance })
	if drained {
		c.Drained = append(c.Drained, instance)
	}
	return c
}

// WithChange returns a copy with the description of the change that produced it.
func (c Config) WithChange(change Change) Config {
	c.Change = &change
	return c
}

// WithStates returns a copy with the data centre states and drained endpoints of
// another configuration.
func (c Config) WithStates(other Config) Config {
	c.Datacentres = maps.Clone(c.Datacentres)
	for name := range c.Datacentres {
		if datacentre, ok := other.Datacentres[name]; ok {
			c.Datacentres[name] = datacentre
		}
	}
	c.Drained = other.Drained
	return c
}

// Encode returns the configuration as one JSON document.
func (c Config) Encode() ([]byte, error) {
	document, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return document, nil
}

// Revision returns the revision. It is 0 before the first accepted change.
func (c Config) Revision() uint64 { return c.revision }

// Authenticate returns the name of the workspace with a credential.
func (c Config) Authenticate(credential string) (string, bool) {
	sum := sha256.Sum256([]byte(credential))
	name, ok := c.credentials[hashPrefix+hex.EncodeToString(sum[:])]
	return name, ok
}

// AcceptsNewWork reports whether an endpoint in a data centre receives new work.
func (c Config) AcceptsNewWork(datacentre, instance string) bool {
	return c.Datacentres[datacentre].State != StateOut && !slices.Contains(c.Drained, instance)
}

// MaxConcurrency returns the maximum number of open requests of a workspace.
func (c Config) MaxConcurrency(workspace string) int {
	return orDefault(c.Workspaces[workspace].MaxConcurrency, defaultConcurrency)
}

// MaxBodyBytes returns the maximum size of a request body of a workspace.
func (c Config) MaxBodyBytes(workspace string) int64 {
	return orDefault(c.Workspaces[workspace].MaxBodyBytes, defaultBytes)
}

// RequestTimeout returns the timeout of a request to a service.
func (c Config) RequestTimeout(service string) time.Duration {
	return orDefault(time.Duration(c.Services[service].TimeoutSeconds)*time.Second, defaultTimeout)
}

// IsModel reports whether a service is a configured model.
func (c Config) IsModel(service string) bool { return c.Services[service].Kind == kindModel }

// IsIdempotent reports whether a call of a service is idempotent, so that it may be
// executed more than once.
func (c Config) IsIdempotent(service, method, path string) bool {
	call := method + " " + path
	return !slices.ContainsFunc(c.Services[service].NonIdempotent, func(prefix string) bool {
		return strings.HasPrefix(call, prefix)
	})
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// names returns the sorted keys of a map for an error message.
func names[T any](items map[string]T) string {
	return strings.Join(slices.Sorted(maps.Keys(items)), ", ")
}
