// Package elmsettings reads the settings of one process: its name, the addresses
// on which it listens, the URL of the platform, and the folder of its certificates.
//
// # Usage
//
//	settings, err := elmsettings.Load("entry.json", elmsettings.RoleEntry)
package elmsettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/tailscale/hujson"

	"github.com/elmcove/elmcove/internal/limit/elmcrowd"
)

// ErrSettings reports settings that can't be read or are invalid.
var ErrSettings = errors.New("invalid settings")

// Role is the kind of a process. It decides which settings are required.
type Role string

const (
	// RoleEntry is the role of an entry process.
	RoleEntry Role = "entry"
	// RoleAgent is the role of an agent process.
	RoleAgent Role = "agent"
)

// Settings are the settings of one process. Addresses are host:port, except
// Platform and Endpoint, which are URLs.
type Settings struct {
	// Instance is the name of the process, unique in its site.
	Instance string `json:"instance"`
	// Datacentre is the name of the process's data centre.
	Datacentre string `json:"datacentre"`
	// Site is the name of the site whose configuration the process uses.
	Site string `json:"site"`
	// Platform is the URL of the platform's services.
	Platform string `json:"platform"`
	// Keys is the folder with the certificates of the process.
	Keys string `json:"keys"`
	// HTTP is the address for callers (entry) or operators (agent).
	HTTP string `json:"http"`
	// Datacentres lists the data centres to whose agents an entry connects. If
	// it is empty, the entry connects to all agents.
	Datacentres []string `json:"datacentres,omitempty"`
	// Spread is the number of entries of a data centre that connect to each
	// agent. If it is 0, all connect.
	Spread int `json:"spread,omitempty"`
	// Neighbours lists link addresses of agents in the data centre. An entry
	// uses them if the platform is unreachable when it starts.
	Neighbours []string `json:"neighbours,omitempty"`
	// Link is the address on which an agent accepts links.
	Link string `json:"link,omitempty"`
	// Service is the name of the service of an agent's endpoint.
	Service string `json:"service,omitempty"`
	// Endpoint is the URL of an agent's endpoint.
	Endpoint string `json:"endpoint,omitempty"`
	// Step is the target for the time between tokens, in milliseconds.
	Step int `json:"step,omitempty"`
	// MaxConcurrency is the maximum number of concurrent requests that an agent sends
	// to its endpoint.
	MaxConcurrency int `json:"ceiling,omitempty"`
	// DrainDelay is the time in milliseconds for which an entry still accepts requests
	// after it has begun to stop, since the load balancer in front of it notices
	// with a delay.
	DrainDelay int `json:"lag,omitempty"`
	// MemoryMB is the memory limit of the process in MiB. The limits of callers follow from it.
	// If it is 0, they follow from 256.
	MemoryMB int `json:"memoryMB,omitempty"`
	// MaxConnections is the maximum number of connections of callers (entry) or, by an eighth of
	// it, of operators (agent). If it is 0, it follows from the memory limit and the limit of
	// descriptors.
	MaxConnections int `json:"maxConnections,omitempty"`
	// Log is the minimum level of logged events.
	Log string `json:"log,omitempty"`
	// Traces is a file or an OTLP URL for traces. If it is empty, none are
	// exported.
	Traces string `json:"traces,omitempty"`
}

// MemoryLimit returns the memory limit of the process in bytes, or 0 if it has none.
func (s Settings) MemoryLimit() int64 { return int64(s.MemoryMB) << 20 }

// Load reads and validates a settings file, which is JSON with comments.
func Load(path string, role Role) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %s: %w", ErrSettings, path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	s := Settings{Step: 37, MaxConcurrency: 64, DrainDelay: 3000, Log: "info"}
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, fmt.Errorf("%w: %s: %w", ErrSettings, path, err)
	}
	if err := s.check(role); err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// check reports the first required key of a role that is missing.
func (s Settings) check(role Role) error {
	required := []struct{ key, value string }{
		{"instance", s.Instance},
		{"datacentre", s.Datacentre},
		{"site", s.Site},
		{"platform", s.Platform},
		{"keys", s.Keys},
		{"http", s.HTTP},
	}
	if role == RoleAgent {
		required = append(required, []struct{ key, value string }{
			{"link", s.Link},
			{"service", s.Service},
			{"endpoint", s.Endpoint},
		}...)
	}
	for _, r := range required {
		if r.value == "" {
			return fmt.Errorf("%w: key %q is missing", ErrSettings, r.key)
		}
	}
	if s.MemoryMB < 0 {
		return fmt.Errorf("%w: memoryMB is negative", ErrSettings)
	}
	limits := elmcrowd.Limits{MemoryLimit: s.MemoryLimit(), MaxConnections: s.MaxConnections}
	if err := limits.Check(); err != nil {
		return fmt.Errorf("%w: %w", ErrSettings, err)
	}
	return nil
}
