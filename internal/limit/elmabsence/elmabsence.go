// Package elmabsence decides when to forget what is known of an endpoint that is no
// longer listed. Entries of endpoints may be missing from the store after an outage.
//
// # Usage
//
//	absence = absence.Update(listed, now)
//	if absence.Long(now) { forget() }
package elmabsence

import "time"

// forgetDelay is how long what is known of an absent endpoint is kept.
const forgetDelay = 10 * time.Minute

// Absence is how long an endpoint has not been listed. The zero Absence is that of a
// listed one. It is immutable.
type Absence struct{ since time.Duration }

// Update returns the absence after a look at the list.
func (a Absence) Update(listed bool, now time.Duration) Absence {
	if listed {
		return Absence{}
	}
	if a.since == 0 {
		a.since = now
	}
	return a
}

// Long reports whether the endpoint has been absent for so long that it will not return.
func (a Absence) Long(now time.Duration) bool { return a.since > 0 && now-a.since > forgetDelay }
