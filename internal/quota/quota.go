// Package quota enforces the rate limits of organisations across all hosts, without asking another
// host before a request is admitted.
//
// Each host keeps a leaky bucket per organisation. The cost of every request that it admits is
// added to the level of the bucket, and so is the usage that other hosts report; the bucket drains
// at the rate of the limit. Requests are refused while the bucket is full. Usage is reported with
// each heartbeat, so a bucket misses what other hosts admitted during about the last heartbeat
// interval. The tolerance that operators grant on a limit (Terms) covers this, the requests that
// hosts on different sides of a network partition admit, and the usage that is lost when a whole
// fleet loses power.
//
// Another host is reachable while its heartbeats arrive, with gaps of at most freshIntervals
// heartbeat intervals. A host that cannot reach some of the others drains its buckets more slowly,
// in proportion, because the unreachable hosts may still admit requests.
package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/internal/config"
)

// Terms define how precisely limits are enforced, over all hosts together.
type Terms struct {
	// Window is the time span over which usage is compared with a limit.
	Window time.Duration
	// Over and Slack are the usage that may be admitted in a window beyond the limit: Over as a
	// fraction of what the limit allows in a window, Slack in the unit of the limit.
	Over  float64
	Slack float64
}

// Fractions of the tolerance, each reserved for one source of excess usage. Together they leave a
// third for usage that a killed host had not reported yet, for large requests that several hosts
// admit at once, and for requests that wait at a host before they are sent and may arrive in
// another window. With a partitionShare of 0.3 and a burstShare of 0.25, a few of ten thousand
// random schedules of partitions and kills exceeded the limit and its tolerance by up to 1.4 %.
const (
	// burstShare is admitted beyond the burst, so that a caller within the limit is not refused
	// because hosts account for the same usage at slightly different times.
	burstShare = 0.2
	// partitionShare is added to the drain rate of a host that cannot reach all others, in
	// proportion to the share of the fleet that it can reach. If half of the routing hosts are
	// unreachable, the others still admit 0.5 to 0.6 of a limit.
	partitionShare = 0.2
	// startShare is what starting hosts may admit at once while no host has a record of earlier
	// usage. partitionShare does not apply to them at that time.
	startShare = 0.15
	// unreportedShare is what all hosts together may have admitted and not yet reported.
	unreportedShare = 0.1
)

const (
	// AssumedHosts is the number of hosts that a starting host assumes until it has discovered the
	// others. Most fleets have about twenty routing hosts.
	AssumedHosts = 16
	// discoveryStart and discoveryEnd are times after the start of a host. Until discoveryStart it
	// assumes AssumedHosts hosts; from then on the assumed number falls linearly and reaches zero
	// at discoveryEnd. In simulated fleets of up to 300 hosts that start together, hosts discover
	// all but a few percent of the others within two seconds.
	discoveryStart = 300 * time.Millisecond
	discoveryEnd   = 2 * time.Second
	// coldStartTimeout is the time after which a starting host to which no level was reported
	// concludes that no host has a record of earlier usage: a host with such a record would have
	// reported it within a few heartbeats.
	coldStartTimeout = discoveryEnd
	// freshIntervals is the number of heartbeat intervals without a heartbeat after which another
	// host counts as unreachable. It allows for one lost heartbeat and a late one.
	freshIntervals = 3
	// adoptDuration is how long a starting host adopts the levels that others report, which arrive
	// in several datagrams.
	adoptDuration = 500 * time.Millisecond
)

// Limiter holds the buckets of one host. It is safe for concurrent use. mu is its only lock, and no
// other lock is taken while it is held.
type Limiter struct {
	terms   Terms
	started time.Time
	// interval is the heartbeat interval. freshTimeout is the time since the last heartbeat after
	// which another host counts as unreachable.
	interval, freshTimeout time.Duration
	// EqualShares restricts each host to an equal share of each limit, whatever the others admit.
	// It must be set before the limiter is used.
	EqualShares bool

	mu       sync.Mutex
	accounts map[uint64]*account
	peers    map[string]*peer
	// hosts is the number of hosts that share each limit. reachable is how many of them this host
	// accounts for: itself, those that it can reach, and, in part, lost hosts that others have
	// replaced.
	hosts     int
	reachable float64
	// unreachableFraction is the fraction of the fleet that this host could not reach at
	// unreachableAt.
	unreachableFraction float64
	unreachableAt       time.Time
	// standby is set on a standby host, which receives the levels of buckets but not the usage of
	// each host. outdated is set while a standby host receives no levels.
	standby, outdated bool
	// adoptingSince is when the first level was adopted, or zero.
	adoptingSince time.Time
	// informed is set once the levels account for usage from before the start of this host, or no
	// host is assumed to have a record of it.
	informed bool
}

// account is the state of one organisation.
type account struct {
	name  string
	limit *config.RateLimit
	// level is the usage that counts against the limit, as of drainedAt.
	level     float64
	drainedAt time.Time
	drained   drainHistory
	// rejoinedUsed is what recently rejoined hosts have added to level, rejoinedUsedAt the time of
	// the last such update.
	rejoinedUsed   float64
	rejoinedUsedAt time.Time
	// used is the usage that this host admitted, reported the part of it that it has reported to
	// other hosts.
	used, reported int64
	// resend is set if the next heartbeat must include this account even if used equals reported.
	resend bool
	// usedAtStart is the value of used when this host last started without a record of earlier
	// usage.
	usedAtStart int64
	recent      recent
	// pendingRetries is the cost of refused requests that are expected to be retried. It drains as
	// callers come back.
	pendingRetries float64
	refusals
}

