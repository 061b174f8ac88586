package elmlocal

import (
	"time"
)

// Plan describes the site to start.
type Plan struct {
	// Bin is the folder of the programs. Folder receives settings, keys, logs,
	// and traces.
	Bin    string
	Folder string
	// Name is the name of the site.
	Name string
	// Datacentres get entries and endpoints in round-robin order.
	Datacentres []string
	// Entries is the number of entries.
	Entries int
	// ModelService is the name of the model service.
	ModelService string
	// ModelEndpoints is the number of endpoints of the model service.
	ModelEndpoints int
	// PlainService is the name of the plain service, which has no model.
	PlainService string
	// PlainEndpoints is the number of endpoints of the plain service.
	PlainEndpoints int
	// StepTime is the duration of one decoding step of an idle engine.
	StepTime time.Duration
	// CallTime is the duration of one call of a plain service.
	CallTime time.Duration
	// SharedEndpoints makes all agents of a service use one endpoint process.
	SharedEndpoints bool
	// WarmCapacity is the number of concurrent requests that a warm engine can handle.
	WarmCapacity int
	// ColdCapacity is the number of concurrent requests that a cold engine can handle.
	ColdCapacity int
	// Untraced turns tracing off.
	Untraced bool
	// Relayed puts a relay in front of each agent, which can partition it from
	// the entries.
	Relayed bool
}

// Granite returns the plan of the Granite Ring example. The programs are in bin,
// and files are written to folder.
func Granite(bin, folder string) Plan {
	return Plan{
		Bin:            bin,
		Folder:         folder,
		Name:           "granite",
		Datacentres:    []string{"worcester", "manchester", "springfield"},
		Entries:        7,
		ModelService:   "draft",
		ModelEndpoints: 12,
		PlainService:   "dispatch",
		PlainEndpoints: 3,
		StepTime:       6 * time.Millisecond,
		CallTime:       6 * time.Millisecond,
		WarmCapacity:   32,
		ColdCapacity:   2,
	}
}
