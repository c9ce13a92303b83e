package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
)

const (
	// fetchTimeout bounds a fetch of records from another host.
	fetchTimeout = 800 * time.Millisecond
	// freshEntries is the age of a read of the backend servers' entries, by any
	// host, from which this host reads them itself. With a heartbeat's interval, a
	// read and the way here it keeps what is known well under a second old.
	freshEntries = 400 * time.Millisecond
	// freshStagger is added for each host that comes before this one, so that they
	// do not all read at once.
	freshStagger = 60 * time.Millisecond
	// maxStagger bounds the hosts that are waited for.
	maxStagger = 6
	// toldAddresses bounds the peer addresses in a heartbeat.
	toldAddresses = 12
	// loadingHold is how long a replica that another host orders gets no requests
	// unless the next heartbeat says so again.
	loadingHold = 600 * time.Millisecond
	// standbyTicks is the number of heartbeat intervals between two heartbeats of a
	// standby host to other standby hosts; primary ones get each. Three of them still
	// fit into the time after which a host counts as dead.
	standbyTicks = 2
	// knownBeats is the number of heartbeats between two that tell of other hosts'
	// addresses: that is half of what a heartbeat to standby hosts holds.
	knownBeats = 5
	// leastKick is the shortest pause between two heartbeats.
	leastKick = 5 * time.Millisecond
)

// beatNow asks for a heartbeat to every host at once.
func (n *Node) beatNow() {
	n.toAll.Store(true)
	n.beatSoon()
}

// beatSoon asks for a heartbeat to the primary hosts.
func (n *Node) beatSoon() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// heartbeats tells the other hosts, each interval and when asked to.
func (n *Node) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(n.settings.Member.HeartbeatInterval.AsDuration())
	defer ticker.Stop()
	now := time.Now()
	for _, seed := range n.settings.Member.Seeds {
		n.members.Learn(n.peerAt(seed), now)
	}
	for tick := 0; ; {
		n.beat()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			tick++
			if tick%standbyTicks == 0 || n.primary(time.Now()) {
				n.toAll.Store(true)
			}
		case <-n.kick:
			time.Sleep(leastKick)
		}
	}
}

// primary reports whether callers are sent to this host.
func (n *Node) primary(now time.Time) bool {
	_, here := n.primaries(now)
	return here
}

// primaries returns the hosts to which callers are sent, and whether this is one
// of them.
func (n *Node) primaries(now time.Time) (hosts []*pb.Heartbeat, here bool) {
	serving := n.members.Serving(now)
	if n.machine.Is(StateReady) {
		serving = append(serving, n.self())
	}
	hosts = serving
	if !n.off[mechanism.PrimaryHosts] {
		hosts = member.Primaries(serving)
	}
	for _, h := range hosts {
		here = here || h.Host == n.settings.Host.Id
	}
	return hosts, here
}

// self returns what does not change in this host's heartbeats.
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

// targets returns the addresses to send a heartbeat to now: those that get all of
// it, and those of standby hosts, which get no word of work.
func (n *Node) targets(now time.Time) (full, brief []string) {
	hosts, _ := n.primaries(now)
	primary := map[string]bool{}
	for _, h := range hosts {
		primary[h.PeerAddress] = true
	}
	delete(primary, n.settings.Listen.Peer)
	if !n.toAll.Swap(false) {
		return slices.Collect(maps.Keys(primary)), nil
	}
	standby := map[string]bool{}
	for _, h := range n.members.Serving(now) {
		standby[h.PeerAddress] = !primary[h.PeerAddress]
	}
	for _, address := range n.members.Targets(now) {
		if standby[address] {
			brief = append(brief, address)
		} else {
			full = append(full, address)
		}
	}
	return full, brief
}

// beat sends one heartbeat.
func (n *Node) beat() {
	now := time.Now()
	full, brief := n.targets(now)
	b := n.self()
	b.Sequence = n.sequence.Add(1)
	b.Ready = n.machine.Is(StateReady)
	b.Leaving = n.machine.Is(StateLeaving) || n.machine.Is(StateClosing)
	if b.Sequence%knownBeats == 1 {
		b.Known = n.members.Addresses(now, toldAddresses)
	}
	b.StoreAgeMs = n.access.Age(now).Milliseconds()
	b.EntriesAgeMs = n.servers.Age(now).Milliseconds()
	b.LeaseEnd = n.lease.HeldEnd()
	for _, t := range n.shared() {
		if t.Synced() {
			b.Positions = append(b.Positions, &pb.TopicPosition{Topic: t.Name(), End: t.End()})
		}
	}
	n.gossip.Send(b, brief)
	n.addWork(b, now)
	n.gossip.Send(b, full)
}

// addWork adds what only those need to know that send requests to replicas.
func (n *Node) addWork(b *pb.Heartbeat, now time.Time) {
	b.Loads = n.replicas.Loads(now)
	b.Sent = n.scheduler.TakeSent()
	b.Loading = n.loader.Busy()
	b.Down, _ = n.replicas.Down(now)
	n.loader.Recent(now, func(id, model string, version int64) {
		b.Weights = append(b.Weights, &pb.ReplicaWeights{Replica: id, Model: model, Version: version})
	})
}

