package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/topic"
)

const (
	// minHeartbeatGap is the minimum pause before a requested heartbeat.
	minHeartbeatGap = 5 * time.Millisecond
	// requestedLinkShare is the share of a host's link for requested heartbeats. Without a limit, a host of
	// 25 Mbit/s that many servers kept busy queued its heartbeats for seconds, and counted as lost.
	requestedLinkShare = 0.25
	// maxGapIntervals limits the pause, in heartbeat intervals: news then goes out at an interval.
	maxGapIntervals = 0.5
)

// heartbeatGap returns the pause between a requested heartbeat of that many bytes to all receivers and the
// next one.
func heartbeatGap(sentBytes int, linkMbps float64, interval time.Duration) time.Duration {
	if linkMbps <= 0 {
		return minHeartbeatGap
	}
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	seconds := float64(sentBytes) * bitsPerByte / (linkMbps * bitsPerMegabit * requestedLinkShare)
	longest := time.Duration(maxGapIntervals * float64(interval))
	return max(minHeartbeatGap, min(longest, time.Duration(seconds*float64(time.Second))))
}

// requestHeartbeatToAll requests an immediate heartbeat to all peers that this host sends to.
func (n *Node) requestHeartbeatToAll() {
	n.heartbeatToAll.Store(true)
	n.requestHeartbeat()
}

// requestHeartbeat requests an immediate heartbeat to the routing hosts.
func (n *Node) requestHeartbeat() {
	select {
	case n.heartbeatRequested <- struct{}{}:
	default:
	}
}

// heartbeats sends heartbeats at each interval and on request.
func (n *Node) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(n.settings.Member.HeartbeatInterval.AsDuration())
	defer ticker.Stop()
	n.addSeeds(n.settings.Member.Seeds)
	var nextRequested time.Time
	for tick := 0; ; {
		now := clock.Now()
		n.updateLimitShares(now)
		n.sendHeartbeat(n.members.IntervalAudience(tick, n.hasWork(now) || n.limiter.HasUnreported() || n.crashes.HasUnreported(), now), true, now)
		tick++
		for untilTick := true; untilTick; {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				untilTick = false
			case <-n.heartbeatRequested:
				time.Sleep(max(minHeartbeatGap, time.Until(nextRequested)))
				sent := n.sendRequestedHeartbeat()
				nextRequested = time.Now().Add(heartbeatGap(sent, n.settings.Host.LinkMbps, n.settings.Member.HeartbeatInterval.AsDuration()))
			}
		}
	}
}

// sendRequestedHeartbeat sends a heartbeat between two intervals, and returns the bytes sent.
func (n *Node) sendRequestedHeartbeat() int {
	now := clock.Now()
	all := n.heartbeatToAll.Swap(false)
	before := n.heartbeatBytes.Load()
	n.sendHeartbeat(n.members.ImmediateAudience(all, now), false, now)
	return int(n.heartbeatBytes.Load() - before)
}

// setState reports this host's state to the membership table after each change, so that the
// directory reflects it at once. The lock prevents an older state from being reported after a
// newer one.
func (n *Node) setState() {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	n.members.SetState(n.machine.Is(StateReady), n.leaving())
}

// ready reports whether this host announces itself as ready. It does so only once its own
// directory lists it: callers that came earlier would get an empty directory.
func (n *Node) ready() bool { return n.machine.Is(StateReady) && n.members.AnnouncesReady() }

// leaving reports whether callers should connect elsewhere.
func (n *Node) leaving() bool { return n.machine.Is(StateLeaving) || n.machine.Is(StateClosing) }

// self returns the constant part of this host's heartbeats.
func (n *Node) self() *pb.Heartbeat {
	return &pb.Heartbeat{
		Host:             n.settings.Host.Id,
		Incarnation:      n.incarnation,
		AvailabilityZone: n.settings.Host.AvailabilityZone,
		CallerAddress:    n.settings.Listen.Caller,
		PeerAddress:      n.settings.Listen.Peer,
		Cores:            n.settings.Host.Cores,
	}
}

// sendHeartbeat sends one heartbeat. atInterval is false for a requested one between intervals.
func (n *Node) sendHeartbeat(to member.Audience, atInterval bool, now time.Time) {
	state := n.commonHeartbeat(now)
	if atInterval && len(to.Routing)+len(to.Standby) > 0 {
		n.addDemand(state, now)
	}
	if len(to.Routing) > 0 {
		full := proto.CloneOf(state)
		if atInterval {
			full.Members = n.members.MemberStates(false, now)
		}
		n.addRoutingState(full, atInterval, now)
		n.send(full, to.Routing)
	}
	if len(to.Standby) > 0 {
		n.sendToStandby(n.standbyHeartbeat(state, now), to.Standby, now)
	}
	if len(to.Ask) > 0 {
		state.Asks = true
		n.send(state, to.Ask)
	}
}

