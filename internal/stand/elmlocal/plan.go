package elmlocal

import (
	"time"
)

// Plan describes the site to start.
type Plan struct {
	// Bin is the folder with the programs, and Folder is for settings and
	// logs.
	Bin    string
	Folder string
	Name   string
	// Datacentres take entries and endpoints in turn.
	Datacentres []string
	Entries     int
	// Model and Plain name the services, and Models and Plains count their
	// endpoints.
	Model  string
	Models int
	Plain  string
	Plains int
	// Step is the time of one step of an engine.
	Step time.Duration
	// Call is the time of one call of a plain service.
	Call time.Duration
	// Shared lets all agents of a service use one endpoint process.
	Shared bool
	// Warm and Cold are the numbers of requests that an engine bears.
	Warm int
	Cold int
	// Untraced keeps no traces.
	Untraced bool
	// Relayed puts a relay before each agent, by which its links can be cut.
	Relayed bool
}

// Granite returns the plan of the Granite Ring example.
func Granite(bin, folder string) Plan {
	return Plan{
		Bin:         bin,
		Folder:      folder,
		Name:        "granite",
		Datacentres: []string{"worcester", "manchester", "springfield"},
		Entries:     7,
		Model:       "draft",
		Models:      12,
		Plain:       "dispatch",
		Plains:      3,
		Step:        6 * time.Millisecond,
		Call:        6 * time.Millisecond,
		Warm:        32,
		Cold:        2,
	}
}
