// Package fairshare divides the capacity of a service between organisations while it is short.
//
// Each host decides alone, from its own requests and from what other hosts last reported of theirs.
// The capacity is what servers answered to all hosts in a second, so neither it nor the shares depend
// on the number of hosts: a host that knows only some of the others sees a smaller capacity, and the
// same proportions. What a request costs is up to the caller of this package.
package fairshare

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// shortTime is how long a service counts as short of capacity after servers rejected a request, or
	// a host refused one because of its expected time.
	shortTime = time.Second
	// reportTime is how long after a shortage hosts go on to report demand, so that the figures are
	// there when it comes back.
	reportTime = 5 * time.Second
	// burstSeconds is the size of an organisation's bucket, in seconds of its rate.
	burstSeconds = 0.25
	// reservedShare is the share of a bucket that requests of less urgent routes leave, or half of it
	// if they come back.
	reservedShare = 0.5
	// repayTime is the time constant with which urgent requests are charged to the bucket of the less urgent
	// ones. Charged at once, a large urgent request would leave servers idle. The debt is limited to the bucket's
	// rate over the same time.
	repayTime = 2 * time.Second
	// urgencyTime is the time over which the urgent part of an organisation's demand is averaged. One host of
	// many gets a large urgent request once in some seconds only.
	urgencyTime = 10 * time.Second
	// planAge is the age at which the shares of a service are calculated again. It is much shorter
	// than the interval of reports, and limits the cost for a busy host.
	planAge = 25 * time.Millisecond
	// accountTime is the time without requests after which an organisation's account is dropped.
	accountTime = 10 * time.Second
)

// Request is what the admission of a request depends on.
type Request struct {
	Service string
	// Organisation is "" for requests without one, which are counted together.
	Organisation string
	Cost         float64
	// Urgent is set for the most urgent route of the service.
	Urgent bool
	// Digest is equal for all attempts of the caller.
	Digest   uint64
	Deadline time.Time
	// The rest is needed by AwaitRoom only. Above is that of the decision on the request. Target is the
	// time at which its latency target passes, and Expected how long its answer takes once it is sent.
	Above         bool
	LatencyTarget time.Duration
	Target        time.Time
	Expected      time.Duration
}

// Decision is the outcome of an admission check.
type Decision struct {
	Admitted bool
	// Returned is set if some host refused the request for want of capacity, and its caller came back.
	Returned bool
	// Above is set if the organisation is above its share; for an urgent request, if its urgent ones alone
	// are. The request is then not to wait for room.
	Above bool
	// RetryAfter is how long the caller of a refused request should wait. Share is the cost per second
	// that the organisation gets of all hosts together, Offered what it sends, and Capacity what all
	// organisations get.
	RetryAfter               time.Duration
	Share, Offered, Capacity float64
}

// Table has the demand of the services at one host. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	rng      *rand.Rand
	services map[uint32]*service
	peers    map[string]*peer
	refused  refusals
}

// NewTable returns an empty table. The seed decides the jitter of Retry-After.
func NewTable(seed uint64) *Table {
	return &Table{
		rng: rand.New(rand.NewPCG(seed, seed)), services: map[uint32]*service{}, peers: map[string]*peer{}, refused: newRefusals(),
	}
}

// service is the demand for one service at this host.
type service struct {
	name string
	// served has the cost of the requests that servers answered, admitted the number of those that
	// this host admitted.
	served, admitted window
	accounts         map[uint64]*account
	// lastShort is when the service was last short at this host, or zero.
	lastShort time.Time
	plan      plan
	// waiting is the number of requests that wait for room at this host, and lastWait when one last began
	// to. fullUntil is until when no room is expected at a server that rejected a request, by its ID.
	waiting   int
	lastWait  time.Time
	fullUntil map[string]time.Time
	// owed is the cost of requests below their share that this host admitted, but for which no server had
	// room. As much of what is above its share is refused instead: the part that is admitted beyond the
	// capacity would otherwise displace requests of all organisations alike.
	owed float64
	// nextReturn is when the last refused caller was asked to come back.
	nextReturn time.Time
	// inEpisode is set while the service counts as short for the log. The rest counts requests since
	// the last status, and in the episode.
	inEpisode                      bool
	refused, returned              int64
	episodeRefused, episodeReturns int64
}

