// Package member maintains the membership table of entry hosts and selects the recipients of
// each heartbeat.
//
// In a small fleet every host sends heartbeats to every other. In a larger one the routing
// hosts, which accept callers, send heartbeats to each other. The remaining hosts are on
// standby: each sends heartbeats only to two routing hosts, its relays, which report the rest
// of the fleet to it. The traffic of a host is thus limited by the number of routing hosts,
// not by the size of the fleet.
package member

import (
	"cmp"
	"iter"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// relayedTimeoutFactor, times deadAfter, is the timeout of a routing host that is only
	// seen through other hosts. Its state is relayed about once in half that time, and one or
	// two datagrams may be lost.
	relayedTimeoutFactor = 2.5
	// standbyTimeout is the timeout of a standby host that sends heartbeats to this one. It
	// can be long: whether the host is alive matters only once it is to route, and then
	// reports of it arrive soon.
	standbyTimeout = 30 * time.Second
	// relayedStandbyTimeout is the timeout of a standby host that is only seen through others.
	// With hundreds of standby hosts each is relayed about every ten seconds.
	relayedStandbyTimeout = time.Minute
	// utilisationRetention is how long a host's utilisation is kept while relays of an earlier build
	// report the host without it.
	utilisationRetention = 10 * time.Second
	// probeTTL is how long an address without a live host is probed.
	probeTTL = 3 * time.Minute
)

// Table is the membership table of one host. It is safe for concurrent use. mu is its only
// lock, and no other lock is acquired while it is held.
type Table struct {
	self      *pb.Heartbeat
	deadAfter time.Duration
	// selectRouting selects the routing hosts among the known hosts, given the CPU cores that
	// unknown hosts provide in each zone.
	selectRouting func(known []Candidate, unknown map[string]float64) map[string]bool

	// ByLoad is set before use if callers may be sent to standby hosts, by load: utilisation is then
	// relayed, and standby hosts that work still ask their relays for heartbeats.
	ByLoad bool

	mu    sync.Mutex
	hosts map[string]*host
	// ordered holds all of hosts and this host itself, sorted by byOrder.
	ordered []*host
	// zones maps peer addresses to availability zones.
	zones map[string]string
	// probes are peer addresses that may have no host: seeds, addresses read from the store,
	// and addresses of dead hosts.
	probes map[string]*probe
	view   *View
	// newlyDead holds the IDs of hosts that were declared dead since the last call of Expire.
	newlyDead []string
	// directSenders holds the hosts that, according to the last view, send heartbeats to this
	// one every one or two intervals, so that deadAfter applies to them.
	directSenders map[string]bool
	// routingAudience is the audience of this host's last heartbeat as a routing host, and
	// finalHeartbeats the number of heartbeats still to be sent to it after the host has
	// stopped routing.
	routingAudience []string
	finalHeartbeats int
	// heartbeats counts the heartbeats that this host sent in a small fleet. One in
	// memberStatesPeriod of them relays states.
	heartbeats int
	// routingCursors and standbyCursors are where the next round of relayed states starts, for
	// heartbeats to routing hosts and to standby hosts.
	routingCursors, standbyCursors cursors
	// summaries holds, by zone, the last count of standby hosts that a routing host reported.
	summaries map[string]zoneSummary
	// standbySubset is the cached result of selectStandbySubset, computed at standbySubsetAt.
	standbySubset   []*host
	standbySubsetAt time.Time
}

// cursors are positions in the lists of hosts whose states are relayed.
type cursors struct{ routing, changed, others int }

// host is the table's record of one host.
type host struct {
	heartbeat *pb.Heartbeat
	// lastSeen is approximately when the host sent its newest known liveness signal: the
	// delay of datagrams is not subtracted, and a digest gives one age for all its hosts.
	lastSeen time.Time
	// direct is set if the host sends heartbeats to this one. lastDirect is when the last such
	// heartbeat arrived, and directHeartbeat is that heartbeat.
	direct          bool
	lastDirect      time.Time
	directHeartbeat *pb.Heartbeat
	// utilisationAt is when the utilisation in heartbeat was received.
	utilisationAt time.Time
	// lastAsked is when the host last asked for heartbeats.
	lastAsked time.Time
	// changedAt is when the host's state last changed, and announced how often the new state
	// was relayed to the routing hosts.
	changedAt time.Time
	announced int
	order     uint64
	// routingSince is when this host began to count it as a routing host, or zero if it does
	// not.
	routingSince time.Time
	// excluded is set while the host was chosen to route but has not reported within the
	// timeout that it routes. It may be alive, but other hosts route in its place.
	excluded bool
	// dead is set from when the host is declared dead until it is seen again.
	dead bool
}

// probe is an address from which no host was seen lately.
type probe struct {
	addedAt  time.Time
	probedAt time.Time
	// formerHost is set if a host at this address was seen and then declared dead.
	formerHost bool
}

