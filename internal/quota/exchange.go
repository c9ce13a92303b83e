package quota

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// maxTold bounds the organisations in one heartbeat, some 25 bytes each, however many
	// there are: those of which most is untold come first.
	maxTold = 40
	// maxFull bounds those that a standby host is told of: the fullest.
	maxFull = 12
	// tellFrom is how full a bucket must be, as a share, for a standby host to be told, and
	// for routing hosts to be told before the next heartbeat.
	tellFrom = 0.5
	// forgetPeers is the silence after which a host is forgotten: what it let in before has
	// drained, and other hosts' names come and go.
	forgetPeers = time.Minute
)

// peer is what another host told.
type peer struct {
	incarnation uint64
	heard       time.Time
	// routing is whether callers were sent to it then.
	routing bool
	// rejoinedAt is when it was last heard after exceeding the freshness timeout.
	rejoinedAt time.Time
	// overdue is by how much it had exceeded the freshness timeout at rejoinedAt.
	overdue time.Duration
	// used is keyed by organisation.
	used map[uint64]usage
}

// usage is the last count received from a host for one organisation.
type usage struct {
	used       int64
	receivedAt time.Time
}

// Word is what a heartbeat of another host says.
type Word struct {
	Host        string
	Incarnation uint64
	Routing     bool
	Uses        []*pb.OrganisationUse
}

// SetHosts takes how many hosts share the limits, how many of them, this one included,
// this host hears, and whether it is on standby. Heard is a fraction of hosts where others
// took the places of some that were lost.
func (l *Limiter) SetHosts(hosts int, heard float64, standby bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// What has passed so far drained at the rate of so far.
	for _, a := range l.accounts {
		l.drain(a, now)
	}
	if l.outdated && !standby {
		l.begin(now)
	}
	oldShare := l.share(now)
	l.hosts, l.heard, l.follows = max(1, hosts), max(1, heard), standby
	if share := l.share(now); share < oldShare {
		l.restoreDrained(1 - share/oldShare)
	}
	l.updateUnheard(now)
	l.outdated = standby && l.heard < float64(l.hosts)
	l.inform(now)
	for host, p := range l.peers {
		if now.Sub(p.heard) > forgetPeers {
			delete(l.peers, host)
		}
	}
}

// updateUnheard records the fraction of the fleet that is not heard. A decrease takes effect
// only after 2*fresh, so that the fraction stays available while hosts rejoin one by one.
func (l *Limiter) updateUnheard(now time.Time) {
	fraction := 1 - l.share(now)
	if fraction >= l.unheardFraction || now.Sub(l.unheardAt) > 2*l.fresh {
		l.unheardFraction, l.unheardAt = fraction, now
	}
}

// restoreDrained adds a fraction of what drained recently back to every bucket. A partition is
// detected only freshIntervals heartbeat intervals after it starts, and until then the buckets
// on both sides drain at the full rate.
func (l *Limiter) restoreDrained(fraction float64) {
	for _, a := range l.accounts {
		if a.limit != nil {
			a.level += fraction * a.drained.recentTotal()
		}
	}
}

// begin makes this host one that does not know what was let in before: it has just
// started, or is to route after its relays, which told it, were lost.
func (l *Limiter) begin(now time.Time) {
	l.started, l.informed, l.adopting = now, false, time.Time{}
	for _, a := range l.accounts {
		l.beginAccount(a, now)
	}
}

// beginAccount takes the burst for used up: it may have been before.
func (l *Limiter) beginAccount(a *account, now time.Time) {
	a.at, a.usedBefore = now, a.used
	if a.limit == nil {
		return
	}
	a.level = max(a.level, a.limit.Burst)
	if l.EqualShares {
		a.level = a.limit.Burst / StartHosts
	}
}

// inform decides whether this host knows what was let in before its start.
func (l *Limiter) inform(now time.Time) {
	if !l.informed && (now.Sub(l.started) >= coldFor || !l.adopting.IsZero() && now.Sub(l.adopting) >= adoptFor) {
		l.informed = true
	}
}

// Hears returns how many of some hosts told this one of themselves just now.
func (l *Limiter) Hears(hosts []*pb.Heartbeat, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, h := range hosts {
		if p := l.peers[h.Host]; p != nil && now.Sub(p.heard) <= l.fresh {
			n++
		}
	}
	return n
}

// Changes returns what is to be told to other routing hosts: what this host let in and
// has not told.
func (l *Limiter) Changes(now time.Time) []*pb.OrganisationUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []*account
	for _, a := range l.accounts {
		if a.used != a.told || a.resend {
			changed = append(changed, a)
		}
	}
	if len(changed) > maxTold {
		slices.SortFunc(changed, func(a, b *account) int { return cmp.Compare(b.used-b.told, a.used-a.told) })
		changed = changed[:maxTold]
	}
	l.inform(now)
	out := make([]*pb.OrganisationUse, 0, len(changed))
	for _, a := range changed {
		a.told, a.resend = a.used, false
		u := &pb.OrganisationUse{Organisation: key(a.name), Used: a.used, Recent: a.used - a.recent.before(a.used, now)}
		l.tellLevel(u, a, now)
		out = append(out, u)
	}
	return out
}

// recentFor is the least span that is told as recent: a host that missed the first word
// of an organisation has it from one of the next.
const recentFor = 500 * time.Millisecond

// recent remembers what a host had let in some time ago.
type recent struct {
	older, newer int64
	at           time.Time
}

// before returns what had been let in once to twice recentFor ago, at the least.
func (r *recent) before(used int64, now time.Time) int64 {
	if now.Sub(r.at) >= recentFor {
		r.older, r.newer, r.at = r.newer, used, now
	}
	return r.older
}

