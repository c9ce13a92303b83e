// Package limit admits requests: per-organisation rates shared by all entry
// hosts without a coordinator, and retry budgets.
package limit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/errkind"
)

const (
	// demandWindow is the time constant of the demand estimate.
	demandWindow = time.Second
	// leastDemand is the smallest demand worth telling, in units a second.
	leastDemand = 0.01
	// evenPart of an organisation's limit is split evenly over the hosts, so
	// that a host without demand so far can admit its first requests.
	evenPart = 0.05
	// ceilingSeconds of a host's share of the ceiling may be admitted at once, and
	// guaranteeSeconds of the whole guarantee: a host sees an organisation's long
	// prompts seldom, and many units at a time, so a bucket of its share alone
	// would overflow between them.
	ceilingSeconds   = 1.0
	guaranteeSeconds = 2.0
	// minBurst admits one ordinary request however small the share is.
	minBurst = 64
)

// Class says under which right a request was admitted.
type Class int

// Classes of admission.
const (
	// Guaranteed is within the organisation's guarantee.
	Guaranteed Class = iota
	// Borrowed is beyond it: admitted only while there is room.
	Borrowed
)

// Limiter enforces this host's share of every organisation's limit. Each host
// tells its peers the demand it sees; a host's share is its part of the demand.
// It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	orgs  map[string]*orgState
	hosts int
}

type orgState struct {
	limit      *pb.RateLimit
	guaranteed *rate.Limiter
	ceiling    *rate.Limiter
	// tuned is false until the buckets follow the limit.
	tuned  bool
	demand float64
	seen   time.Time
	// told is the demand that the peers were told last.
	told float64
	// others is the demand that peers reported, by host.
	others map[string]float64
}

// NewLimiter returns a limiter for a site of one host.
func NewLimiter() *Limiter { return &Limiter{orgs: map[string]*orgState{}, hosts: 1} }

// SetHosts takes the number of serving hosts.
func (l *Limiter) SetHosts(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = max(1, n)
}

// Configure sets an organisation's limit, which may be nil.
func (l *Limiter) Configure(organisation string, limit *pb.RateLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.org(organisation)
	o.limit = limit
	o.tuned = false
}

func (l *Limiter) org(id string) *orgState {
	o := l.orgs[id]
	if o == nil {
		o = &orgState{others: map[string]float64{}}
		l.orgs[id] = o
	}
	return o
}

// Admit admits a request of the given cost or fails with RateLimited.
func (l *Limiter) Admit(organisation string, cost float64, now time.Time) (Class, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.org(organisation)
	o.observe(cost, now)
	if !o.tuned {
		l.retune(o, now)
	}
	n := int(math.Ceil(cost))
	if o.limit.GetCeilingPerSecond() > 0 && !takes(o.ceiling, n, now) {
		return Borrowed, errkind.New(errkind.RateLimited, "the organisation is over its ceiling")
	}
	if o.limit.GetGuaranteedPerSecond() > 0 && takes(o.guaranteed, n, now) {
		return Guaranteed, nil
	}
	return Borrowed, nil
}

// takes withdraws n tokens, or the whole burst for a request larger than it.
func takes(b *rate.Limiter, n int, now time.Time) bool {
	return b.AllowN(now, min(n, b.Burst()))
}

// observe adds to an exponentially weighted rate of offered cost.
func (o *orgState) observe(cost float64, now time.Time) {
	o.demand = o.demandAt(now) + cost/demandWindow.Seconds()
	o.seen = now
}

func (o *orgState) demandAt(now time.Time) float64 {
	return o.demand * math.Exp(-now.Sub(o.seen).Seconds()/demandWindow.Seconds())
}

// retune sets both buckets to this host's share.
func (l *Limiter) retune(o *orgState, now time.Time) {
	o.tuned = true
	share := l.share(o)
	guaranteed, ceiling := o.limit.GetGuaranteedPerSecond(), o.limit.GetCeilingPerSecond()
	o.guaranteed = tuned(o.guaranteed, guaranteed*share, guaranteed*guaranteeSeconds, now)
	o.ceiling = tuned(o.ceiling, ceiling*share, ceiling*share*ceilingSeconds, now)
}

// tuned returns b at a new rate; a bucket that does not exist yet starts full.
func tuned(b *rate.Limiter, perSecond, atOnce float64, now time.Time) *rate.Limiter {
	burst := int(max(minBurst, atOnce))
	if b == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	b.SetLimitAt(now, rate.Limit(perSecond))
	b.SetBurstAt(now, burst)
	return b
}

// share is this host's part of what all hosts told each other. Every host counts
// with the same figures, its own as told and not as they are now, so that the
// shares add up to one: right after a request a host's own demand is at its peak.
func (l *Limiter) share(o *orgState) float64 {
	even := 1 / float64(l.hosts)
	total := o.told
	for _, d := range o.others {
		total += d
	}
	if total <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*o.told/total
}

// Demand returns what this host tells its peers, and takes on the shares that
// follow from what all hosts told. Call it once each heartbeat.
func (l *Limiter) Demand(now time.Time) []*pb.DemandEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*pb.DemandEntry
	for id, o := range l.orgs {
		o.told = o.demandAt(now)
		l.retune(o, now)
		if o.told > leastDemand {
			out = append(out, &pb.DemandEntry{Organisation: id, PerSecond: o.told})
		}
	}
	return out
}

// Heard takes a peer's demand in place of what it said before.
func (l *Limiter) Heard(host string, demand []*pb.DemandEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.orgs {
		delete(o.others, host)
	}
	for _, d := range demand {
		l.org(d.Organisation).others[host] = d.PerSecond
	}
}

// Forget drops what a dead host said.
func (l *Limiter) Forget(host string) { l.Heard(host, nil) }