// NewTable returns the table of a host that has seen no other one. A host that should send
// heartbeats to this one is declared dead after deadAfter without any.
func NewTable(self *pb.Heartbeat, deadAfter time.Duration) *Table {
	return &Table{
		self: self, deadAfter: deadAfter, selectRouting: routingWithUnknown, summaries: map[string]zoneSummary{},
		ordered: []*host{{heartbeat: self, order: xxh3.HashString(self.Host)}},
		hosts:   map[string]*host{}, zones: map[string]string{}, probes: map[string]*probe{},
	}
}

// ChooseAll makes every host a routing host.
func (t *Table) ChooseAll() {
	t.selectRouting = func(hosts []Candidate, _ map[string]float64) map[string]bool {
		all := map[string]bool{}
		for _, h := range hosts {
			all[h.ID] = true
		}
		return all
	}
}

// AddPeer adds the peer address of a host, to be probed until a host is seen there or probeTTL
// has passed.
func (t *Table) AddPeer(peer string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addProbe(peer, now)
}

func (t *Table) addProbe(peer string, now time.Time) {
	if peer == "" || peer == t.self.PeerAddress || t.probes[peer] != nil {
		return
	}
	for _, h := range t.hosts {
		if h.heartbeat.PeerAddress == peer {
			return
		}
	}
	t.probes[peer] = &probe{addedAt: now}
}

// HasFailed reports whether a host was declared dead without having announced that it leaves.
func (t *Table) HasFailed(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[host]
	return h != nil && h.dead && !h.heartbeat.Leaving
}

// HasPeers reports whether this host knows the address of any other host, whether or not
// that host was ever seen.
func (t *Table) HasPeers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.hosts)+len(t.probes) > 0
}

// UnseenAddresses returns the number of peer addresses added within maxAge from which no
// host has been seen. Their hosts may have stopped, or may be running but unreachable.
func (t *Table) UnseenAddresses(maxAge time.Duration, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.probes {
		if !p.formerHost && now.Sub(p.addedAt) <= maxAge {
			n++
		}
	}
	return n
}

// ZoneOf returns the availability zone of the host with the given peer address, or "".
func (t *Table) ZoneOf(peer string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.zones[peer]
}

// SetState sets the state that this host announces.
func (t *Table) SetState(ready, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Ready != ready || t.self.Leaving != leaving {
		t.self.Ready, t.self.Leaving = ready, leaving
		t.view = nil
	}
}

// SetDetached sets whether this host announces that it is cut off from backend servers that other
// hosts reach, and reports whether that has changed.
func (t *Table) SetDetached(detached bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Detached == detached {
		return false
	}
	t.self.Detached = detached
	t.view = nil
	return true
}

// Detached reports whether this host announces that it is cut off.
func (t *Table) Detached() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.Detached
}

// AnnouncesReady reports whether this host announces that it is ready.
func (t *Table) AnnouncesReady() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.Ready
}

// ApplyHeartbeat applies a received heartbeat and the states relayed in it. It returns the previous
// heartbeat of the sender and whether this one is newer. A heartbeat of another incarnation
// always counts as newer, since only one process can send from an address.
func (t *Table) ApplyHeartbeat(b *pb.Heartbeat, now time.Time) (previous *pb.Heartbeat, newer bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[b.Host]
	if h != nil && h.directHeartbeat != nil && h.directHeartbeat.Incarnation == b.Incarnation && h.directHeartbeat.Sequence >= b.Sequence {
		return h.heartbeat, false
	}
	for _, m := range b.Members {
		t.applyRelayed(m, now)
	}
	h = t.hosts[b.Host]
	if h != nil {
		previous = h.heartbeat
	}
	h = t.apply(b, now)
	h.direct, h.lastDirect, h.directHeartbeat = true, now, b
	if b.Utilisation > 0 {
		h.utilisationAt = now
	}
	if b.Asks {
		h.lastAsked = now
	}
	t.applySummaries(b.Standby, now)
	t.applyDigest(b, now)
	return previous, true
}

// apply records b as the host's newest heartbeat.
func (t *Table) apply(b *pb.Heartbeat, seenAt time.Time) *host {
	h := t.hosts[b.Host]
	if h == nil {
		h = &host{order: xxh3.HashString(b.Host)}
		t.hosts[b.Host] = h
		h.heartbeat = b
		at, _ := slices.BinarySearchFunc(t.ordered, h, byOrder)
		t.ordered = slices.Insert(t.ordered, at, h)
		t.view, h.changedAt, h.announced = nil, seenAt, 0
	} else if h.dead || h.heartbeat.Ready != b.Ready || h.heartbeat.Leaving != b.Leaving || h.heartbeat.Detached != b.Detached || h.heartbeat.Incarnation != b.Incarnation {
		t.view, h.changedAt, h.announced = nil, seenAt, 0
	}
	delete(t.probes, b.PeerAddress)
	t.zones[b.PeerAddress] = b.AvailabilityZone
	h.heartbeat, h.dead, h.excluded = b, false, false
	h.lastSeen = latest(h.lastSeen, seenAt)
	return h
}

