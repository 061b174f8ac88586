package elmgroup

import "time"

// passRate estimates how long a pass of a group takes, from successive polls.
type passRate struct {
	epoch int64
	pass  int64
	at    time.Duration
	// perPass is the time that a pass takes, or 0 if it is unknown.
	perPass time.Duration
}

// update returns the estimate after one more poll. While no pass begins, the estimate
// grows with the time that has passed.
func (p passRate) update(v View, now time.Duration) passRate {
	pass := v.Pass()
	next := passRate{epoch: v.Epoch, pass: pass, at: now}
	if v.Epoch == p.epoch && pass > p.pass {
		next.perPass = (now - p.at) / time.Duration(pass-p.pass)
	} else if v.Epoch == p.epoch {
		next.perPass = max(p.perPass, now-p.at)
		next.at = p.at
	}
	return next
}

// lead returns the number of passes from the last known one to the first with the new
// map.
func (p passRate) lead() int64 {
	if p.perPass <= 0 {
		return maxLead
	}
	return min(max(int64(leadTime/p.perPass), minLead), maxLead)
}
