package elmrollout

import "github.com/elmcove/elmcove/internal/model/elmrank"

// applyReport applies a rank's report in the current phase.
func (s Rollout) applyReport(m ReportResult) (Rollout, []Command) {
	r := &s.ranks[m.Rank]
	r.call = idle
	if m.Failed && s.state == looking {
		return s.transition("failed")
	}
	if m.Failed {
		r.call = waitingToRetry
		return s, []Command{Wait{}}
	}
	if m.Report.Epoch != s.plan.Epoch || !m.Report.Open {
		return s.transition("void")
	}
	r.needsReport = false
	switch s.state {
	case preparing:
		if r.lastOutcome == elmrank.Accepted && !m.Stale {
			s.claim = s.claim.WithPrepareAccepted(m.Rank, m.Report.Pass)
		}
		s.claim = s.claim.WithReport(m.Rank, m.Report)
		return s.checkPrepared(r, m.Report)
	case awaiting:
		return s.checkAwaited(m.Rank, m.Report)
	case holding:
		s.claim = s.claim.WithReport(m.Rank, m.Report)
		return s.checkHeld(r, m.Report)
	case claiming:
		return s.checkHeld(r, m.Report)
	case looking:
		if !s.claim.Prepared(m.Report) || m.Report.ArmedVersion != 0 {
			return s.transition("failed")
		}
		r.done = true
	case arming:
		return s.checkArmed(r, m.Report)
	case undoing:
		s.checkUndone(r, m.Report, m.Stale)
	case releasing:
		r.done = !m.Stale && !s.claim.Held(m.Report)
	}
	return s.advance()
}

// checkPrepared checks whether a rank has prepared the new map.
func (s Rollout) checkPrepared(r *rankState, report elmrank.Report) (Rollout, []Command) {
	switch {
	case s.claim.Prepared(report) && report.ArmedVersion == 0 && report.HeldPass == 0:
		r.done = true
		return s.advance()
	case r.lastOutcome == elmrank.Rejected, s.claim.Overtaken(report), report.ArmedVersion != 0, report.HeldPass != 0, r.attempts >= maxOrderAttempts:
		return s.transition("failed")
	}
	// If the order was accepted, the rank is still copying. An order without an
	// answer is sent again.
	r.needsReport = r.lastOutcome == elmrank.Accepted
	r.call = waitingToRetry
	return s, []Command{Wait{}}
}

// checkAwaited checks whether the group has begun a pass, so that there is one to claim.
func (s Rollout) checkAwaited(rank int, report elmrank.Report) (Rollout, []Command) {
	r := &s.ranks[rank]
	if !s.claim.Prepared(report) {
		return s.transition("failed")
	}
	s.claim = s.claim.WithReport(rank, report)
	if _, r.done = s.claim.WithNextPass(s.plan.LeadPasses); r.done {
		return s.advance()
	}
	r.needsReport, r.call = true, waitingToRetry
	return s, []Command{Wait{}}
}

// checkHeld checks whether a rank holds the rollout's pass.
func (s Rollout) checkHeld(r *rankState, report elmrank.Report) (Rollout, []Command) {
	begun := report.Pass >= s.claim.Pass()
	switch {
	case s.claim.Held(report):
		r.done = true
	case begun && s.holdAttempts < maxHoldAttempts && s.state == holding:
		return s.transition("passed")
	case begun, report.HeldPass != 0, r.attempts >= maxOrderAttempts:
		return s.transition("failed")
	}
	return s.advance()
}

// checkArmed checks whether a rank is armed with the new map.
func (s Rollout) checkArmed(r *rankState, report elmrank.Report) (Rollout, []Command) {
	switch {
	case s.claim.Armed(report):
		r.done = true
	case r.lastOutcome == elmrank.Rejected, s.claim.Overtaken(report), r.attempts >= maxOrderAttempts:
		return s.transition("failed")
	}
	return s.advance()
}

// checkUndone handles a rank that has not accepted a new version. Other versions that
// are armed belong to rollouts that hold their own passes. A stale report does not show
// that a rank is still armed with one of them.
func (s *Rollout) checkUndone(r *rankState, report elmrank.Report, stale bool) {
	s.version = max(s.version, report.PreparedVersion)
	repair := s.inherited != nil
	switch {
	case s.claim.ArmedForPass(report):
		r.disarmVersion = report.ArmedVersion
	case report.ArmedVersion != 0 && !stale, report.Pass >= s.claim.Pass():
		r.done = true
	case !repair:
		r.done = s.claim.Overtaken(report)
	}
}
