// Package retry limits how often requests are retried at backend servers, so that retries cannot
// amplify an overload.
package retry

import (
	"sync"
	"time"
)

const (
	// bucketsPerWindow is the number of time buckets of a window. The window does not end at the boundary of a
	// bucket, so that the slack counts as spent for one bucket more than a window has.
	bucketsPerWindow = 20
	// creditBuckets is the number of buckets for which a request funds retries, and creditShare the share of the
	// ratio by which it does. Whichever hosts callers move to, the retries of all hosts within a window are
	// funded by the requests of that window and of creditBuckets before it: 1.5 windows at 2/3 of the ratio.
	creditBuckets = bucketsPerWindow / 2
	creditShare   = 2.0 / 3
)

// roundingError is what sums of fractions of a retry may lack.
const roundingError = 1e-9

// Budget limits the retries to each service. All hosts together keep within one limit without
// coordination: each host may retry by the credit of its own recent requests, plus an equal share of the slack.
// It is safe for concurrent use.
type Budget struct {
	// credit is the part of a retry that a request funds.
	credit float64
	window time.Duration

	mu       sync.Mutex
	slack    float64
	services map[string]*counter
	started  time.Time
}

// counter holds the counts of one service in a ring of buckets.
type counter struct {
	buckets [bucketsPerWindow + 1]bucket
}

type bucket struct {
	// number is the index of the bucket since the start of the budget.
	number int64
	// credit is what is left of the credit of the bucket's requests, slackSpent what retries in it took from the
	// slack.
	credit     float64
	slackSpent float64
}

// NewBudget returns a budget that allows at most ratio retries per request in each window, plus
// slack, a number of retries that all hosts share.
func NewBudget(ratio float64, window time.Duration, slack float64, hosts int, now time.Time) *Budget {
	b := &Budget{credit: ratio * creditShare, window: window, services: map[string]*counter{}, started: now}
	b.SetHosts(slack, hosts)
	return b
}

// SetHosts sets the slack of all hosts together and the number of hosts that share it.
func (b *Budget) SetHosts(slack float64, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack / float64(max(1, hosts))
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(service, now).credit += b.credit
}

// WithdrawRequest undoes RecordRequest for a request that another host counts.
func (b *Budget) WithdrawRequest(service string, recordedAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	number := b.number(recordedAt)
	if c := b.services[service]; c != nil {
		if s := &c.buckets[number%int64(len(c.buckets))]; s.number == number {
			s.credit -= b.credit
		}
	}
}

// number returns the index of the bucket of a time since the start of the budget.
func (b *Budget) number(at time.Time) int64 {
	return int64(max(0, at.Sub(b.started)) / (b.window / bucketsPerWindow))
}

// Allow reports whether a retry is within the budget, and charges it if so: to the credit first, as that is lost
// sooner.
func (b *Budget) Allow(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(service, now)
	c := b.services[service]
	credit, slackSpent := c.sum(current.number)
	if credit+max(0, b.slack-slackSpent) < 1-roundingError {
		return false
	}
	fromCredit := max(0, min(1, credit))
	c.takeCredit(fromCredit, current.number)
	current.slackSpent += 1 - fromCredit
	return true
}

func (b *Budget) bucket(service string, now time.Time) *bucket {
	c := b.services[service]
	if c == nil {
		c = &counter{}
		b.services[service] = c
	}
	number := b.number(now)
	s := &c.buckets[number%int64(len(c.buckets))]
	if s.number != number {
		*s = bucket{number: number}
	}
	return s
}

// sum returns the credit that is left and what was spent of the slack, as of a bucket.
func (c *counter) sum(number int64) (credit, slackSpent float64) {
	for _, s := range c.buckets {
		if number-s.number < creditBuckets {
			credit += s.credit
		}
		if number-s.number <= bucketsPerWindow {
			slackSpent += s.slackSpent
		}
	}
	return credit, slackSpent
}

// takeCredit takes an amount from the credit that is left, the oldest first.
func (c *counter) takeCredit(amount float64, number int64) {
	for age := int64(creditBuckets - 1); age >= 0 && amount > 0; age-- {
		at := number - age
		if at < 0 {
			continue
		}
		if s := &c.buckets[at%int64(len(c.buckets))]; s.number == at && s.credit > 0 {
			taken := min(amount, s.credit)
			s.credit -= taken
			amount -= taken
		}
	}
}
