// Package elmlevels encodes many counts in four bits each. Counts are rounded at random to
// multiples of a unit, so that they are right on average, and sums over many encoded lists
// are close to the sums of the counts.
//
// # Usage
//
//	levels := elmlevels.Encode(counts, rand.Float64)
//	sums := make([]float64, levels.Len(n))
//	levels.AddTo(sums)
package elmlevels

import "slices"

// maxLevel is the highest level.
const maxLevel = 15

// Levels is an encoded list of counts.
type Levels struct {
	// Packed holds two levels in each byte, the first in the upper half.
	Packed []byte
	// Unit is the count of level 1.
	Unit float64
}

// Encode encodes counts. Random returns numbers in [0, 1).
func Encode(counts []int64, random func() float64) Levels {
	if len(counts) == 0 || slices.Max(counts) <= 0 {
		return Levels{}
	}
	l := Levels{Packed: make([]byte, (len(counts)+1)/2), Unit: float64(slices.Max(counts)) / maxLevel}
	for i, n := range counts {
		level := min(byte(float64(max(n, 0))/l.Unit+random()), maxLevel)
		if i%2 == 0 {
			level <<= 4
		}
		l.Packed[i/2] |= level
	}
	return l
}

// Len returns the number of counts in a list of up to n.
func (l Levels) Len(n int) int { return min(n, 2*len(l.Packed)) }

// AddTo adds the counts to sums, which has at most as many.
func (l Levels) AddTo(sums []float64) {
	for i := range sums {
		level := l.Packed[i/2] >> 4
		if i%2 == 1 {
			level = l.Packed[i/2] & maxLevel
		}
		sums[i] += float64(level) * l.Unit
	}
}
