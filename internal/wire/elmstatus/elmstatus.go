// Package elmstatus classifies the status codes of responses.
//
// # Usage
//
//	if elmstatus.Code(response.StatusCode).PromisesNotRun() { /* only if that is known */ }
package elmstatus

import "net/http"

// Code is the status code of a response.
type Code int

// IsValid reports whether the code is in the range of RFC 9110, section 15.
func (c Code) IsValid() bool { return c >= 100 && c < 600 }

// IsInterim reports whether a final response follows on the same connection.
func (c Code) IsInterim() bool {
	return c >= 100 && c < 200 && c != http.StatusSwitchingProtocols
}

// PromisesNotRun reports whether the status promises that the request has not run and never
// will, so that callers may send it again even if it is not idempotent.
func (c Code) PromisesNotRun() bool {
	switch c {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
