package quota

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// maxReported limits the organisations in one heartbeat, at about 25 bytes each. Those with the
	// most unreported usage come first.
	maxReported = 40
	// maxFullest limits the buckets that are reported to a standby host. The fullest come first.
	maxFullest = 12
	// maxFullestByLoad is the same where callers may be sent to standby hosts at any time: what they
	// do not hear of they admit beyond the limits.
	maxFullestByLoad = 64
	// reportThreshold is how full a bucket must be, as a fraction, to be reported to standby hosts,
	// and to routing hosts before the next heartbeat.
	reportThreshold = 0.5
	// peerExpiry is the time without a heartbeat after which the record of a host is dropped. By
	// then the usage that it reported has drained, and records of hosts with changing names do not
	// accumulate.
	peerExpiry = time.Minute
)

// peer is the state of another host, from its heartbeats.
type peer struct {
	incarnation uint64
	lastSeen    time.Time
	// routing is set if the host was a routing host at lastSeen.
	routing bool
	// levelsUnknown is set if the host had no levels to report at lastSeen.
	levelsUnknown bool
	// rejoinedAt is when the first heartbeat arrived after freshTimeout was last exceeded.
	rejoinedAt time.Time
	// overdue is by how much freshTimeout was exceeded at rejoinedAt.
	overdue time.Duration
	// used holds the usage of each organisation, by key.
	used map[uint64]usage
}

// usage is the last count received from a host for one organisation.
type usage struct {
	used       int64
	receivedAt time.Time
}

// UsageReport is the usage that another host reports in a heartbeat.
type UsageReport struct {
	Host        string
	Incarnation uint64
	Routing     bool
	// LevelsUnknown is set while the host has no record of earlier usage, and so reports no levels.
	LevelsUnknown bool
	Uses          []*pb.OrganisationUse
}

// SetHosts sets the number of hosts that share the limits, how many of them this host accounts for,
// including itself, and whether it is a standby host. reachable may be fractional if other hosts
// have replaced lost ones.
func (l *Limiter) SetHosts(hosts int, reachable float64, standby bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Until now, the buckets have drained at the previous rate.
	for _, a := range l.accounts {
		l.drain(a, now)
	}
	if l.outdated && !standby {
		l.startUninformed(now)
	}
	oldShare := l.share(now)
	l.hosts, l.reachable, l.standby = max(1, hosts), max(1, reachable), standby
	if share := l.share(now); share < oldShare {
		l.restoreDrained(1 - share/oldShare)
	}
	l.updateUnreachable(now)
	l.outdated = standby && l.reachable < float64(l.hosts)
	l.updateInformed(now)
	for host, p := range l.peers {
		if now.Sub(p.lastSeen) > peerExpiry {
			delete(l.peers, host)
		}
	}
}

