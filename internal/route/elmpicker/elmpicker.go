// Package elmpicker chooses the endpoint for a request.
//
// Endpoints in the entry's own data centre are preferred while they have free
// capacity. Among equally preferred endpoints, a hash of the prompt prefix selects the
// one that should have the prefix cached. If that one is much busier than the less
// utilized of two random endpoints, or if there is no prefix, the picker takes the
// latter.
//
// # Usage
//
//	picker := elmpicker.New("worcester", rand.New(rand.NewPCG(1, 2)))
//	chosen, ok := picker.Pick(candidates, prefix)
package elmpicker

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// affinitySlack is how much higher the utilization of the endpoint with the cached prefix
// may be than that of the alternative.
const affinitySlack = 0.25

// tierCount is the number of preference tiers.
const tierCount = 6

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	Agent      string
	Datacentre string
	// Credits is the unused part of the window that the agent granted.
	Credits int
	Running int
	Limit   int
}

// Picker chooses among candidates. It is not safe for concurrent use.
type Picker struct {
	datacentre string
	random     *rand.Rand
}

// New returns a Picker for an entry in a data centre.
func New(datacentre string, random *rand.Rand) *Picker {
	return &Picker{datacentre: datacentre, random: random}
}

// Pick returns the chosen candidate, or false if there is none. The prefix is
// the part of the prompt that the endpoint may have cached.
func (p *Picker) Pick(candidates []Candidate, prefix string) (Candidate, bool) {
	for _, tier := range p.tiers(candidates) {
		if len(tier) > 0 {
			return p.choose(tier, prefix), true
		}
	}
	return Candidate{}, false
}

// tiers sorts the candidates into tiers, the preferred one first: local endpoints with
// credits, local endpoints with free capacity, the same two for remote endpoints, and last
// the endpoints that seem full.
func (p *Picker) tiers(candidates []Candidate) [tierCount][]Candidate {
	var tiers [tierCount][]Candidate
	for _, c := range candidates {
		index := p.tier(c)
		tiers[index] = append(tiers[index], c)
	}
	return tiers
}

func (p *Picker) tier(c Candidate) int {
	local := c.Datacentre == p.datacentre
	switch {
	case local && c.Credits > 0:
		return 0
	case local && c.Running < c.Limit:
		return 1
	case c.Credits > 0:
		return 2
	case c.Running < c.Limit:
		return 3
	case local:
		return 4
	}
	return 5
}

func (p *Picker) choose(tier []Candidate, prefix string) Candidate {
	first := tier[p.random.IntN(len(tier))]
	second := tier[p.random.IntN(len(tier))]
	best := first
	if utilization(second) < utilization(first) {
		best = second
	}
	if prefix == "" {
		return best
	}
	cached := rendezvous(tier, prefix)
	if utilization(cached) <= utilization(best)+affinitySlack {
		return cached
	}
	return best
}

// rendezvous returns the candidate with the highest rendezvous hash for a prefix.
func rendezvous(tier []Candidate, prefix string) Candidate {
	best := tier[0]
	var bestHash uint64
	for _, c := range tier {
		hash := xxhash.Sum64String(c.Agent + "\x00" + prefix)
		if hash >= bestHash {
			best, bestHash = c, hash
		}
	}
	return best
}

// utilization returns the used fraction of a candidate's limit.
func utilization(c Candidate) float64 {
	if c.Limit == 0 {
		return 1
	}
	return float64(c.Running) / float64(c.Limit)
}
