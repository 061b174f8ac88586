package elmlockstep

import (
	"slices"
	"time"
)

// result summarizes a run.
func (sm *simulation) result() Result {
	r := Result{Requests: len(sm.requests), Copied: sm.planner.copied, Rollouts: sm.planner.rollouts}
	total := float64(max(len(sm.requests), 1))
	seconds := int(sm.settings.Length / time.Second)
	arrived, onTime := make([]float64, seconds), make([]float64, seconds)
	for _, q := range sm.requests {
		second := min(int(q.arrivedAt/time.Second), seconds-1)
		arrived[second]++
		switch {
		case q.onTime():
			r.OnTime += 1 / total
			onTime[second]++
		case q.state == completed:
			r.Late += 1 / total
		case q.state == refused:
			r.Refused += 1 / total
		default:
			r.Disconnected += 1 / total
		}
	}
	r.OnTimeBySecond = make([]float64, seconds)
	for i := range r.OnTimeBySecond {
		r.OnTimeBySecond[i] = onTime[i] / max(arrived[i], 1)
	}
	r.SkewBySecond = make([]float64, seconds)
	passes := make([]float64, seconds)
	var values []float64
	for _, s := range sm.skews {
		if s.at >= sm.settings.Length {
			break
		}
		values = append(values, s.value)
		r.Skew += s.value
		r.SkewBySecond[int(s.at/time.Second)] += s.value
		passes[int(s.at/time.Second)]++
	}
	for i := range r.SkewBySecond {
		r.SkewBySecond[i] /= max(passes[i], 1)
	}
	if len(values) > 0 {
		r.Skew /= float64(len(values))
		slices.Sort(values)
		r.Skew95 = values[len(values)*95/100]
	}
	return r
}

// Mean runs the same settings with the seeds from 0 to seeds-1 and returns the mean of
// each figure.
func Mean(s Settings, seeds int) Result {
	var sum Result
	weight := 1 / float64(seeds)
	for seed := range seeds {
		r := Run(s, uint64(seed))
		sum.Requests += r.Requests
		sum.OnTime += r.OnTime * weight
		sum.Late += r.Late * weight
		sum.Refused += r.Refused * weight
		sum.Disconnected += r.Disconnected * weight
		sum.Skew += r.Skew * weight
		sum.Skew95 += r.Skew95 * weight
		sum.Rollouts += r.Rollouts
		sum.Copied += r.Copied
		sum.OnTimeBySecond, sum.SkewBySecond = addWeighted(sum.OnTimeBySecond, r.OnTimeBySecond, weight), addWeighted(sum.SkewBySecond, r.SkewBySecond, weight)
	}
	sum.Requests /= seeds
	sum.Rollouts /= seeds
	sum.Copied /= seeds
	return sum
}

// addWeighted adds weighted values to sums, element by element.
func addWeighted(sum, values []float64, weight float64) []float64 {
	if sum == nil {
		sum = make([]float64, len(values))
	}
	for i, v := range values {
		sum[i] += v * weight
	}
	return sum
}
