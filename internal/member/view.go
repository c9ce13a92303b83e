package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// viewTTL is how long a view is cached. It is rebuilt at once when a host joins, leaves or
	// changes its state, and otherwise only to notice timeouts.
	viewTTL = 100 * time.Millisecond
	// relayCount is the number of relays of a standby host, so that one may be lost.
	relayCount = 2
)

// View is an immutable snapshot of the roles of all hosts, as this host sees them.
type View struct {
	// Routing hosts are those that callers are sent to; this one is among them if SelfRouting is
	// set. Serving are those that directories name: the ready hosts among them, or all ready hosts if
	// none of them is. Hosts that are cut off from backend servers are left out.
	Routing     []*pb.Heartbeat
	Serving     []*pb.Heartbeat
	SelfRouting bool
	// Standby are the other ready hosts that are not cut off and were seen recently, in a pseudo-random order
	// that all hosts share; filled in with Table.ByLoad. Callers may be sent to them while the serving hosts have too
	// little CPU time.
	Standby []*pb.Heartbeat
	// Rank is this host's position in an order of all live hosts, routing hosts first. Hosts
	// that see the same live hosts agree on the order.
	Rank int
	// Live is the number of live hosts, this one included. Unknown is how many of them are
	// only known as part of a count that a routing host reported.
	Live    int
	Unknown int
	// FullMesh is set in a small fleet, where every host sends heartbeats to every other.
	FullMesh bool
	// Relays are the routing hosts that a standby host sends heartbeats to, and that report
	// the other hosts to it.
	Relays []*pb.Heartbeat

	createdAt time.Time
}

// View returns the current view.
func (t *Table) View(now time.Time) *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.viewAt(now)
}

func (t *Table) viewAt(now time.Time) *View {
	if t.view == nil || now.Sub(t.view.createdAt) >= viewTTL {
		t.view = t.newView(now)
	}
	return t.view
}

// liveHosts returns the live hosts that are not leaving, in order, and separately the number
// of those left out because they are excluded from routing.
func (t *Table) liveHosts(now time.Time) (hosts []*host, excluded int) {
	hosts = make([]*host, 0, len(t.ordered))
	for _, h := range t.ordered {
		switch {
		case h.heartbeat.Leaving || h.heartbeat != t.self && !t.alive(h, now):
		case h.excluded:
			excluded++
		default:
			hosts = append(hosts, h)
		}
	}
	return hosts, excluded
}

func (t *Table) newView(now time.Time) *View {
	t.markDead(now)
	live, excluded := t.liveHosts(now)
	unknown, cores := t.unknownHosts(live, now)
	chosen := t.selectRouting(candidatesOf(live), cores)
	t.updateRoutingSince(chosen, now)
	liveCount := len(live) + max(unknown, excluded)
	v := &View{SelfRouting: chosen[t.self.Host], Live: liveCount, Unknown: unknown, FullMesh: liveCount <= MaxSmallFleet, createdAt: now}
	v.assignRoles(live, chosen, t.self)
	t.replaceDetached(v, live, cores)
	if t.ByLoad {
		v.Standby = t.freshStandby(v, live, now)
	}
	if !v.SelfRouting {
		v.Relays = t.selectRelays(v.Routing)
	}
	t.updateDirectSenders(v, live)
	return v
}

// assignRoles fills in Routing, Serving and Rank.
func (v *View) assignRoles(live []*host, chosen map[string]bool, self *pb.Heartbeat) {
	var ready []*pb.Heartbeat
	standbyBefore, standbyCount := 0, 0
	for _, h := range live {
		routes := chosen[h.heartbeat.Host]
		switch {
		case h.heartbeat == self:
			standbyBefore = standbyCount
			v.Rank = len(v.Routing)
		case !routes:
			standbyCount++
		}
		if routes {
			v.Routing = append(v.Routing, h.heartbeat)
		}
		if h.heartbeat.Ready {
			ready = append(ready, h.heartbeat)
		}
		if routes && h.heartbeat.Ready {
			v.Serving = append(v.Serving, h.heartbeat)
		}
	}
	if !v.SelfRouting {
		// Unknown hosts are assumed to be spread evenly among the known ones in the order.
		v.Rank = len(v.Routing) + standbyBefore*(standbyCount+1+v.Unknown)/(standbyCount+1)
	}
	if len(v.Serving) == 0 {
		v.Serving = ready
	}
}

const (
	// replacedShare is the share of the cores of the serving hosts that those which are not cut off are to
	// have: standby hosts are added up to it, and up to maxRouting in all.
	replacedShare = 0.5
	// minAttachedShare is the share that they must have for callers to be sent to them alone. Fewer
	// would have to hold the connections of all callers.
	minAttachedShare = 0.1
)

