// Package elmclaim decides which orders that ranks have executed belong to a rollout.
//
// A report shows that a rank holds a pass or has prepared a version, but not for whom.
// An answer does not tell either: a rank answers 200 both to an order that it has just
// executed and to one whose state held before. So each rollout uses a version and a pass
// that no other rollout of the epoch uses.
//
// A version is unique because it contains a random tag. A pass is unique because of three
// rules that all rollouts follow:
//
//   - A rollout claims a pass only after all ranks have prepared its version. A rank
//     prepares only versions higher than all earlier ones, so all ranks prepare two such
//     versions in the same order.
//   - It claims at most maxLead passes after one that began while a rank had prepared its
//     version. So the rollout of the lower version claims no later pass than maxLead after
//     the one in which that rank prepared the higher version.
//   - It claims only passes later than that, for all ranks.
//
// So the rollout of a higher version claims a later pass, no matter how many planners there
// are, how long they pause, what they forget in a restart, and when their orders arrive. An
// idle group has to begin a pass before a rollout can claim one.
//
// A repair does not claim a pass of its own. It continues the claim of the rollout that
// has left the group held.
//
// # Usage
//
//	claim := elmclaim.New(version, len(ranks), maxLead)
//	claim = claim.WithReport(rank, report)
//	if next, ok := claim.WithNextPass(lead); ok {
//		hold(next.Pass())
//	}
package elmclaim

import (
	"slices"

	"github.com/elmcove/elmcove/internal/model/elmrank"
)

// unknown is the bound of a rank that is not known to have prepared the version.
const unknown = -1

// Claim is the version and the pass that belong to a rollout. It is immutable.
type Claim struct {
	version int64
	maxLead int64
	// pass is the claimed pass, or 0.
	pass int64
	// preparedBy holds for each rank a pass that was not over when the rank executed the
	// prepare order, or unknown.
	preparedBy []int64
	// latest is the latest pass known to have begun while a rank had prepared the version.
	latest int64
}

// New returns the claim of a rollout to a number of ranks. MaxLead is the same in all
// rollouts.
func New(version int64, ranks int, maxLead int64) Claim {
	return Claim{version: version, maxLead: maxLead, preparedBy: slices.Repeat([]int64{unknown}, ranks)}
}

// Continue returns the claim of a repair of the group that is held before a pass.
func Continue(version, pass int64) Claim { return Claim{version: version, pass: pass} }

// Pass returns the claimed pass, or 0.
func (c Claim) Pass() int64 { return c.pass }

// WithPrepareAccepted returns the claim after a rank has accepted the prepare order. Pass
// had begun when the rank was asked for it afterwards.
func (c Claim) WithPrepareAccepted(rank int, pass int64) Claim {
	if c.preparedBy[rank] == unknown {
		c.preparedBy = slices.Clone(c.preparedBy)
		c.preparedBy[rank] = pass
	}
	return c
}

// WithReport returns the claim after a report of a rank, which may be old.
func (c Claim) WithReport(rank int, r elmrank.Report) Claim {
	if !c.Prepared(r) {
		return c
	}
	c.latest = max(c.latest, r.Pass)
	return c.WithPrepareAccepted(rank, r.Pass)
}

// WithNextPass returns the claim of a pass, lead passes after the latest if possible. It
// returns false while there is none to claim.
func (c Claim) WithNextPass(lead int64) (Claim, bool) {
	if slices.Contains(c.preparedBy, unknown) {
		return c, false
	}
	pass := max(c.latest+min(lead, c.maxLead), slices.Max(c.preparedBy)+c.maxLead+1, c.pass+1)
	if pass > c.latest+c.maxLead {
		return c, false
	}
	c.pass = pass
	return c, true
}

// Prepared reports whether a rank has prepared the claimed version.
func (c Claim) Prepared(r elmrank.Report) bool { return r.PreparedVersion == c.version }

// Armed reports whether a rank is armed with the claimed version.
func (c Claim) Armed(r elmrank.Report) bool { return r.ArmedVersion == c.version }

// Held reports whether a rank holds the claimed pass.
func (c Claim) Held(r elmrank.Report) bool { return c.pass != 0 && r.HeldPass == c.pass }

// Overtaken reports whether a rank has prepared a higher version, so that it no longer
// arms the claimed one.
func (c Claim) Overtaken(r elmrank.Report) bool { return r.PreparedVersion > c.version }

// ArmedForPass reports whether a rank is armed for the claimed pass, with any version.
func (c Claim) ArmedForPass(r elmrank.Report) bool {
	return r.ArmedVersion != 0 && r.ArmedPass == c.pass
}
