package member

import (
	"time"

	"github.com/zeebo/xxh3"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// maxStandbySubset limits the number of standby hosts whose states are relayed to other
	// standby hosts. In a large fleet, relaying all of them would take time proportional to
	// its size; standby hosts only need the total number and the hosts that would route next.
	maxStandbySubset = 128
	// standbySubsetTTL is how long the selection of these hosts is cached.
	standbySubsetTTL = time.Second
)

// recentChangeWindow is how long after a change of its state a host is relayed first.
const recentChangeWindow = 2 * time.Second

// zoneSummary is the number of live standby hosts of a zone and their cores, as reported by
// a routing host.
type zoneSummary struct {
	hosts      int
	cores      float64
	reportedAt time.Time
}

// StandbyCounts returns the number of live standby hosts of each zone, to be sent to standby
// hosts. It returns nil if these are sent the states of all of them.
func (t *Table) StandbyCounts(now time.Time) []*pb.ZoneHosts {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.viewAt(now)
	if !v.SelfRouting || v.Live-len(v.Routing) <= maxStandbySubset {
		return nil
	}
	byZone := map[string]*pb.ZoneHosts{}
	var out []*pb.ZoneHosts
	for h := range t.otherHosts() {
		if !h.routingSince.IsZero() || h.heartbeat.Leaving || !t.alive(h, now) {
			continue
		}
		counts := byZone[h.heartbeat.AvailabilityZone]
		if counts == nil {
			counts = &pb.ZoneHosts{AvailabilityZone: h.heartbeat.AvailabilityZone}
			byZone[counts.AvailabilityZone] = counts
			out = append(out, counts)
		}
		counts.Hosts++
		counts.Cores += h.heartbeat.Cores
	}
	return out
}

// AddDigest adds to a heartbeat a digest of the routing hosts seen recently. If there are
// many, their states are relayed so rarely that standby hosts would otherwise declare them
// dead.
func (t *Table) AddDigest(b *pb.Heartbeat, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.viewAt(now)
	if !v.SelfRouting || len(v.Routing) <= maxRoutingStates {
		return
	}
	maxAge := time.Duration(0)
	for h := range t.otherHosts() {
		age := now.Sub(h.lastSeen)
		if h.routingSince.IsZero() || !h.direct || age >= t.deadAfter/2 {
			continue
		}
		b.Digest = append(b.Digest, stateHash(h.heartbeat))
		maxAge = max(maxAge, age)
	}
	b.DigestAgeMs = maxAge.Milliseconds()
}

// applyDigest refreshes the hosts that the sender of a heartbeat has seen recently.
func (t *Table) applyDigest(b *pb.Heartbeat, now time.Time) {
	if len(b.Digest) == 0 {
		return
	}
	sums := make(map[uint32]bool, len(b.Digest))
	for _, sum := range b.Digest {
		sums[sum] = true
	}
	at := now.Add(-time.Duration(b.DigestAgeMs) * time.Millisecond)
	for h := range t.otherHosts() {
		if !h.dead && sums[stateHash(h.heartbeat)] {
			h.lastSeen = latest(h.lastSeen, at)
		}
	}
}

// stateHash returns a hash of a host's ID, incarnation and state.
func stateHash(b *pb.Heartbeat) uint32 {
	seed := b.Incarnation << 2
	if b.Ready {
		seed |= 1
	}
	if b.Leaving {
		seed |= 2
	}
	return uint32(xxh3.HashStringSeed(b.Host, seed))
}

// applySummaries records a routing host's counts of standby hosts.
func (t *Table) applySummaries(zones []*pb.ZoneHosts, now time.Time) {
	for _, z := range zones {
		t.summaries[z.AvailabilityZone] = zoneSummary{hosts: int(z.Hosts), cores: z.Cores, reportedAt: now}
	}
}

// unknownHosts returns the number of live hosts that routing hosts have counted but this
// host has no record of, and the cores that they provide in each zone.
func (t *Table) unknownHosts(live []*host, now time.Time) (hosts int, cores map[string]float64) {
	if len(t.summaries) == 0 {
		return 0, nil
	}
	cores = map[string]float64{}
	remaining := map[string]zoneSummary{}
	for zone, summary := range t.summaries {
		if now.Sub(summary.reportedAt) < relayedStandbyTimeout {
			remaining[zone] = summary
		}
	}
	for _, h := range live {
		zone := h.heartbeat.AvailabilityZone
		summary, counted := remaining[zone]
		// A host that started routing after the report was counted as standby in it.
		if counted && (h.routingSince.IsZero() || h.routingSince.After(summary.reportedAt)) {
			summary.hosts--
			summary.cores -= h.heartbeat.Cores
			remaining[zone] = summary
		}
	}
	for zone, summary := range remaining {
		if summary.hosts > 0 {
			hosts += summary.hosts
			cores[zone] = max(0, summary.cores)
		}
	}
	return hosts, cores
}

// selectStandbySubset returns the standby hosts whose states are relayed to other standby
// hosts. In a large fleet these are the hosts that would route if all routing hosts were
// lost, and then others up to the limit.
func (t *Table) selectStandbySubset(others []*host, now time.Time) []*host {
	if len(others) <= maxStandbySubset {
		return others
	}
	if now.Sub(t.standbySubsetAt) < standbySubsetTTL {
		return t.standbySubset
	}
	chosen := t.selectRouting(candidatesOf(others), nil)
	subset := make([]*host, 0, maxStandbySubset)
	for _, routes := range []bool{true, false} {
		for _, h := range others {
			if chosen[h.heartbeat.Host] == routes && len(subset) < maxStandbySubset {
				subset = append(subset, h)
			}
		}
	}
	t.standbySubset, t.standbySubsetAt = subset, now
	return subset
}

func candidatesOf(hosts []*host) []Candidate {
	out := make([]Candidate, len(hosts))
	for i, h := range hosts {
		out[i] = Candidate{ID: h.heartbeat.Host, Zone: h.heartbeat.AvailabilityZone, Cores: h.heartbeat.Cores, Order: h.order}
	}
	return out
}