func (n *Node) send(b *pb.Heartbeat, to []string) {
	n.gossip.Send(member.Split(b, n.nextSequence), to)
}

func (n *Node) nextSequence() uint64 { return n.sequence.Add(1) }

// standbyHeartbeat returns the heartbeat for standby hosts. They do not receive heartbeats from
// all routing hosts, so a routing host forwards how long ago any host read the topics. Routing
// hosts do not forward such ages to each other: a received age lacks its time in transit, so ages
// passed back and forth would hardly grow even if no host read the topic any more.
func (n *Node) standbyHeartbeat(state *pb.Heartbeat, now time.Time) *pb.Heartbeat {
	out := proto.CloneOf(state)
	out.Members = n.members.MemberStates(true, now)
	out.Standby = n.members.StandbyCounts(now)
	out.Contacts = n.contactMessages(true, now)
	if n.members.View(now).FullMesh {
		// A standby host of a small fleet may be the next to decide about canary releases, and hears from all hosts.
		out.MoveAnswers = n.canaries.Answers()
	}
	n.members.AddDigest(out, now)
	if out.Uses = n.limiter.FullestBuckets(now); n.directoryByLoad() {
		out.Uses = n.limiter.FullestBucketsByLoad(now)
	}
	out.Crashes = n.crashes.Refusals(now)
	if out.Routing {
		out.OperatorsAgeMs = ageMs(n.operatorsAge(now))
		out.EntriesAgeMs = ageMs(n.entriesAge(now))
	}
	return out
}

// commonHeartbeat returns the part of the heartbeat that goes to every host.
func (n *Node) commonHeartbeat(now time.Time) *pb.Heartbeat {
	b := n.self()
	v := n.members.View(now)
	b.Ready = n.ready()
	b.Leaving = n.leaving()
	b.Routing, b.Asks = v.SelfRouting, v.FullMesh
	b.OperatorsAgeMs = ageMs(n.operatorsReadAge(now))
	b.EntriesAgeMs = ageMs(n.servers.Age(now))
	b.LeaseEnd, b.LeaseEra = n.lease.LogEndIfHeld(), n.lease.LogEra()
	b.Settled = n.settled(now)
	b.Detached = n.members.Detached()
	b.Utilisation = n.measureLoad(now)
	b.LevelsUnknown = !n.limiter.Informed(now)
	b.Contacts = n.contactMessages(false, now)
	b.Brittle = n.replicas.BrittleReports(now)
	for _, l := range n.replicas.LimitReports(now) {
		b.Limits = append(b.Limits, limitMessage(l))
	}
	for _, t := range n.sharedTopics() {
		if t.Synced() {
			at := t.Position()
			b.Positions = append(b.Positions, &pb.TopicPosition{Topic: t.Name(), End: at.Offset, Era: at.Era, Retained: int32(t.Retained())})
		}
	}
	return b
}

// ageMs returns an age in the heartbeat's encoding, in which -1 means never.
func ageMs(age time.Duration) int64 {
	if age >= topic.NeverFresh {
		return -1
	}
	return age.Milliseconds()
}

// addRoutingState adds what only hosts that send requests to replicas need.
func (n *Node) addRoutingState(b *pb.Heartbeat, atInterval bool, now time.Time) {
	b.Loads = n.loadReports.Changes(n.replicas.Loads(now), atInterval)
	b.Sent = n.scheduler.TakeSent()
	b.Uses = n.limiter.Changes(now)
	b.Crashes = n.crashes.Changes(now, atInterval)
	if atInterval {
		b.Paces = n.replicas.Slowdowns()
	}
	b.Loading = n.loader.LoadingReplicas()
	b.Down, _ = n.replicas.DownServers(now)
	b.Named = n.replicas.NamedVersions(now)
	if n.canaryLease.Valid() {
		b.MovePermits = n.canaries.Permits(n.canaryLease.Fencing(), now)
	}
	if atInterval && n.canaries.HasUnreported() {
		b.MoveAnswers = n.canaries.TakeAnswers()
	}
	n.loader.EachRecentLoad(now, func(id, model string, version int64, age time.Duration) {
		if !atInterval && age > n.settings.Member.HeartbeatInterval.AsDuration() {
			// A heartbeat at an interval has reported it.
			return
		}
		b.Weights = append(b.Weights, &pb.ReplicaWeights{Replica: id, Model: model, Version: version})
	})
}

// countSent counts the bytes of a datagram by whether it stays in the availability zone.
func (n *Node) countSent(to string, bytes int) {
	n.heartbeatBytes.Add(int64(bytes))
	n.metrics.Moved(obs.Heartbeats, n.members.ZoneOf(to) == n.settings.Host.AvailabilityZone, bytes)
}

// sharedTopics returns the topics whose records hosts fetch from each other.
func (n *Node) sharedTopics() []*topic.Table {
	return []*topic.Table{n.operators, n.servers, n.releaseStatuses}
}
