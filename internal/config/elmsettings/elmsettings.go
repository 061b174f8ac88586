// Package elmsettings reads the settings of one process: what it is called,
// where it listens, and where it finds the platform and its certificates.
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
)

// ErrSettings reports settings that can't be used.
var ErrSettings = errors.New("invalid settings")

// Role is what a process does.
type Role string

const (
	// RoleEntry is the role of an entry process.
	RoleEntry Role = "entry"
	// RoleAgent is the role of an agent process.
	RoleAgent Role = "agent"
)

// Settings are the settings of one process. All addresses are host:port,
// other than Platform and Endpoint, which are URLs.
type Settings struct {
	// Instance names the process within its site.
	Instance string `json:"instance"`
	// Datacentre names the data centre of the process.
	Datacentre string `json:"datacentre"`
	// Site names the configuration that the process takes.
	Site string `json:"site"`
	// Platform is the URL of the platform's services.
	Platform string `json:"platform"`
	// Keys is the folder with the certificates of the process.
	Keys string `json:"keys"`
	// HTTP is the address for callers (entry) or operators (agent).
	HTTP string `json:"http"`
	// Datacentres names the data centres whose agents an entry is linked to.
	// It is linked to all if none is named.
	Datacentres []string `json:"datacentres,omitempty"`
	// Spread is the number of entries of a data centre that are linked to
	// each agent. All are if it is 0.
	Spread int `json:"spread,omitempty"`
	// Neighbours are link addresses of agents in the data centre, for an
	// entry that starts while the platform is out of reach.
	Neighbours []string `json:"neighbours,omitempty"`
	// Link is the address on which an agent accepts links.
	Link string `json:"link,omitempty"`
	// Service names the service of an agent's endpoint.
	Service string `json:"service,omitempty"`
	// Endpoint is the URL of an agent's endpoint.
	Endpoint string `json:"endpoint,omitempty"`
	// Step is the goal for the time between tokens, in milliseconds.
	Step int `json:"step,omitempty"`
	// Ceiling is the most requests that an agent ever gives its endpoint.
	Ceiling int `json:"ceiling,omitempty"`
	// Lag is the time in milliseconds for which an entry that is stopping
	// still takes requests, since the balancer learns of it late.
	Lag int `json:"lag,omitempty"`
	// Log is the lowest level of the events that are logged.
	Log string `json:"log,omitempty"`
	// Traces is a file or an OTLP URL for traces. None are kept if empty.
	Traces string `json:"traces,omitempty"`
}

// Load reads and checks the settings in a file of JSON with comments.
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
	s := Settings{Step: 37, Ceiling: 64, Lag: 3000, Log: "info"}
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, fmt.Errorf("%w: %s: %w", ErrSettings, path, err)
	}
	if err := s.check(role); err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

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
	return nil
}
