// Package retry bounds how often requests are sent to a backend server again, so
// that repeats cannot multiply an overload.
package retry

import (
	"sync"
	"time"
)

// slices is the number of slices of a window. Repeats are counted in one slice
// more than a window has, and requests only in those that surely lie within it.
const slices = 20

// ratioMargin keeps a part of the ratio for requests that other hosts count in
// another window.
const ratioMargin = 0.8

// Budget bounds the repeats to each service. The hosts share one bound without
// asking each other: each spends the ratio of its own requests and an equal part
// of the slack. It is safe for concurrent use.
type Budget struct {
	ratio  float64
	window time.Duration

	mu       sync.Mutex
	slack    float64
	services map[string]*counter
	started  time.Time
}

type counter struct {
	slots [slices + 1]slot
}

type slot struct {
	number   int64
	requests int
	repeats  int
}

// NewBudget returns a budget. Slack is the number of repeats in a window beyond
// the ratio, over all hosts.
func NewBudget(ratio float64, window time.Duration, slack float64, hosts int, now time.Time) *Budget {
	b := &Budget{ratio: ratio * ratioMargin, window: window, services: map[string]*counter{}, started: now}
	b.SetHosts(slack, hosts)
	return b
}

// SetHosts takes the number of hosts that share the slack.
func (b *Budget) SetHosts(slack float64, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack / float64(max(1, hosts))
}

// Request counts a caller's request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(service, now).requests++
}

// Take takes one repeat and reports whether there was one left.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slot(service, now)
	requests, repeats := b.sum(service, s.number)
	if float64(repeats+1) > b.ratio*float64(requests)+b.slack {
		return false
	}
	s.repeats++
	return true
}

func (b *Budget) slot(service string, now time.Time) *slot {
	c := b.services[service]
	if c == nil {
		c = &counter{}
		b.services[service] = c
	}
	number := int64(max(0, now.Sub(b.started)) / (b.window / slices))
	s := &c.slots[number%int64(len(c.slots))]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

func (b *Budget) sum(service string, number int64) (requests, repeats int) {
	for _, s := range b.services[service].slots {
		if number-s.number < slices {
			requests += s.requests
		}
		if number-s.number <= slices {
			repeats += s.repeats
		}
	}
	return requests, repeats
}
