// Package quota keeps organisations within their rate limits, over all hosts together
// and without asking any of them before a request is let in.
//
// Each host keeps a leaky bucket for each organisation: what it lets in is added, what
// other hosts tell of what they let in is added too, and the bucket drains at the limit's
// rate. Requests are refused while it is full. Hosts tell each other with every heartbeat,
// so that a bucket lacks what the others let in during the last interval or so. The
// tolerance that operators grant on the limit (Terms) is spent on just this, on what hosts
// that hear nothing of each other let in, and on what a fleet forgets that loses power.
//
// A host that does not hear some of the others drains its buckets more slowly, by their
// share: they may be at work out of its sight.
package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/internal/config"
)

// Terms say how exactly limits are kept, over all hosts.
type Terms struct {
	// Window is the span that is held to a limit.
	Window time.Duration
	// Over, as a share of what a window allows, and Slack, in the limit's unit, are what
	// may be let in beyond it.
	Over  float64
	Slack float64
}

// Shares of the tolerance, and what each is spent on. Together they leave a third for what
// hosts take with them that are killed, for large requests that several hosts let in at once,
// and for requests that wait at a host before they are sent: they may arrive in another
// window. With 0.3 apart and 0.25 beyond the burst, a few of ten thousand random schedules of
// cuts and kills let in up to 1.4 % too much.
const (
	// burstShare is let in beyond the burst. A caller who keeps to the limit is then not
	// refused because hosts count a moment apart from each other.
	burstShare = 0.2
	// partitionShare is added to the rate, by its share, for hosts that do not hear all others.
	// With half the routing hosts silent the rest still lets in 0.5 to 0.6 of a limit.
	partitionShare = 0.2
	// startShare is what hosts may let in at once that start while nobody knows what was
	// let in before. They have no partitionShare then.
	startShare = 0.15
	// untoldShare is what all hosts together may have let in and not yet told.
	untoldShare = 0.1
)

const (
	// StartHosts is how many hosts a starting host reckons with until it may know them:
	// most fleets have some twenty that callers are sent to.
	StartHosts = 16
	// discoverFrom and discoverFor are from when on after its start a host knows of others, and by
	// when it knows most of them; in between it reckons with fewer and fewer unknown ones.
	// Simulated fleets of up to 300 hosts that start together know of each other after two
	// seconds but for a few in a hundred.
	discoverFrom = 300 * time.Millisecond
	discoverFor  = 2 * time.Second
	// coldFor is how long after its start a host that nobody tells what was let in before
	// takes it that nobody knows: those that know would have told within some heartbeats.
	coldFor = discoverFor
	// freshIntervals is how many heartbeat intervals another host may be silent without
	// being reckoned as out of sight: one heartbeat may be lost, and another one late.
	freshIntervals = 3
	// adoptFor is how long a starting host takes over what others know: they tell in
	// several datagrams.
	adoptFor = 500 * time.Millisecond
)

// Limiter holds the buckets of one host. It is safe for concurrent use; mu is its only
// lock and nothing else is locked under it.
type Limiter struct {
	terms   Terms
	started time.Time
	// interval is the heartbeat interval, and fresh how long a host may be silent and still
	// count as heard.
	interval, fresh time.Duration
	// EqualShares makes each host keep to an equal share of each limit, whatever others
	// let in. It is set before use.
	EqualShares bool

	mu       sync.Mutex
	accounts map[uint64]*account
	peers    map[string]*peer
	// hosts is how many share a limit, and heard how many of them, this one included,
	// this host hears, or of how many it takes the place.
	hosts int
	heard float64
	// unheardFraction is the fraction of the fleet that this host did not hear at unheardAt.
	unheardFraction float64
	unheardAt       time.Time
	// follows is set on a standby host: it is told how full buckets are, and not by whom.
	// outdated is set while nobody tells it.
	follows, outdated bool
	// adopting is when an informed host was first heard, or zero.
	adopting time.Time
	// informed is set once this host knows what was let in before its start.
	informed bool
}

// account is one organisation's.
type account struct {
	name  string
	limit *config.RateLimit
	// level is what stands against the limit at a moment.
	level   float64
	at      time.Time
	drained drainHistory
	// rejoinedUsed is what recently rejoined hosts have added to level, rejoinedUsedAt the
	// time of the last such update.
	rejoinedUsed   float64
	rejoinedUsedAt time.Time
	// used is what this host let in, told the part of it that others were told.
	used, told int64
	// resend is set if the next heartbeat must include this account even if used equals told.
	resend bool
	// usedBefore is what it had let in when it last began without knowledge.
	usedBefore int64
	recent     recent
	// askedBack is what was refused here and asked back, and drains as it comes back.
	askedBack float64
	refusals
}

