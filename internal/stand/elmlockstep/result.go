package elmlockstep

import (
	"slices"
	"time"
)

// result sums a run up.
func (w *world) result() Result {
	r := Result{Asked: len(w.callers), Copied: w.planner.copied, Changes: w.planner.changes}
	all := float64(max(len(w.callers), 1))
	seconds := int(w.settings.Length / time.Second)
	asked, onTime := make([]float64, seconds), make([]float64, seconds)
	for _, q := range w.callers {
		second := min(int(q.born/time.Second), seconds-1)
		asked[second]++
		switch {
		case q.onTime():
			r.OnTime += 1 / all
			onTime[second]++
		case q.state == whole:
			r.Late += 1 / all
		case q.state == refused:
			r.Refused += 1 / all
		default:
			r.Left += 1 / all
		}
	}
	r.Seconds = make([]float64, seconds)
	for i := range r.Seconds {
		r.Seconds[i] = onTime[i] / max(asked[i], 1)
	}
	r.Skews = make([]float64, seconds)
	passes := make([]float64, seconds)
	var values []float64
	for _, s := range w.skews {
		if s.at >= w.settings.Length {
			break
		}
		values = append(values, s.value)
		r.Skew += s.value
		r.Skews[int(s.at/time.Second)] += s.value
		passes[int(s.at/time.Second)]++
	}
	for i := range r.Skews {
		r.Skews[i] /= max(passes[i], 1)
	}
	if len(values) > 0 {
		r.Skew /= float64(len(values))
		slices.Sort(values)
		r.SkewHigh = values[len(values)*95/100]
	}
	return r
}

// Mean plays the same settings with several seeds and returns the means.
func Mean(s Settings, seeds int) Result {
	var sum Result
	part := 1 / float64(seeds)
	for seed := range seeds {
		r := Run(s, uint64(seed))
		sum.Asked += r.Asked
		sum.OnTime += r.OnTime * part
		sum.Late += r.Late * part
		sum.Refused += r.Refused * part
		sum.Left += r.Left * part
		sum.Skew += r.Skew * part
		sum.SkewHigh += r.SkewHigh * part
		sum.Changes += r.Changes
		sum.Copied += r.Copied
		sum.Seconds, sum.Skews = plus(sum.Seconds, r.Seconds, part), plus(sum.Skews, r.Skews, part)
	}
	sum.Asked /= seeds
	sum.Changes /= seeds
	sum.Copied /= seeds
	return sum
}

func plus(sum, values []float64, part float64) []float64 {
	if sum == nil {
		sum = make([]float64, len(values))
	}
	for i, v := range values {
		sum[i] += v * part
	}
	return sum
}