// entriesFresh reports whether some live host has just read the backend servers'
// entries and this one lacks none of them.
func (n *Node) entriesFresh() bool {
	now := time.Now()
	if n.servers.Age(now) < freshEntries {
		return true
	}
	end := n.servers.End()
	limit := freshEntries + time.Duration(min(n.rank(), maxStagger))*freshStagger
	for _, h := range n.members.Hosts(now) {
		age := h.Age + time.Duration(h.Beat.EntriesAgeMs)*time.Millisecond
		if h.Alive && !h.Beat.Leaving && age < limit && position(h.Beat, platform.ReplicaTopic) <= end {
			return true
		}
	}
	return false
}

// shared returns the topics that hosts pass on to each other.
func (n *Node) shared() []*topic.Table { return []*topic.Table{n.operators, n.servers} }

// heard takes another host's heartbeat.
func (n *Node) heard(b *pb.Heartbeat) {
	if b.Host == n.settings.Host.Id {
		return
	}
	now := time.Now()
	before, fresh := n.members.Heard(b, now)
	if !fresh {
		return
	}
	n.noteHost(before, b)
	for _, known := range b.Known {
		if known != n.settings.Listen.Peer {
			n.members.Learn(known, now)
		}
	}
	n.replicas.SetLoads(b.Host, b.Loads)
	n.lease.Heard(b.Host, b.LeaseEnd)
	n.replicas.Suspect(b.Host, b.Down, now)
	for _, id := range b.Loading {
		n.replicas.Loading(id, now.Add(loadingHold))
	}
	for _, w := range b.Weights {
		if n.replicas.Holds(w.Replica, w.Model, w.Version) {
			n.index.Clear(w.Replica)
		}
	}
	n.heardSent(b)
	n.catchUp(b, now)
}

func (n *Node) heardSent(b *pb.Heartbeat) {
	c := n.config.Load()
	if c == nil || len(b.Sent) == 0 {
		return
	}
	for _, s := range c.Services {
		if s.Engine != nil {
			n.scheduler.Heard(b.Sent, s.Engine.CacheTokens, time.Now())
			return
		}
	}
}

// noteHost logs what changed about another host.
func (n *Node) noteHost(before, now *pb.Heartbeat) {
	changed := before == nil || before.Incarnation != now.Incarnation || before.Ready != now.Ready || before.Leaving != now.Leaving
	if !changed {
		return
	}
	n.log.WithFields(logrus.Fields{
		"host": now.Host, "ready": now.Ready, "leaving": now.Leaving, "incarnation": now.Incarnation, "known_before": before != nil,
	}).Info("host changed")
}

// catchUp fetches records that another host has applied and this one lacks.
func (n *Node) catchUp(b *pb.Heartbeat, now time.Time) {
	for _, t := range n.shared() {
		ahead := position(b, t.Name()) > t.End() || !t.Synced() && position(b, t.Name()) > 0
		if !ahead {
			continue
		}
		if _, busy := n.fetching.LoadOrStore(t.Name(), true); busy {
			continue
		}
		go func() {
			defer n.fetching.Delete(t.Name())
			n.fetch(t, b.Host, b.PeerAddress)
		}()
	}
}

func (n *Node) fetch(t *topic.Table, host, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	from := t.End()
	if !t.Synced() {
		from = 0
	}
	resp, err := n.peers.FetchRecords(ctx, address, &pb.FetchRecordsRequest{Topic: t.Name(), From: from})
	if err != nil {
		n.log.WithError(err).WithFields(logrus.Fields{"host": host, "topic": t.Name()}).Info("records not fetched from another host")
		return
	}
	records := make([]platform.Record, 0, len(resp.Records))
	for _, r := range resp.Records {
		records = append(records, platform.Record{Key: r.Key, Value: r.Value, Offset: r.Offset, Removed: r.Removed})
	}
	taken := t.MergeAll(records, resp.End, resp.Trusted)
	n.becomeReady()
	if taken > 0 {
		n.log.WithFields(logrus.Fields{"host": host, "topic": t.Name(), "records": taken, "end": resp.End}).Info("records taken from another host")
	}
}

// peerService answers other hosts.
type peerService struct {
	n *Node
}

var errNoTopic = errors.New("this host does not have the topic")

// FetchRecords implements the peer service.
func (p *peerService) FetchRecords(_ context.Context, in *pb.FetchRecordsRequest) (*pb.FetchRecordsResponse, error) {
	for _, t := range p.n.shared() {
		if t.Name() != in.Topic || !t.Synced() {
			continue
		}
		records, end := t.From(in.From)
		out := &pb.FetchRecordsResponse{End: end, Trusted: p.n.access.Stable(time.Now())}
		for _, r := range records {
			out.Records = append(out.Records, &pb.TopicRecord{Key: r.Key, Value: r.Value, Offset: r.Offset, Removed: r.Removed})
		}
		return out, nil
	}
	return nil, errNoTopic
}