// replaceDetached leaves hosts that are cut off from backend servers out of Serving. The hosts that would
// route without them take their place. Roles do not change: a cut is mostly short, and the hosts'
// shares of limits and budgets depend on them.
func (t *Table) replaceDetached(v *View, live []*host, unknownCores map[string]float64) {
	attached := slices.DeleteFunc(slices.Clone(live), func(h *host) bool { return h.heartbeat.Detached })
	if len(attached) == len(live) {
		return
	}
	chosen := t.selectRouting(candidatesOf(attached), unknownCores)
	var serving, standby []*pb.Heartbeat
	for _, h := range attached {
		switch {
		case !h.heartbeat.Ready:
		case chosen[h.heartbeat.Host]:
			serving = append(serving, h.heartbeat)
		default:
			standby = append(standby, h.heartbeat)
		}
	}
	for len(standby) > 0 && len(serving) < maxRouting && coresOf(serving) < replacedShare*coresOf(v.Serving) {
		serving, standby = append(serving, standby[0]), standby[1:]
	}
	if coresOf(serving) >= minAttachedShare*coresOf(v.Serving) && len(serving) > 0 {
		v.Serving = serving
	}
}

// namedTimeoutFactor, times deadAfter, is how recently a standby host must have been seen for callers to be
// sent to it. Standby hosts of one zone learn each other's states from their relays within about that time.
const namedTimeoutFactor = 3.5

// freshStandby returns the standby hosts that callers may be sent to. A standby host is declared dead late,
// as nothing else depends on it, so only those that were seen recently count.
func (t *Table) freshStandby(v *View, live []*host, now time.Time) []*pb.Heartbeat {
	taken := make(map[string]bool, len(v.Routing)+len(v.Serving))
	for _, b := range v.Routing {
		taken[b.Host] = true
	}
	for _, b := range v.Serving {
		taken[b.Host] = true
	}
	var out []*pb.Heartbeat
	for _, h := range live {
		b := h.heartbeat
		fresh := b == t.self || now.Sub(h.lastSeen) < time.Duration(namedTimeoutFactor*float64(t.deadAfter))
		if fresh && b.Ready && !b.Detached && !taken[b.Host] {
			out = append(out, b)
		}
	}
	return out
}

func coresOf(hosts []*pb.Heartbeat) float64 {
	sum := 0.0
	for _, b := range hosts {
		sum += effectiveCores(Candidate{Cores: b.Cores})
	}
	return sum
}

// updateDirectSenders records which hosts send heartbeats to this one: all in a small fleet,
// otherwise the other routing hosts, or on standby the relays.
func (t *Table) updateDirectSenders(v *View, live []*host) {
	t.directSenders = map[string]bool{}
	senders := v.Relays
	if v.SelfRouting {
		senders = v.Routing
	}
	for _, b := range senders {
		// A host that does not see itself as routing sends heartbeats only to its relays.
		t.directSenders[b.Host] = b.Routing
	}
	if !v.FullMesh {
		return
	}
	for _, h := range live {
		t.directSenders[h.heartbeat.Host] = true
	}
}

func (t *Table) updateRoutingSince(chosen map[string]bool, now time.Time) {
	for _, h := range t.ordered {
		switch {
		case !chosen[h.heartbeat.Host]:
			h.routingSince = time.Time{}
		case h.routingSince.IsZero():
			h.routingSince = now
		}
	}
}

// selectRelays selects the relays of this host. They are in its own zone if that has routing
// hosts, to save cross-zone traffic, and spread by hash so that the hosts of a zone do not
// all use the same ones.
func (t *Table) selectRelays(routing []*pb.Heartbeat) []*pb.Heartbeat {
	candidates := slices.DeleteFunc(slices.Clone(routing), func(b *pb.Heartbeat) bool {
		return b.AvailabilityZone != t.self.AvailabilityZone
	})
	if len(candidates) == 0 {
		candidates = slices.Clone(routing)
	}
	seed := xxh3.HashString(t.self.Host)
	slices.SortFunc(candidates, func(a, b *pb.Heartbeat) int {
		return cmp.Compare(xxh3.HashStringSeed(a.Host, seed), xxh3.HashStringSeed(b.Host, seed))
	})
	return candidates[:min(len(candidates), relayCount)]
}

// HasActiveRelay reports whether this host is on standby and at least one of its relays sends
// heartbeats to it. Such a host has no need to read from the store.
func (t *Table) HasActiveRelay(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.activeRelays(t.viewAt(now), now) > 0
}

// activeRelays returns the number of this host's relays that send heartbeats to it.
func (t *Table) activeRelays(v *View, now time.Time) int {
	active := 0
	for _, b := range v.Relays {
		if h := t.hosts[b.Host]; h != nil && h.direct && now.Sub(h.lastDirect) < t.deadAfter {
			active++
		}
	}
	return active
}
