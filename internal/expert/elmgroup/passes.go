package elmgroup

import "time"

// passes is how fast a group makes passes, as seen from two looks at it.
type passes struct {
	epoch int64
	step  int64
	at    time.Duration
	took  time.Duration
}

// seen returns what is known after one more look.
func (p passes) seen(v View, now time.Duration) passes {
	step := int64(0)
	for _, report := range v.Reports {
		step = max(step, report.Step)
	}
	next := passes{epoch: v.Epoch, step: step, at: now}
	if v.Epoch == p.epoch && step > p.step {
		next.took = (now - p.at) / time.Duration(step-p.step)
	} else if v.Epoch == p.epoch {
		next.took = max(p.took, now-p.at)
		next.at = p.at
	}
	return next
}

// lead returns how many passes ahead a change is planned.
func (p passes) lead() int64 {
	if p.took <= 0 {
		return mostLead
	}
	return min(max(int64(leadTime/p.took), leastLead), mostLead)
}