// NewLimiter returns a limiter without limits for a host that starts at now. Hosts exchange
// heartbeats once per interval.
func NewLimiter(terms Terms, interval time.Duration, now time.Time) *Limiter {
	return &Limiter{terms: terms, started: now, interval: interval, freshTimeout: freshIntervals * interval, accounts: map[uint64]*account{}, peers: map[string]*peer{}, hosts: 1, reachable: 1}
}

// Change is a change of an organisation's limit. Before and Now are nil for no limit.
type Change struct {
	Organisation string
	Before, Now  *config.RateLimit
}

// SetLimits replaces the limits of all organisations and returns the changes, sorted by name.
func (l *Limiter) SetLimits(organisations []*config.Organisation, now time.Time) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []Change
	given := map[uint64]bool{}
	for _, o := range organisations {
		given[key(o.Name)] = true
		changes = l.setLimit(o.Name, o.RateLimit, changes, now)
	}
	for id, a := range l.accounts {
		if !given[id] {
			changes = l.setLimit(a.name, nil, changes, now)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return changes
}

func (l *Limiter) setLimit(name string, limit *config.RateLimit, changes []Change, now time.Time) []Change {
	a := l.accounts[key(name)]
	if a == nil && limit == nil {
		return changes
	}
	if a == nil {
		a = &account{name: name, drainedAt: l.started}
		l.accounts[key(name)] = a
	}
	before := a.limit
	if equalLimits(before, limit) {
		return changes
	}
	l.drain(a, now)
	a.limit = limit
	switch {
	case limit == nil:
		a.level = 0
	case before == nil && !l.informed:
		l.assumeBurstUsed(a, l.started)
	default:
		// Usage admitted under a higher limit is not held against a lower one.
		a.level = min(a.level, l.capacity(limit))
	}
	return append(changes, Change{name, before, limit})
}

func equalLimits(a, b *config.RateLimit) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// key identifies an organisation in messages between hosts.
func key(name string) uint64 { return xxh3.HashString(name) }

// windowLimit returns the usage that a limit allows in one window.
func (l *Limiter) windowLimit(limit *config.RateLimit) float64 {
	return limit.PerSecond*l.terms.Window.Seconds() + limit.Burst
}

// tolerance returns the usage that may be admitted in a window beyond windowLimit.
func (l *Limiter) tolerance(limit *config.RateLimit) float64 {
	return l.terms.Over*l.windowLimit(limit) + l.terms.Slack
}

// Share returns the fraction of each limit that is available to this host and the hosts that it can
// reach.
func (l *Limiter) Share(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share(now)
}

// share returns the fraction of the fleet that this host accounts for: itself and the hosts that it
// can reach.
func (l *Limiter) share(now time.Time) float64 {
	hosts, reachable := l.hosts, l.reachable
	if l.EqualShares {
		reachable = 1
	}
	share := reachable / max(float64(hosts), reachable)
	if !l.informed {
		share = min(share, reachable/max(1, l.unknownHosts(now)))
	}
	return share
}

// unknownHosts returns the number of hosts that a starting host assumes.
func (l *Limiter) unknownHosts(now time.Time) float64 {
	remaining := (discoveryEnd - now.Sub(l.started)).Seconds() / (discoveryEnd - discoveryStart).Seconds()
	return AssumedHosts * max(0, min(1, remaining))
}

// rate returns the drain rate of a bucket.
func (l *Limiter) rate(limit *config.RateLimit, now time.Time) float64 {
	share := l.share(now)
	if !l.informed {
		return share * limit.PerSecond
	}
	partitioned := partitionShare * l.tolerance(limit) / l.terms.Window.Seconds()
	return min(limit.PerSecond, share*(limit.PerSecond+partitioned))
}

// capacity returns the level at which requests are refused. Below it, a request is admitted whole
// however large it is: the large requests of a busy organisation would otherwise starve while small
// ones pass.
func (l *Limiter) capacity(limit *config.RateLimit) float64 {
	return max(1, limit.Burst+burstShare*l.tolerance(limit))
}

func (l *Limiter) drain(a *account, now time.Time) {
	elapsed := now.Sub(a.drainedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	a.drainedAt = now
	if a.limit == nil {
		return
	}
	drained := elapsed * l.rate(a.limit, now)
	a.drained.add(min(a.level, drained), elapsed, now, l.interval)
	a.level = max(0, a.level-drained)
	a.pendingRetries = max(0, a.pendingRetries-drained*l.ownShare())
}

// ownShare returns the fraction of the load that this host receives, assuming that callers spread
// evenly over all hosts.
func (l *Limiter) ownShare() float64 { return 1 / float64(max(1, l.hosts)) }

// drainHistory tracks how much drained from a bucket in total and recently.
type drainHistory struct {
	total float64
	// snapshots holds earlier values of total, oldest first, taken at least one heartbeat interval
	// apart. snapshotAt is the time of the newest one.
	snapshots  [freshIntervals]float64
	snapshotAt time.Time
}

// add records an amount that drained evenly over the given number of seconds up to now.
func (d *drainHistory) add(amount, seconds float64, now time.Time, interval time.Duration) {
	if window := freshIntervals * interval.Seconds(); seconds > window {
		d.total += amount * (1 - window/seconds)
		amount *= window / seconds
		for i := range d.snapshots {
			d.snapshots[i] = d.total
		}
		d.snapshotAt = now
	}
	if now.Sub(d.snapshotAt) >= interval {
		copy(d.snapshots[:], d.snapshots[1:])
		d.snapshots[freshIntervals-1], d.snapshotAt = d.total, now
	}
	d.total += amount
}

// recentTotal returns what drained in about the last freshIntervals heartbeat intervals.
func (d *drainHistory) recentTotal() float64 { return d.total - d.snapshots[0] }
