package member

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// toStandbyTicks is the number of heartbeat intervals between heartbeats to standby hosts.
	toStandbyTicks = 2
	// fromStandbyTicks is the number of intervals between heartbeats of a standby host to its
	// relays. Until it is ready it sends them every interval.
	fromStandbyTicks = 4
	// finalHeartbeatCount is the number of heartbeats that a host which has stopped routing
	// sends to its former audience: one may be lost.
	finalHeartbeatCount = 2
	// askTTL is how long a standby host is sent heartbeats after it last asked for them: a few
	// of its own heartbeat periods.
	askTTL = 2500 * time.Millisecond
	// maxProbes is the maximum number of probes in one interval, and maxProbesIsolated the
	// same while no other host is alive.
	maxProbes         = 3
	maxProbesIsolated = 8
	// probeInterval is the minimum time between two probes of one address.
	probeInterval = 500 * time.Millisecond
	// maxRoutingStates and maxOtherStates are the maximum numbers of routing hosts and of
	// other hosts whose states one heartbeat relays. At some 75 bytes each they fit into a
	// datagram.
	maxRoutingStates = 7
	maxOtherStates   = 6
	// maxChangedStates is the maximum number of routing hosts relayed because of a recent
	// change.
	maxChangedStates = 4
	// stateAnnouncements is how often a changed state is relayed to the routing hosts: one or
	// two heartbeats may be lost.
	stateAnnouncements = 3
	// maxStatesBetweenRouting is the maximum number of routing hosts that a heartbeat to
	// another routing host relays. It is small as routing hosts, once they have found each
	// other, receive each other's heartbeats.
	maxStatesBetweenRouting = 2
	// memberStatesPeriod is the period, in heartbeats, at which a small fleet relays states.
	memberStatesPeriod = 5
)

// Audience holds the peer addresses that a heartbeat is sent to.
type Audience struct {
	// Routing are routing hosts, to which requests in flight and sent prompts are reported too.
	Routing []string
	// Standby are standby hosts, to which neither is reported.
	Standby []string
	// Ask are hosts that are asked for heartbeats, which report other hosts: this host's
	// relays, and probed addresses. Requests and prompts are not reported to them either.
	Ask []string
}

// IntervalAudience returns the audience of the heartbeat of an interval. working is set if this
// host has requests in flight at backend servers, of which the routing hosts must be notified even
// if it is on standby. A standby host with a relay leaves probing to it.
func (t *Table) IntervalAudience(tick int, working bool, now time.Time) Audience {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.viewAt(now)
	var a Audience
	switch {
	case v.FullMesh && (v.SelfRouting || tick%toStandbyTicks == 0):
		a = t.allLiveHosts(v, now)
	case v.FullMesh:
	case v.SelfRouting || working || t.self.Leaving:
		a.Routing = t.peerAddresses(v.Routing)
	case tick%fromStandbyTicks == 0 || !t.self.Ready || t.activeRelays(v, now) < max(1, len(v.Relays)):
		a.Ask = t.peerAddresses(v.Relays)
	}
	if !v.FullMesh && tick%toStandbyTicks == 0 {
		a.Standby = append(a.Standby, t.standbyAudience(now)...)
	}
	if t.ByLoad && !v.FullMesh && !v.SelfRouting && working && tick%fromStandbyTicks == 0 {
		// Relays send heartbeats only to hosts that ask for them.
		a.Ask = t.peerAddresses(v.Relays)
	}
	t.notifyFormerAudience(v, &a)
	if v.SelfRouting || t.activeRelays(v, now) == 0 {
		a.Ask = append(a.Ask, t.probeTargets(now)...)
	}
	return a
}

// notifyFormerAudience adds the former audience of this host if it has stopped routing. These
// hosts would otherwise declare it dead.
func (t *Table) notifyFormerAudience(v *View, a *Audience) {
	switch {
	case v.SelfRouting && !v.FullMesh:
		t.routingAudience, t.finalHeartbeats = a.Routing, finalHeartbeatCount
	case t.finalHeartbeats > 0:
		a.Standby = append(a.Standby, t.routingAudience...)
		t.finalHeartbeats--
	}
}

// ImmediateAudience returns the audience of a heartbeat between two intervals: the routing hosts,
// or with all set every host that this one sends heartbeats to.
func (t *Table) ImmediateAudience(all bool, now time.Time) Audience {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.viewAt(now)
	switch {
	case !all:
		return Audience{Routing: t.peerAddresses(v.Routing)}
	case v.FullMesh:
		return t.allLiveHosts(v, now)
	case v.SelfRouting || t.self.Leaving:
		return Audience{Routing: t.peerAddresses(v.Routing), Standby: t.standbyAudience(now)}
	default:
		return Audience{Standby: t.standbyAudience(now)}
	}
}

func (t *Table) peerAddresses(hosts []*pb.Heartbeat) []string {
	var out []string
	for _, b := range hosts {
		if b.Host != t.self.Host {
			out = append(out, b.PeerAddress)
		}
	}
	return out
}

// allLiveHosts divides all live hosts into those that route and the others. It includes
// leaving hosts, which have requests to finish.
func (t *Table) allLiveHosts(v *View, now time.Time) Audience {
	var a Audience
	a.Routing = t.peerAddresses(v.Routing)
	for h := range t.otherHosts() {
		if t.alive(h, now) && !slices.Contains(a.Routing, h.heartbeat.PeerAddress) {
			a.Standby = append(a.Standby, h.heartbeat.PeerAddress)
		}
	}
	return a
}

