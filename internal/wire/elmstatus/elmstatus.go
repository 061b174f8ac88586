// Package elmstatus classifies status codes by what they tell a caller about its request.
//
// # Usage
//
//	if elmstatus.Code(response.StatusCode).PromisesNotRun() { /* only if that is known */ }
package elmstatus

import "net/http"

// Code is the status code of a response.
type Code int

// PromisesNotRun reports whether the status promises that the request has not run and never
// will, so that callers may send it again even if it is not idempotent.
func (c Code) PromisesNotRun() bool {
	switch c {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
