package fairshare

import (
	"maps"
	"math"
	"slices"
	"time"
)

// plan is how the capacity of a service is divided, as of a time.
type plan struct {
	at time.Time
	// capacity is the cost per second that all hosts together admit, and level is how much of it each
	// organisation may have: those that ask for less get all that they ask for.
	capacity, level float64
	// served is the cost per second that servers answered to all hosts. urgentLevel is level for a capacity
	// half way from that: what is admitted beyond what servers answered may find no room.
	served, urgentLevel float64
	// overcommit is the ratio of what is admitted of an organisation above its share to its part of what servers
	// answer. Servers reject the excess, but hardly any urgent request within the share, so that each of these is
	// charged at that ratio.
	overcommit float64
	// others is what is offered to other hosts, by organisation.
	others map[uint64]float64
	// rates are the rates of this host's buckets, while other hosts reported.
	rates map[uint64]float64
	// kept limits the rates while no other host's reports arrive that did a moment ago: both sides of a
	// partition would otherwise take the whole.
	kept map[uint64]float64
}

const (
	// headroom is how far beyond the measured capacity requests are admitted. Without it, the measured
	// capacity could never grow: it falls until servers reject no more than what is admitted beyond it.
	// Servers without queues reject requests long before they are busy.
	headroom = 1.25
	// growthDelay is the time after the last sign of a shortage from which more than headroom is
	// admitted, and maxGrowth what is added to it when the shortage is about to be over. With headroom
	// alone, servers of long requests stand idle for a while after each time that they rejected some.
	growthDelay = 100 * time.Millisecond
	maxGrowth   = 1.0
)

// headroomAfter returns how far beyond the measured capacity requests are admitted.
func headroomAfter(sinceShort time.Duration) float64 {
	return headroom + maxGrowth*max(0, float64(sinceShort-growthDelay)/float64(shortTime-growthDelay))
}

// currentPlan returns the division of a service's capacity, which is calculated again when it is older
// than planAge.
func (t *Table) currentPlan(s *service, now time.Time) *plan {
	if s.plan.others != nil && now.Sub(s.plan.at) < planAge {
		return &s.plan
	}
	served := s.served.perSecond(now)
	others, hosts, lastReport := map[uint64]float64{}, 0, time.Time{}
	// In a fixed order, so that sums are the same in each run of a test.
	for _, host := range slices.Sorted(maps.Keys(t.peers)) {
		report, known := t.peers[host].services[serviceKey(s.name)]
		if !known {
			continue
		}
		if report.at.After(lastReport) {
			lastReport = report.at
		}
		if now.Sub(report.at) >= reportExpiry {
			continue
		}
		hosts++
		served += report.served
		for key, offered := range report.offered {
			others[key] += offered
		}
	}
	totals := make(map[uint64]float64, len(others)+len(s.accounts))
	for key, offered := range others {
		totals[key] += offered
	}
	for key, a := range s.accounts {
		totals[key] += a.offered.perSecond(now)
	}
	next := plan{at: now, served: served, capacity: served * headroomAfter(t.sinceShort(s, now)), others: others}
	next.level = fairLevel(next.capacity, totals)
	next.urgentLevel = fairLevel((served+next.capacity)/2, totals)
	next.overcommit = next.level / fairLevel(served, totals)
	if served == 0 {
		// The capacity is not known, as after a start, or while no server is up. Servers that come
		// back would otherwise stand idle.
		next.level = math.Inf(1)
	}
	switch {
	case hosts > 0:
		next.rates = s.rates(&next, totals, now)
	case now.Sub(lastReport) < isolationTime:
		next.rates = s.plan.rates
		next.kept = s.plan.rates
	}
	s.plan = next
	return &s.plan
}

// rates returns this host's part of the share of each organisation that is above its share. One that
// sends nothing here has none, so that no rate of 0 is kept for it.
func (s *service) rates(p *plan, totals map[uint64]float64, now time.Time) map[uint64]float64 {
	out := map[uint64]float64{}
	for key, a := range s.accounts {
		if own := a.offered.perSecond(now); own > 0 && totals[key] > p.level {
			out[key] = p.level * own / totals[key]
		}
	}
	return out
}

// fairLevel returns the level of max-min fairness: the sum over all demands, each counted up to the
// level, is the capacity. It is infinite if the capacity suffices for all.
func fairLevel(capacity float64, demands map[uint64]float64) float64 {
	sorted := make([]float64, 0, len(demands))
	for _, d := range demands {
		sorted = append(sorted, d)
	}
	slices.Sort(sorted)
	for i, d := range sorted {
		share := capacity / float64(len(sorted)-i)
		if d > share {
			return share
		}
		capacity -= d
	}
	return math.Inf(1)
}