// tellLevel adds how full the bucket is, where this host knows. One that hears a part of the
// others only refuses from a part of the capacity on, and tells as if from the whole: hosts
// that it tells would otherwise let in the rest. Scaling stops at the capacity: hosts that adopt
// a level and have a small share themselves would otherwise scale it again.
func (l *Limiter) tellLevel(u *pb.OrganisationUse, a *account, now time.Time) {
	if !l.informed || a.limit == nil {
		return
	}
	l.drain(a, now)
	level := int64(max(a.level, min(a.level/l.share(now), l.capacity(a.limit))))
	u.Level = &level
}

// Full returns what is to be told to standby hosts: the fullest buckets.
func (l *Limiter) Full(now time.Time) []*pb.OrganisationUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.informed {
		return nil
	}
	var out []*pb.OrganisationUse
	for id, a := range l.accounts {
		if a.limit == nil {
			continue
		}
		l.drain(a, now)
		if a.level >= tellFrom*l.threshold(a.limit, now) {
			u := &pb.OrganisationUse{Organisation: id, Used: a.used}
			l.tellLevel(u, a, now)
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *pb.OrganisationUse) int { return cmp.Compare(b.GetLevel(), a.GetLevel()) })
	return out[:min(len(out), maxFull)]
}

// Untold reports whether this host let in anything that it has not told.
func (l *Limiter) Untold() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if a.used != a.told {
			return true
		}
	}
	return false
}

// TellNow reports whether so much of an organisation's is untold that the others should
// know before the next heartbeat.
func (l *Limiter) TellNow(organisation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[key(organisation)]
	if a == nil || a.limit == nil {
		return false
	}
	untold := float64(a.used - a.told)
	if untold <= untoldShare*l.tolerance(a.limit)*l.ownShare() {
		return false
	}
	// Far below the limit it can wait, even if all hosts have as much to tell.
	return a.level+untold*float64(l.hosts-1) >= tellFrom*l.capacity(a.limit)
}

// Heard takes what another host told.
func (l *Limiter) Heard(w Word, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[w.Host]
	if p == nil || p.incarnation != w.Incarnation {
		p = &peer{incarnation: w.Incarnation, heard: now, used: map[uint64]usage{}}
		l.peers[w.Host] = p
	}
	overdue := now.Sub(p.heard) - l.fresh
	if p.routing && overdue > 0 {
		p.overdue, p.rejoinedAt = overdue, now
	}
	if w.Routing && (overdue > 0 || !p.routing) {
		l.markForResend()
	}
	p.heard, p.routing = now, w.Routing
	l.inform(now)
	for _, u := range w.Uses {
		before, known := p.used[u.Organisation]
		p.used[u.Organisation] = usage{u.Used, now}
		a := l.accounts[u.Organisation]
		if a == nil || a.limit == nil {
			continue
		}
		l.drain(a, now)
		missed := before.receivedAt.Before(p.rejoinedAt)
		switch {
		case l.EqualShares:
		case l.adopts(u):
			l.adoptLevel(a, u, now)
		case missed && now.Sub(p.rejoinedAt) <= l.terms.Window:
			l.addRejoined(a, u, u.Used-before.used, p.overdue, now)
		case known && !missed:
			a.level = max(0, a.level+float64(u.Used-before.used))
		default:
			a.level += float64(u.Recent)
		}
	}
}

// markForResend includes every organisation with a nonzero level in the next heartbeats. A host
// that starts routing or rejoins may have missed earlier heartbeats.
func (l *Limiter) markForResend() {
	for _, a := range l.accounts {
		a.resend = a.resend || a.level > 0
	}
}

// adopts reports whether this host uses the level in u instead of counting usage itself.
func (l *Limiter) adopts(u *pb.OrganisationUse) bool {
	return (l.follows || !l.informed) && u.Level != nil
}

// adoptLevel raises the level of a to the level in u, which must be set.
func (l *Limiter) adoptLevel(a *account, u *pb.OrganisationUse, now time.Time) {
	if l.adopting.IsZero() {
		l.adopting = now
		l.forgetStart()
	}
	a.level = max(a.level, float64(*u.Level))
}

// addRejoined adds the usage that a host admitted while it was not heard and that has not drained
// since: all of it if the host sends no level. Otherwise two lower bounds are known: the usage
// above one host's share of the rate for the overdue time, and the level times the unheard fraction
// of the fleet, less what hosts that rejoin together have already added. The larger one is added,
// capped at the usage admitted. The total added for hosts that rejoin together is capped at the
// level sent.
func (l *Limiter) addRejoined(a *account, u *pb.OrganisationUse, added int64, overdue time.Duration, now time.Time) {
	if now.Sub(a.rejoinedUsedAt) > l.fresh {
		a.rejoinedUsed = 0
	}
	a.rejoinedUsedAt = now
	increase := float64(added)
	if u.Level != nil {
		fraction := l.unheardFraction
		if fraction == 0 {
			// No host was counted as unheard: the silence was shorter than one heartbeat
			// interval, or this host itself was paused.
			fraction = 1
		}
		level := float64(*u.Level)
		excess := increase - overdue.Seconds()*a.limit.PerSecond*l.ownShare()
		increase = min(increase, max(excess, level*fraction-a.rejoinedUsed), level-a.rejoinedUsed)
	}
	increase = max(0, increase)
	a.level += increase
	a.rejoinedUsed += increase
}

// forgetStart drops what a starting host reckoned with for want of knowledge.
func (l *Limiter) forgetStart() {
	for _, a := range l.accounts {
		a.level = min(a.level, float64(a.used-a.usedBefore))
	}
}