// account is the demand of one organisation for a service at this host, and its token bucket.
type account struct {
	offered, requests window
	// recent is the cost of the requests of about urgencyTime, and recentUrgent that of the urgent ones among
	// them: each request counts for less, exponentially, the longer ago it arrived.
	recent, recentUrgent float64
	lastSeen             time.Time
	// limited is set while the organisation is above its share. level is how much the bucket holds;
	// it is negative after a large request.
	limited bool
	level   float64
	// urgentDebt is the cost of urgent requests within the share that is not yet charged to the bucket.
	urgentDebt float64
	updated    time.Time
}

func serviceKey(name string) uint32 { return uint32(xxh3.HashString(name)) }

func organisationKey(name string) uint64 {
	if name == "" {
		return 0
	}
	return xxh3.HashString(name)
}

func (t *Table) service(name string) *service {
	key := serviceKey(name)
	s := t.services[key]
	if s == nil {
		s = &service{name: name, accounts: map[uint64]*account{}, fullUntil: map[string]time.Time{}}
		t.services[key] = s
	}
	return s
}

// Arrived counts a request without deciding on its admission, such as one that another host passed on,
// and reports whether its organisation is above its share, or its urgent requests alone for an urgent one.
func (t *Table) Arrived(r Request, now time.Time) (above bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, a := t.count(r, now)
	if !t.short(s, now) {
		return false
	}
	p := t.currentPlan(s, now)
	total := a.offered.perSecond(now) + p.others[organisationKey(r.Organisation)]
	return total > p.level && !a.urgentWithin(r, total, p)
}

func (t *Table) count(r Request, now time.Time) (*service, *account) {
	s := t.service(r.Service)
	key := organisationKey(r.Organisation)
	a := s.accounts[key]
	if a == nil {
		a = &account{}
		s.accounts[key] = a
	}
	a.offered.add(r.Cost, now)
	a.requests.add(1, now)
	decay := math.Exp(-max(0, now.Sub(a.lastSeen).Seconds()) / urgencyTime.Seconds())
	a.recent = a.recent*decay + r.Cost
	a.recentUrgent *= decay
	if r.Urgent {
		a.recentUrgent += r.Cost
	}
	a.lastSeen = now
	return s, a
}

// Admit counts a request that has arrived, and decides whether it may be sent to a server. A refused
// one is remembered by its digest.
func (t *Table) Admit(r Request, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, a := t.count(r, now)
	d := Decision{Returned: t.refused.take(r.Digest, now)}
	d.Admitted = t.hasRoom(s, a, r, &d, now)
	switch {
	case !d.Admitted:
		d.RetryAfter = t.refuse(s, r, now)
	default:
		s.admitted.add(1, now)
		if d.Returned {
			s.returned++
			s.episodeReturns++
		}
	}
	return d
}

// hasRoom reports whether the organisation's share has room for a request, and charges it.
func (t *Table) hasRoom(s *service, a *account, r Request, d *Decision, now time.Time) bool {
	if !t.short(s, now) {
		a.limited = false
		s.owed = 0
		return true
	}
	p := t.currentPlan(s, now)
	key := organisationKey(r.Organisation)
	own := a.offered.perSecond(now)
	total := own + p.others[key]
	d.Share, d.Offered, d.Capacity = p.level, total, p.capacity
	if total <= p.level {
		a.limited = false
		return true
	}
	rate := p.level * own / total
	if kept, isKept := p.kept[key]; isKept {
		rate = min(rate, kept)
	}
	a.refill(rate, now)
	if a.urgentWithin(r, total, p) && a.urgentDebt < rate*repayTime.Seconds() {
		a.urgentDebt += r.Cost * p.overcommit
		return true
	}
	d.Above = true
	if !a.take(r, rate, d.Returned) {
		return false
	}
	if s.owed >= r.Cost {
		// The bucket stays charged: the next request would otherwise be admitted instead.
		s.owed -= r.Cost
		return false
	}
	return true
}

