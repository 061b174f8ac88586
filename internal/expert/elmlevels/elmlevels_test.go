package elmlevels_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/elmcove/elmcove/internal/expert/elmlevels"
)

// decode returns the counts of a list of up to n.
func decode(levels elmlevels.Levels, n int) []float64 {
	counts := make([]float64, levels.Len(n))
	levels.AddTo(counts)
	return counts
}

// Guards against demand that is lost or shifted by the encoding: the sum over the ranks of
// a group differs little from the true one.
func TestSumsOverRanks(t *testing.T) {
	const experts = 258
	for _, ranks := range []int{12, 32, 129} {
		t.Run(fmt.Sprintf("%d ranks", ranks), func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, uint64(ranks)))
			popularity := make([]float64, experts)
			for e := range popularity {
				popularity[e] = random.ExpFloat64() * 200
			}
			var got, want [experts]float64
			for range ranks {
				counts := make([]int64, experts)
				for e := range counts {
					counts[e] = int64(popularity[e] * random.Float64() * 2)
					want[e] += float64(counts[e])
				}
				for e, n := range decode(elmlevels.Encode(counts, random.Float64), experts) {
					got[e] += n
				}
			}
			difference, total := 0.0, 0.0
			for e := range want {
				difference += math.Abs(got[e] - want[e])
				total += want[e]
			}
			if share := difference / total; share > 0.1 {
				t.Errorf("the sums differ by %.3f", share)
			}
		})
	}
}

// Guards against lists of unusual sizes and values.
func TestDecode(t *testing.T) {
	half := func() float64 { return 0.5 }
	for name, c := range map[string]struct {
		counts []int64
		n      int
		want   []float64
	}{
		"none":        {n: 4},
		"only zeros":  {counts: []int64{0, 0}, n: 2},
		"odd number":  {counts: []int64{15, 0, 7}, n: 3, want: []float64{15, 0, 7}},
		"negative":    {counts: []int64{-4, 30}, n: 2, want: []float64{0, 30}},
		"fewer asked": {counts: []int64{15, 30}, n: 1, want: []float64{16}},
		"more asked":  {counts: []int64{15, 30}, n: 9, want: []float64{16, 30}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := decode(elmlevels.Encode(c.counts, half), c.n); fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
