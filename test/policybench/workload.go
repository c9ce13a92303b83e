package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/briarlink/briarlink/internal/prefix"
)

// Shape is the size of one deployment, after the brief.
type Shape struct {
	Name     string
	Replicas int
	Routers  int
	// CachePieces is what one replica can hold.
	CachePieces int
	// Prefill is the time to compute one piece.
	Prefill time.Duration
	// Levels are the pieces of institution, case and history.
	Levels [3]int
	// Cases is the number of cases of the largest organisation.
	Cases int
	// Quick is the share of look-ups, which read institution and case only.
	Quick float64
	// RecomputeWeight is the deployment's setting.
	RecomputeWeight float64
	// BorrowWait is the deployment's setting.
	BorrowWait time.Duration
	// Load is the offered load as a share of what the replicas carry in the
	// steady case under the oracle.
	Load float64
}

var shapes = []Shape{
	{
		Name: "taller", Replicas: 12, Routers: 8, CachePieces: 300, Prefill: 40 * time.Millisecond,
		Levels: [3]int{6, 12, 24}, Cases: 60, Quick: 0.4, RecomputeWeight: 0.8, BorrowWait: 400 * time.Millisecond, Load: 0.65,
	},
	{
		Name: "utility", Replicas: 9, Routers: 8, CachePieces: 200, Prefill: 25 * time.Millisecond,
		Levels: [3]int{3, 6, 10}, Cases: 80, Quick: 0.7, RecomputeWeight: 0.5, BorrowWait: 100 * time.Millisecond, Load: 0.6,
	},
}

const (
	organisations = 8
	// heat is the exponent of the Zipf law over organisations and cases.
	heat = 0.9
	// floodOrganisation is the one that floods; it is among the small ones.
	floodOrganisation = 6
	floodFactor       = 10
)

// arrival is one request of a workload.
type arrival struct {
	at           time.Duration
	organisation int
	chain        []prefix.Hash
	// pieces is the length, the unshared tail included.
	pieces float64
	router int
}

// workload draws the requests of a run.
type workload struct {
	shape *Shape
	rng   *rand.Rand
	// order maps a rank of heat to a case; a shift of heat permutes it.
	order []int
	orgs  []float64
	cases []float64
}

func newWorkload(shape *Shape, seed uint64) *workload {
	w := &workload{shape: shape, rng: rand.New(rand.NewPCG(seed, 1))}
	w.orgs, w.cases = zipf(organisations), zipf(shape.Cases)
	w.shift()
	return w
}

// zipf returns the cumulated weights of n ranks.
func zipf(n int) []float64 {
	sum, out := 0.0, make([]float64, n)
	for i := range out {
		sum += 1 / math.Pow(float64(i+1), heat)
		out[i] = sum
	}
	return out
}

func (w *workload) rank(cumulated []float64) int {
	x := w.rng.Float64() * cumulated[len(cumulated)-1]
	for i, c := range cumulated {
		if x < c {
			return i
		}
	}
	return len(cumulated) - 1
}

// shift makes other cases hot.
func (w *workload) shift() { w.order = w.rng.Perm(w.shape.Cases) }

// share is an organisation's part of the traffic.
func (w *workload) share(organisation int) float64 {
	before := 0.0
	if organisation > 0 {
		before = w.orgs[organisation-1]
	}
	return (w.orgs[organisation] - before) / w.orgs[organisations-1]
}

// next draws a request of any organisation.
func (w *workload) next(at time.Duration) *arrival { return w.of(at, w.rank(w.orgs)) }

// of draws a request of one organisation.
func (w *workload) of(at time.Duration, organisation int) *arrival {
	theCase := w.order[w.rank(w.cases)]
	levels := w.shape.Levels
	pieces := levels[0] + levels[1]
	if w.rng.Float64() >= w.shape.Quick {
		pieces += levels[2]
	}
	a := &arrival{at: at, organisation: organisation, pieces: float64(pieces) + w.rng.Float64()}
	for i := range pieces {
		name := uint64(organisation+1)<<48 | uint64(i)
		if i >= levels[0] {
			name |= uint64(theCase+1) << 24
		}
		a.chain = append(a.chain, prefix.Hash(mix(name)))
	}
	// Callers ask which host to use with the case as hint, and so come to one.
	a.router = int(mix(uint64(organisation)<<32|uint64(theCase)) % uint64(w.shape.Routers))
	return a
}

// mix spreads a name over 64 bits (the finaliser of SplitMix64, Steele 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// gap draws the time to the next of a Poisson stream of arrivals.
func gap(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}
