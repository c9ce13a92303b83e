package schedule

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/internal/route"
)

const (
	// smallPrompt is the largest prompt, in tokens, that an engine reads in one
	// step; larger ones make those behind them wait.
	smallPrompt = 2048
	// laneMemory is the time constant of the demand that sizes the lane.
	laneMemory = 10 * time.Second
	// laneRoom is how much more room the lane has than small prompts fill on
	// average.
	laneRoom = 1.3
	// lanePrior is the share of small prompts, by tokens, before any was seen, and
	// lanePriorTokens its weight.
	lanePrior       = 0.25
	lanePriorTokens = 50_000
	// leastForLane is the number of replicas from which a lane is kept.
	leastForLane = 3
)

// lanes sizes the part of a service's replicas that large prompts avoid, so that
// small ones find a replica that is not reading. It is safe for concurrent use.
type lanes struct {
	mu    sync.Mutex
	small float64
	large float64
	last  time.Time
}

// note counts a request's tokens to read.
func (l *lanes) note(prompt, tokens int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() {
		decay := math.Exp(-float64(now.Sub(l.last)) / float64(laneMemory))
		l.small *= decay
		l.large *= decay
	}
	l.last = now
	if prompt <= smallPrompt {
		l.small += float64(tokens)
	} else {
		l.large += float64(tokens)
	}
}

// share returns the part of all tokens that belongs to small prompts.
func (l *lanes) share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return (l.small + lanePrior*lanePriorTokens) / (l.small + l.large + lanePriorTokens)
}

// mark marks the replicas of the lane among those that can be used.
func (l *lanes) mark(candidates []route.Candidate) {
	var usable []*route.Candidate
	for i := range candidates {
		if candidates[i].Usable && !candidates[i].Loading {
			usable = append(usable, &candidates[i])
		}
	}
	if len(usable) < leastForLane {
		return
	}
	size := int(math.Round(float64(len(usable)) * l.share() * laneRoom))
	size = min(max(1, size), len(usable)/2)
	sort.Slice(usable, func(i, j int) bool {
		return xxh3.HashString(usable[i].ID) < xxh3.HashString(usable[j].ID)
	})
	for _, c := range usable[:size] {
		c.Lane = true
	}
}
