package elmlockstep

import (
	"math"
	"math/rand/v2"
)

// Shape of the site that is modelled, as its sheet states it.
const (
	ranks   = 12
	slots   = 12
	sets    = 4
	experts = 72
	places  = 8
	spare   = 3
	topics  = 9
	// common is the part of the choice of experts that all topics share.
	common = 0.65
	// steepness of the popularity of experts, fitted so that the first map has
	// the peak that the users' bench shows: 3.2 to 3.4 times the mean.
	steepness = 1.4
	// shiftShare is the part of the popularity that moves to other experts when
	// demand shifts.
	shiftShare = 0.6
)

// demand is how the requests of each topic choose experts: [topic][set][expert],
// 1 in sum for each set.
type demand [topics][sets][]float64

func newDemand(random *rand.Rand) demand {
	var d demand
	for s := range sets {
		all := popularity(random)
		for t := range topics {
			own := popularity(random)
			d[t][s] = make([]float64, experts)
			for e := range experts {
				d[t][s][e] = common*all[e] + (1-common)*own[e]
			}
		}
	}
	return d
}

func popularity(random *rand.Rand) []float64 {
	weights, sum := make([]float64, experts), 0.0
	for place, e := range random.Perm(experts) {
		weights[e] = math.Pow(float64(place+1), -steepness)
		sum += weights[e]
	}
	for e := range weights {
		weights[e] /= sum
	}
	return weights
}

// shift moves a part of the popularity to other experts.
func (d *demand) shift(random *rand.Rand) {
	next := newDemand(random)
	for t := range topics {
		for s := range sets {
			for e := range experts {
				d[t][s][e] = (1-shiftShare)*d[t][s][e] + shiftShare*next[t][s][e]
			}
		}
	}
}