// urgentWithin reports whether a request is urgent, and the urgent ones of its organisation alone are within
// its share. Hosts report demand without its urgency, so that the urgent part of this host's demand stands
// for that of all hosts'.
func (a *account) urgentWithin(r Request, total float64, p *plan) bool {
	return r.Urgent && total*a.recentUrgent <= p.urgentLevel*a.recent
}

// refill adds to the bucket what the rate gives since the last request, less what is charged for urgent
// requests.
func (a *account) refill(rate float64, now time.Time) {
	size := a.bucketSize(rate)
	elapsed := now.Sub(a.updated)
	added := rate * elapsed.Seconds()
	// The debt is kept while the organisation is not above its share: a shortage may pause for moments.
	repaid := min(added, a.urgentDebt*(1-math.Exp(-elapsed.Seconds()/repayTime.Seconds())))
	a.urgentDebt -= repaid
	if a.limited {
		a.level = min(size, a.level+added-repaid)
	} else {
		a.limited, a.level = true, size
	}
	a.updated = now
}

// bucketSize returns how much the bucket holds: burstSeconds of its rate, or a request of the mean size.
func (a *account) bucketSize(rate float64) float64 {
	return max(rate*burstSeconds, a.offered.total()/max(1, a.requests.total()))
}

// take charges a request to the bucket, unless it has no room. However large a request is, it is
// admitted above the threshold: what it takes beyond that is missing afterwards.
func (a *account) take(r Request, rate float64, returned bool) bool {
	if a.level <= threshold(r, a.bucketSize(rate), returned) {
		return false
	}
	a.level -= r.Cost
	return true
}

// threshold returns the level of a bucket of a size above which a request is admitted. Less urgent
// requests that come back leave a part of the bucket too: with more of them than there is capacity
// for, urgent ones would otherwise find it overdrawn.
func threshold(r Request, size float64, returned bool) float64 {
	switch {
	case r.Urgent && returned:
		return -max(size, r.Cost)
	case r.Urgent:
		return 0
	case returned:
		return size * reservedShare / 2
	default:
		return size * reservedShare
	}
}

// Answered counts a request that a server has answered.
func (t *Table) Answered(service string, cost float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(service).served.add(cost, now)
}

// MarkShort records that the service is short of capacity: this host refused a request because of its
// expected time, or no server had room for one.
func (t *Table) MarkShort(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(service).lastShort = now
}

// minRejections is how many servers must reject the same request for it to be a sign of a shortage. One
// server that rejects everything would otherwise make organisations share a capacity that is not short.
const minRejections = 2

// Rejected records that a server, one of several, rejected a request as the count-th server that did, and
// reports whether the service is short of capacity therefore.
func (t *Table) Rejected(r Request, server string, count, servers int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(r.Service)
	t.markFull(s, r, server, servers, now)
	if count < minRejections {
		return false
	}
	s.lastShort = now
	return true
}

// Refuse remembers an admitted request that was refused for want of capacity after all, and returns
// its Retry-After.
func (t *Table) Refuse(r Request, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(r.Service)
	// Urgent requests of an organisation above its share are charged to its own bucket, not to other organisations.
	if a := s.accounts[organisationKey(r.Organisation)]; !r.Above && (a == nil || !a.limited) && t.short(s, now) {
		s.owed = min(max(r.Cost, burstSeconds*s.served.perSecond(now)), s.owed+r.Cost)
	}
	return t.refuse(s, r, now)
}

// sinceShort returns the time since the service was last short at any host, as far as is known.
func (t *Table) sinceShort(s *service, now time.Time) time.Duration {
	last := s.lastShort
	key := serviceKey(s.name)
	for _, p := range t.peers {
		if report, known := p.services[key]; known && report.shortAt.After(last) {
			last = report.shortAt
		}
	}
	if last.IsZero() {
		return unknownTime
	}
	return now.Sub(last)
}

// unknownTime stands for a time that is not known, or an event that has not happened.
const unknownTime = 24 * time.Hour

func (t *Table) short(s *service, now time.Time) bool { return t.sinceShort(s, now) < shortTime }
