// Package fault holds the faults that a stand-in can be told to show.
package fault

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Plan is what a stand-in is told over its control call. The zero value is health.
type Plan struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Frozen holds every call until it is thawed.
	Frozen bool `json:"frozen"`
	// LoseAnswers is the share of calls that take effect and then fail.
	LoseAnswers float64 `json:"lose_answers"`
	// DelayMs is added to every call.
	DelayMs int `json:"delay_ms"`
	// DropEvents is the share of cache events that are lost.
	DropEvents float64 `json:"drop_events"`
	// Leaving makes an engine refuse new work.
	Leaving bool `json:"leaving"`
	// Crash empties an engine once and cuts its streams.
	Crash bool `json:"crash"`
}

// Switch holds the plan in force. It is safe for concurrent use.
type Switch struct {
	mu   sync.Mutex
	plan Plan
	rng  *rand.Rand
}

// NewSwitch returns a healthy switch whose chances are drawn from seed.
func NewSwitch(seed uint64) *Switch {
	return &Switch{rng: rand.New(rand.NewPCG(seed, 0))}
}

// Plan returns the plan in force.
func (s *Switch) Plan() Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan
}

// Set replaces the plan.
func (s *Switch) Set(p Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = p
}

// Chance draws with probability p.
func (s *Switch) Chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

const thawPoll = 20 * time.Millisecond

// Guard applies Down, Frozen and DelayMs before next.
func (s *Switch) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for s.Plan().Frozen && r.Context().Err() == nil {
			time.Sleep(thawPoll)
		}
		plan := s.Plan()
		time.Sleep(time.Duration(plan.DelayMs) * time.Millisecond)
		if plan.Down {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Control answers PUT with a plan in JSON; then is called after it is in force.
func (s *Switch) Control(then func(Plan)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var p Plan
		if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(p)
		then(p)
		w.WriteHeader(http.StatusNoContent)
	}
}
