// Package elmendpoint describes an endpoint as its entry in the platform's list
// of endpoints tells it.
//
// # Usage
//
//	endpoint := elmendpoint.Endpoint{ID: "e-1", Service: "draft", Address: "10.0.0.4:80"}
//	usable := !endpoint.Leaving
package elmendpoint

import "time"

// Endpoint is one incarnation of a model replica or plain service.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	Datacentre string
	// Slots is the number of requests that it works on at once.
	Slots int
	// Leaving endpoints finish their work and take no more.
	Leaving bool
	// Cold is how long it stayed cold from the moment it wrote the entry.
	Cold time.Duration
	// Born is the Unix time in milliseconds at which the incarnation began.
	Born int64
}
