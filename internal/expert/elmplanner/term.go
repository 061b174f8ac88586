package elmplanner

import (
	"strconv"
	"strings"
	"time"

	"github.com/elmcove/elmcove/platform"
)

// holder is the value of a leadership key: the leader and the era of the store in which
// it acquired the leadership. The zero holder means that there is no key.
type holder struct {
	instance string
	era      int64
}

// parseHolder is the inverse of String. A value without an era is of era 0.
func parseHolder(value string) holder {
	instance, text, _ := strings.Cut(value, " ")
	era, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return holder{instance: instance}
	}
	return holder{instance, era}
}

// String returns the value of the key.
func (h holder) String() string { return h.instance + " " + strconv.FormatInt(h.era, 10) }

// action is what an entry must do next about a leadership.
type action int

const (
	noAction action = iota
	renewLease
	acquireLeadership
)

// term is what an entry knows of the leadership of a service. It is immutable.
type term struct {
	instance string
	// ttl is the lifetime of the lease, and takeoverDelay how long this entry leaves a
	// free leadership to others.
	ttl, takeoverDelay time.Duration

	// lease is the lease that this entry holds, if any. No other entry can hold the
	// leadership before provenUntil.
	lease                  platform.Lease
	renewedAt, provenUntil time.Duration
	// era is the era of the store, known since eraSince.
	era      int64
	eraSince time.Duration
	// freeSince is when the leadership was first observed to be free, or 0.
	freeSince time.Duration
}

// next returns the action that is due. A free leadership is left alone at first in a
// new era, because the entry that held it in the earlier one may not know of the new
// one until its lease has run out. An entry that has restarted acquires its own
// leadership again at once.
func (t term) next(now time.Duration, era int64, current holder) (term, action) {
	if t.eraSince == 0 || era != t.era {
		t.era, t.eraSince, t.freeSince = era, now, 0
		if t.lease.Era != era {
			t.lease = platform.Lease{}
		}
	}
	if t.held() {
		if now-t.renewedAt < leaseRenewInterval {
			return t, noAction
		}
		t.renewedAt = now
		return t, renewLease
	}
	if current.instance != "" && current.era == era {
		t.freeSince = 0
		if current.instance == t.instance {
			return t, acquireLeadership
		}
		return t, noAction
	}
	if t.freeSince == 0 {
		t.freeSince = now
	}
	if now-t.freeSince < t.takeoverDelay || era > 0 && now-t.eraSince < t.ttl {
		return t, noAction
	}
	return t, acquireLeadership
}

// held reports whether this entry has a lease, which may have run out.
func (t term) held() bool { return t.lease != platform.Lease{} }

// renewalIsLate reports whether the lease is due for renewal even during a rollout.
func (t term) renewalIsLate(now time.Duration) bool {
	return t.held() && now-t.renewedAt >= lateRenewInterval
}

// leads reports whether this entry is the leader for certain.
func (t term) leads(now time.Duration) bool { return t.held() && now < t.provenUntil }

// withLease returns the term of an entry that has acquired the leadership. Sent is when
// it asked for the lease.
func (t term) withLease(lease platform.Lease, sent time.Duration) term {
	t.lease, t.freeSince = lease, 0
	return t.withRenewal(sent)
}

// withRenewal returns the term after a renewal that was sent at a time.
func (t term) withRenewal(sent time.Duration) term {
	t.renewedAt, t.provenUntil = sent, sent+t.ttl
	return t
}

// withoutLease returns the term of an entry that has lost its lease.
func (t term) withoutLease() term {
	t.lease = platform.Lease{}
	return t
}