// updateUnreachable records the fraction of the fleet that is unreachable. A decrease takes effect
// only after 2*freshTimeout, so that the fraction stays available while hosts rejoin one by one.
func (l *Limiter) updateUnreachable(now time.Time) {
	fraction := 1 - l.share(now)
	if fraction >= l.unreachableFraction || now.Sub(l.unreachableAt) > 2*l.freshTimeout {
		l.unreachableFraction, l.unreachableAt = fraction, now
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

// startUninformed marks this host as one without a record of earlier usage: either it has just
// started, or it becomes a routing host after it lost the relays that reported to it.
func (l *Limiter) startUninformed(now time.Time) {
	l.started, l.informed, l.adoptingSince = now, false, time.Time{}
	for _, a := range l.accounts {
		l.assumeBurstUsed(a, now)
	}
}

// assumeBurstUsed sets the level as if the burst had been used up, because it may have been.
func (l *Limiter) assumeBurstUsed(a *account, now time.Time) {
	a.drainedAt, a.usedAtStart = now, a.used
	if a.limit == nil {
		return
	}
	a.level = max(a.level, a.limit.Burst)
	if l.EqualShares {
		a.level = a.limit.Burst / AssumedHosts
	}
}

// updateInformed marks this host as informed once it has adopted levels for adoptDuration or
// coldStartTimeout has passed.
func (l *Limiter) updateInformed(now time.Time) {
	if !l.informed && (now.Sub(l.started) >= coldStartTimeout || !l.adoptingSince.IsZero() && now.Sub(l.adoptingSince) >= adoptDuration) {
		l.informed = true
	}
}

// CountReachable returns how many of the given hosts are reachable.
func (l *Limiter) CountReachable(hosts []*pb.Heartbeat, now time.Time) int {
	return l.countPeers(hosts, now, func(*peer) bool { return true })
}

// CountInformed returns how many of the given hosts are reachable and know the levels of the buckets.
func (l *Limiter) CountInformed(hosts []*pb.Heartbeat, now time.Time) int {
	return l.countPeers(hosts, now, func(p *peer) bool { return !p.levelsUnknown })
}

func (l *Limiter) countPeers(hosts []*pb.Heartbeat, now time.Time, counts func(*peer) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, h := range hosts {
		if p := l.peers[h.Host]; p != nil && now.Sub(p.lastSeen) <= l.freshTimeout && counts(p) {
			n++
		}
	}
	return n
}

// Informed reports whether the levels account for usage from before the start of this host, as far as any host has a
// record of it.
func (l *Limiter) Informed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateInformed(now)
	return l.informed
}

// Changes returns the usage to report to other routing hosts, and marks it as reported.
func (l *Limiter) Changes(now time.Time) []*pb.OrganisationUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []*account
	for _, a := range l.accounts {
		if a.used != a.reported || a.resend {
			changed = append(changed, a)
		}
	}
	if len(changed) > maxReported {
		slices.SortFunc(changed, func(a, b *account) int { return cmp.Compare(b.used-b.reported, a.used-a.reported) })
		changed = changed[:maxReported]
	}
	l.updateInformed(now)
	out := make([]*pb.OrganisationUse, 0, len(changed))
	for _, a := range changed {
		a.reported, a.resend = a.used, false
		u := &pb.OrganisationUse{Organisation: key(a.name), Used: a.used, Recent: a.used - a.recent.before(a.used, now)}
		l.setLevel(u, a, now)
		out = append(out, u)
	}
	return out
}

// recentSpan is the minimum time span of the recent usage in a report. A host that missed the first
// report on an organisation obtains that usage from one of the next.
const recentSpan = 500 * time.Millisecond

// recent keeps two earlier values of the usage of an account: newer, recorded at the time at, and
// older, recorded at least recentSpan before that. Values that are not recorded yet are 0.
type recent struct {
	older, newer int64
	at           time.Time
}

// before returns the usage from at least recentSpan ago, and from at most twice as long ago if it
// is called frequently.
func (r *recent) before(used int64, now time.Time) int64 {
	if now.Sub(r.at) >= recentSpan {
		r.older, r.newer, r.at = r.newer, used, now
	}
	return r.older
}

// setLevel sets the level in a report if this host is informed. A host that cannot reach all others
// refuses requests at its share of the capacity, so it reports the level divided by that share:
// hosts that receive the report would otherwise admit the remainder. The scaled level is capped at
// the capacity, because hosts with a small share that adopt a level would otherwise scale it again.
func (l *Limiter) setLevel(u *pb.OrganisationUse, a *account, now time.Time) {
	if !l.informed || a.limit == nil {
		return
	}
	l.drain(a, now)
	level := int64(max(a.level, min(a.level/l.share(now), l.capacity(a.limit))))
	u.Level = &level
}

// FullestBuckets returns the fullest buckets, to be reported to standby hosts.
func (l *Limiter) FullestBuckets(now time.Time) []*pb.OrganisationUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	out, _ := l.fullBuckets(now)
	slices.SortFunc(out, func(a, b *pb.OrganisationUse) int { return cmp.Compare(b.GetLevel(), a.GetLevel()) })
	return out[:min(len(out), maxFullest)]
}

// FullestBucketsByLoad returns the fullest buckets, relative to what they hold, to be reported to standby
// hosts where callers may be sent to these.
func (l *Limiter) FullestBucketsByLoad(now time.Time) []*pb.OrganisationUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	out, fullness := l.fullBuckets(now)
	slices.SortFunc(out, func(a, b *pb.OrganisationUse) int {
		return cmp.Or(cmp.Compare(fullness[b.Organisation], fullness[a.Organisation]), cmp.Compare(a.Organisation, b.Organisation))
	})
	return out[:min(len(out), maxFullestByLoad)]
}

