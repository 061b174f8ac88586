// Package elmendpoint describes an endpoint by its entry in the platform's
// endpoint list.
//
// # Usage
//
//	endpoint := elmendpoint.Endpoint{ID: "e-1", Service: "draft", Address: "10.0.0.4:80"}
//	usable := !endpoint.Leaving
package elmendpoint

import "time"

// Endpoint is one incarnation of a model replica or of a plain service instance.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	Datacentre string
	// Slots is the number of requests that the endpoint processes concurrently.
	Slots int
	// Leaving means that the endpoint finishes its requests and accepts no new
	// ones.
	Leaving bool
	// ColdRemaining is the cold-start time that was left when the endpoint wrote its entry.
	ColdRemaining time.Duration
	// Started is the Unix time in milliseconds at which the incarnation started.
	Started int64
}
