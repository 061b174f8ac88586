package elmlockstep

import (
	"math"
	"math/rand/v2"
)

// Shape of the modelled site, from its data sheet.
const (
	ranks = 12
	slots = 12
	// sets is the number of sets of layers. Each has its own experts.
	sets    = 4
	experts = 72
	// expertSlots is the number of experts that a rank can hold in each set.
	expertSlots = 8
	// maxNewExperts is the maximum number of new experts that a rank can receive in
	// each set in one rollout.
	maxNewExperts = 3
	// topics is the number of kinds of requests that differ in their choice of experts.
	topics = 9
	// commonShare is the share of the choice of experts that all topics have in common.
	commonShare = 0.65
	// zipfExponent is the exponent of the Zipf distribution of expert popularity. With
	// it the first map has the peak of the users' bench: 3.2 to 3.4 times the mean.
	zipfExponent = 1.4
	// shiftShare is the share of the popularity that moves to other experts in a
	// demand shift.
	shiftShare = 0.6
)

// demand holds the probability with which a token chooses an expert, indexed
// [topic][set][expert]. The probabilities of a set sum to 1.
type demand [topics][sets][]float64

func newDemand(random *rand.Rand) demand {
	var d demand
	for s := range sets {
		all := popularity(random)
		for t := range topics {
			own := popularity(random)
			d[t][s] = make([]float64, experts)
			for e := range experts {
				d[t][s][e] = commonShare*all[e] + (1-commonShare)*own[e]
			}
		}
	}
	return d
}

// popularity draws a Zipf distribution over the experts in random order.
func popularity(random *rand.Rand) []float64 {
	weights, sum := make([]float64, experts), 0.0
	for position, e := range random.Perm(experts) {
		weights[e] = math.Pow(float64(position+1), -zipfExponent)
		sum += weights[e]
	}
	for e := range weights {
		weights[e] /= sum
	}
	return weights
}

// shift moves shiftShare of the popularity to other experts.
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