// fullBuckets returns the buckets that are full enough to be reported to standby hosts, and how full they
// are, by organisation.
func (l *Limiter) fullBuckets(now time.Time) (out []*pb.OrganisationUse, fullness map[uint64]float64) {
	if !l.informed {
		return nil, nil
	}
	fullness = map[uint64]float64{}
	for id, a := range l.accounts {
		if a.limit == nil {
			continue
		}
		l.drain(a, now)
		if a.level >= reportThreshold*l.threshold(a.limit, now) {
			u := &pb.OrganisationUse{Organisation: id, Used: a.used}
			l.setLevel(u, a, now)
			out = append(out, u)
			fullness[id] = a.level / l.threshold(a.limit, now)
		}
	}
	return out, fullness
}

// HasUnreported reports whether this host has unreported usage.
func (l *Limiter) HasUnreported() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if a.used != a.reported {
			return true
		}
	}
	return false
}

// ShouldReportNow reports whether the unreported usage of an organisation is large enough to be
// sent before the next heartbeat.
func (l *Limiter) ShouldReportNow(organisation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[key(organisation)]
	if a == nil || a.limit == nil {
		return false
	}
	unreported := float64(a.used - a.reported)
	if unreported <= unreportedShare*l.tolerance(a.limit)*l.ownShare() {
		return false
	}
	// Far below the limit the report can wait, even if all hosts have as much unreported usage.
	return a.level+unreported*float64(l.hosts-1) >= reportThreshold*l.capacity(a.limit)
}

// ApplyReport applies the usage that another host reported.
func (l *Limiter) ApplyReport(w UsageReport, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[w.Host]
	if p == nil || p.incarnation != w.Incarnation {
		p = &peer{incarnation: w.Incarnation, lastSeen: now, used: map[uint64]usage{}}
		l.peers[w.Host] = p
	}
	overdue := now.Sub(p.lastSeen) - l.freshTimeout
	if p.routing && overdue > 0 {
		p.overdue, p.rejoinedAt = overdue, now
	}
	if w.Routing && (overdue > 0 || !p.routing) {
		l.markForResend()
	}
	p.lastSeen, p.routing, p.levelsUnknown = now, w.Routing, w.LevelsUnknown
	l.updateInformed(now)
	for _, u := range w.Uses {
		before, known := p.used[u.Organisation]
		p.used[u.Organisation] = usage{u.Used, now}
		a := l.accounts[u.Organisation]
		if a == nil || a.limit == nil {
			continue
		}
		l.drain(a, now)
		mayHaveMissed := before.receivedAt.Before(p.rejoinedAt)
		switch {
		case l.EqualShares:
		case l.adoptsLevel(u):
			l.adoptLevel(a, u, now)
		case mayHaveMissed && now.Sub(p.rejoinedAt) <= l.terms.Window:
			l.addRejoined(a, u, u.Used-before.used, p.overdue, now)
		case known && !mayHaveMissed:
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

// adoptsLevel reports whether this host uses the level in u instead of counting usage itself.
func (l *Limiter) adoptsLevel(u *pb.OrganisationUse) bool {
	return (l.standby || !l.informed) && u.Level != nil
}

// adoptLevel raises the level of a to the level in u, which must be set.
func (l *Limiter) adoptLevel(a *account, u *pb.OrganisationUse, now time.Time) {
	if l.adoptingSince.IsZero() {
		l.adoptingSince = now
		l.dropAssumedUsage()
	}
	a.level = max(a.level, float64(*u.Level))
}

// addRejoined adds the usage that a host admitted while it was unreachable and that has not drained
// since: all of it if the host reports no level. Otherwise two minimums of that usage are known:
// the usage above one host's share of the rate for the overdue time, and the level times the
// unreachable fraction of the fleet, less what hosts that rejoin together have already added. The
// larger one is added, capped at the usage admitted. The total added for hosts that rejoin together
// is capped at the level reported.
func (l *Limiter) addRejoined(a *account, u *pb.OrganisationUse, added int64, overdue time.Duration, now time.Time) {
	if now.Sub(a.rejoinedUsedAt) > l.freshTimeout {
		a.rejoinedUsed = 0
	}
	a.rejoinedUsedAt = now
	increase := float64(added)
	if u.Level != nil {
		fraction := l.unreachableFraction
		if fraction == 0 {
			// No host was counted as unreachable: freshTimeout was exceeded by less than one
			// heartbeat interval, or this host itself was paused.
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

// dropAssumedUsage lowers the levels to the usage admitted since the start: the usage assumed in
// assumeBurstUsed is replaced by reported levels.
func (l *Limiter) dropAssumedUsage() {
	for _, a := range l.accounts {
		a.level = min(a.level, float64(a.used-a.usedAtStart))
	}
}