// NewLimiter returns the limiter of a host that starts now and knows no limits yet. Hosts
// that tell each other do so each interval.
func NewLimiter(terms Terms, interval time.Duration, now time.Time) *Limiter {
	return &Limiter{terms: terms, started: now, interval: interval, fresh: freshIntervals * interval, accounts: map[uint64]*account{}, peers: map[string]*peer{}, hosts: 1, heard: 1}
}

// Change is a limit that has become another one. Either may be nil, for none.
type Change struct {
	Organisation string
	Before, Now  *config.RateLimit
}

// SetLimits takes the limits of all organisations and returns what has changed, by name.
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
		a = &account{name: name, at: l.started}
		l.accounts[key(name)] = a
	}
	before := a.limit
	if same(before, limit) {
		return changes
	}
	l.drain(a, now)
	a.limit = limit
	switch {
	case limit == nil:
		a.level = 0
	case before == nil && !l.informed:
		l.beginAccount(a, l.started)
	default:
		// What was let in under a higher limit is not held against a lower one.
		a.level = min(a.level, l.capacity(limit))
	}
	return append(changes, Change{name, before, limit})
}

func same(a, b *config.RateLimit) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// key identifies an organisation between hosts.
func key(name string) uint64 { return xxh3.HashString(name) }

// windowAllows is what a limit allows in a window.
func (l *Limiter) windowAllows(limit *config.RateLimit) float64 {
	return limit.PerSecond*l.terms.Window.Seconds() + limit.Burst
}

// tolerance is what may be let in beyond that.
func (l *Limiter) tolerance(limit *config.RateLimit) float64 {
	return l.terms.Over*l.windowAllows(limit) + l.terms.Slack
}

// Share returns the fraction of each limit available to this host and the hosts it hears.
func (l *Limiter) Share(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share(now)
}

// share is the part of the fleet that this host speaks for: itself and those it hears.
func (l *Limiter) share(now time.Time) float64 {
	hosts, heard := l.hosts, l.heard
	if l.EqualShares {
		heard = 1
	}
	share := heard / max(float64(hosts), heard)
	if !l.informed {
		share = min(share, heard/max(1, l.unknownHosts(now)))
	}
	return share
}

// unknownHosts is how many hosts a starting host reckons with.
func (l *Limiter) unknownHosts(now time.Time) float64 {
	left := (discoverFor - now.Sub(l.started)).Seconds() / (discoverFor - discoverFrom).Seconds()
	return StartHosts * max(0, min(1, left))
}

// rate is how fast a bucket drains.
func (l *Limiter) rate(limit *config.RateLimit, now time.Time) float64 {
	share := l.share(now)
	if !l.informed {
		return share * limit.PerSecond
	}
	partitioned := partitionShare * l.tolerance(limit) / l.terms.Window.Seconds()
	return min(limit.PerSecond, share*(limit.PerSecond+partitioned))
}

// capacity is the level from which nothing is let in. A request that comes below it is let in
// whole, however large: large requests of a busy organisation would otherwise starve while
// small ones pass.
func (l *Limiter) capacity(limit *config.RateLimit) float64 {
	return max(1, limit.Burst+burstShare*l.tolerance(limit))
}

func (l *Limiter) drain(a *account, now time.Time) {
	passed := now.Sub(a.at).Seconds()
	if passed <= 0 {
		return
	}
	a.at = now
	if a.limit == nil {
		return
	}
	drained := passed * l.rate(a.limit, now)
	a.drained.add(min(a.level, drained), passed, now, l.interval)
	a.level = max(0, a.level-drained)
	a.askedBack = max(0, a.askedBack-drained*l.ownShare())
}

// ownShare is this host's part of what is let in, as callers spread over all.
func (l *Limiter) ownShare() float64 { return 1 / float64(max(1, l.hosts)) }

// drainHistory tracks how much drained from a bucket in total and recently.
type drainHistory struct {
	total float64
	// snapshots holds earlier values of total, oldest first, taken at least one heartbeat
	// interval apart. snapshotAt is the time of the newest one.
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