// standbyAudience returns the standby hosts that asked this one for heartbeats, and hosts
// that wrongly count themselves as routing: they know too few other hosts, and have no relay
// that would report the others to them.
func (t *Table) standbyAudience(now time.Time) []string {
	var out []string
	for h := range t.otherHosts() {
		if !h.routingSince.IsZero() {
			continue
		}
		if withinAskTTL(h.lastAsked, now) || withinAskTTL(h.lastDirect, now) && h.directHeartbeat.Routing {
			out = append(out, h.heartbeat.PeerAddress)
		}
	}
	return out
}

// PeerAddresses returns the peer addresses of the given hosts that are known.
func (t *Table) PeerAddresses(hosts []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, id := range hosts {
		if h := t.hosts[id]; h != nil {
			out = append(out, h.heartbeat.PeerAddress)
		}
	}
	return out
}

func withinAskTTL(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < askTTL }

// probeTargets returns the addresses to be probed now, the least recently probed first.
func (t *Table) probeTargets(now time.Time) []string {
	due := map[string]*time.Time{}
	for peer, p := range t.probes {
		if now.Sub(p.probedAt) >= probeInterval {
			due[peer] = &p.probedAt
		}
	}
	limit := maxProbesIsolated
	for _, h := range t.hosts {
		if !h.dead {
			limit = maxProbes
		}
	}
	var peers []string
	for peer := range due {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b string) int { return cmp.Or(due[a].Compare(*due[b]), cmp.Compare(a, b)) })
	peers = peers[:min(len(peers), limit)]
	for _, peer := range peers {
		*due[peer] = now
	}
	return peers
}

// MemberStates returns the states of some other hosts, in rotation, for a heartbeat to
// routing hosts or, with standby set, to standby hosts. Routing hosts receive each other's
// heartbeats, so they are mostly sent the standby hosts that send heartbeats to this one.
// Standby hosts are sent all hosts, and the routing hosts more often, because changes of
// these matter to them soon.
func (t *Table) MemberStates(standby bool, now time.Time) []*pb.MemberState {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.viewAt(now)
	if v.FullMesh && v.Live > 1 {
		// Every host sends heartbeats to all others; states only help a new host to find them.
		t.heartbeats++
		if t.heartbeats%memberStatesPeriod != 1 {
			return nil
		}
	}
	var routing, others []*host
	for h := range t.otherHosts() {
		switch {
		case !t.alive(h, now):
		case !h.routingSince.IsZero():
			routing = append(routing, h)
		case standby || h.direct:
			others = append(others, h)
		}
	}
	routingLimit, cursors := maxStatesBetweenRouting, &t.routingCursors
	if standby || v.FullMesh {
		routingLimit, cursors = maxRoutingStates, &t.standbyCursors
	}
	if standby {
		others = t.selectStandbySubset(others, now)
	}
	var out []*pb.MemberState
	if standby {
		changed := slices.DeleteFunc(slices.Clone(routing), func(h *host) bool { return now.Sub(h.changedAt) >= recentChangeWindow })
		out = t.nextStates(out, changed, maxChangedStates, &cursors.changed, now)
	}
	out = t.nextStates(out, routing, routingLimit-len(out), &cursors.routing, now)
	if standby || v.FullMesh {
		return t.nextStates(out, others, maxOtherStates, &cursors.others, now)
	}
	// For routing hosts a standby host only has to be seen within standbyTimeout, but a change
	// of its state must reach them at once.
	out = append(out, t.unannouncedStates(others, maxOtherStates-1, now)...)
	return t.nextStates(out, others, 1, &cursors.others, now)
}

// unannouncedStates returns up to n changed states that are still to be relayed.
func (t *Table) unannouncedStates(hosts []*host, n int, now time.Time) []*pb.MemberState {
	var out []*pb.MemberState
	for _, h := range hosts {
		if len(out) == n {
			break
		}
		if h.announced < stateAnnouncements {
			h.announced++
			out = append(out, t.state(h, now))
		}
	}
	return out
}

// nextStates appends the states of up to n hosts, starting where the last round ended.
func (t *Table) nextStates(out []*pb.MemberState, hosts []*host, n int, cursor *int, now time.Time) []*pb.MemberState {
	n = min(n, len(hosts))
	for i := range n {
		h := hosts[(*cursor+i)%len(hosts)]
		out = append(out, t.state(h, now))
	}
	if n > 0 {
		*cursor = (*cursor + n) % len(hosts)
	}
	return out
}

// state returns a host's state as relayed to other hosts.
func (t *Table) state(h *host, now time.Time) *pb.MemberState {
	b := h.heartbeat
	m := &pb.MemberState{
		Host: b.Host, Incarnation: b.Incarnation, Sequence: b.Sequence, AvailabilityZone: b.AvailabilityZone,
		CallerAddress: b.CallerAddress, PeerAddress: b.PeerAddress, Ready: b.Ready, Leaving: b.Leaving,
		Routing: b.Routing, Cores: b.Cores, Settled: b.Settled, Detached: b.Detached, AgeMs: now.Sub(h.lastSeen).Milliseconds(),
	}
	if t.ByLoad {
		m.Utilisation = b.Utilisation
	}
	return m
}