// otherHosts iterates over the other hosts in order.
func (t *Table) otherHosts() iter.Seq[*host] {
	return func(yield func(*host) bool) {
		for _, h := range t.ordered {
			if h.heartbeat != t.self && !yield(h) {
				return
			}
		}
	}
}

// byOrder compares hosts in an order that is the same on all hosts.
func byOrder(a, b *host) int {
	return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.heartbeat.Host, b.heartbeat.Host))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyRelayed applies the state of a third host that another host relayed, unless it is
// older than what is recorded or than relayedStandbyTimeout.
func (t *Table) applyRelayed(m *pb.MemberState, now time.Time) {
	if m.Host == t.self.Host {
		return
	}
	sent := now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	h := t.hosts[m.Host]
	if h != nil && !sent.After(h.lastSeen) {
		return
	}
	if now.Sub(sent) > relayedStandbyTimeout {
		return
	}
	if h != nil && h.heartbeat.Incarnation == m.Incarnation && h.heartbeat.Sequence >= m.Sequence {
		return
	}
	utilisation := m.Utilisation
	if h != nil && h.heartbeat.Incarnation == m.Incarnation && utilisation == 0 && now.Sub(h.utilisationAt) < utilisationRetention {
		utilisation = h.heartbeat.Utilisation
	}
	h = t.apply(&pb.Heartbeat{
		Host: m.Host, Incarnation: m.Incarnation, Sequence: m.Sequence, AvailabilityZone: m.AvailabilityZone,
		CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress, Ready: m.Ready, Leaving: m.Leaving,
		Routing: m.Routing, Cores: m.Cores, Settled: m.Settled, Detached: m.Detached,
		Utilisation: utilisation,
	}, sent)
	if m.Utilisation > 0 {
		h.utilisationAt = now
	}
	h.direct = now.Sub(h.lastDirect) < t.deadAfter
}

// timeout returns the timeout after which the host is declared dead. It depends on how often
// its heartbeats or its relayed state are expected here.
func (t *Table) timeout(h *host) time.Duration {
	switch {
	case h.direct && t.directSenders[h.heartbeat.Host]:
		return t.deadAfter
	case h.heartbeat.Routing:
		return t.relayedTimeout()
	case h.direct:
		return standbyTimeout
	default:
		return relayedStandbyTimeout
	}
}

// relayedTimeout returns the timeout of a routing host that is seen through others.
func (t *Table) relayedTimeout() time.Duration {
	return time.Duration(relayedTimeoutFactor * float64(t.deadAfter))
}

// alive reports whether the host is assumed to be alive.
func (t *Table) alive(h *host, now time.Time) bool {
	return !h.dead && now.Sub(h.lastSeen) < t.timeout(h)
}

// failsToRoute reports whether a host that was chosen to route has not reported that it
// does, although the timeout for such a report has passed.
func (t *Table) failsToRoute(h *host, now time.Time) bool {
	return !h.heartbeat.Routing && !h.routingSince.IsZero() && now.Sub(latest(h.lastSeen, h.routingSince)) >= t.relayedTimeout()
}

// markDead declares hosts dead whose timeout has passed. Their addresses are still probed
// for a while: a host that was partitioned, or that restarts while the store is down, finds
// the others only through their heartbeats.
func (t *Table) markDead(now time.Time) {
	for id, h := range t.hosts {
		if !h.dead && !t.alive(h, now) {
			h.dead = true
			t.view = nil
			t.probes[h.heartbeat.PeerAddress] = &probe{addedAt: now, formerHost: true}
			t.newlyDead = append(t.newlyDead, id)
		}
		if !h.excluded && t.failsToRoute(h, now) {
			h.excluded = true
			t.view = nil
		}
	}
}

// Expire removes hosts that have long been dead, and returns the sorted IDs of those that
// were declared dead since the last call.
func (t *Table) Expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markDead(now)
	died := t.newlyDead
	t.newlyDead = nil
	for id, h := range t.hosts {
		if h.dead && now.Sub(h.lastSeen) > relayedStandbyTimeout {
			delete(t.hosts, id)
			t.ordered = slices.DeleteFunc(t.ordered, func(other *host) bool { return other == h })
			delete(t.zones, h.heartbeat.PeerAddress)
		}
	}
	for peer, p := range t.probes {
		if now.Sub(p.addedAt) > probeTTL {
			delete(t.probes, peer)
		}
	}
	slices.Sort(died)
	return died
}

// Host is the state of another host as seen by this one.
type Host struct {
	Heartbeat *pb.Heartbeat
	Alive     bool
	Age       time.Duration
	// Direct is set if the host sends heartbeats to this one.
	Direct bool
}

// Hosts returns the other hosts, sorted by ID.
func (t *Table) Hosts(now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Host, 0, len(t.hosts))
	for _, h := range t.hosts {
		out = append(out, Host{h.heartbeat, t.alive(h, now), now.Sub(h.lastSeen), h.direct})
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Heartbeat.Host, b.Heartbeat.Host) })
	return out
}
