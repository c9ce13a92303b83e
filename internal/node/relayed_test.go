package node

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/platform"
)

// routingHosts is the number of large hosts of a relayFleet: small ones stay on standby without two of them.
const routingHosts = 6

var relayedService = &config.Service{Name: "writer", Engine: &config.Engine{Slots: 64, CacheTokens: 165_000, TokenBytes: 163_840, LinkMbps: 1}}

// relayFleet is routing hosts and two on standby without loops, which exchange heartbeats. Hosts that are lost receive
// and send none; routing hosts that are cut off reach only those on standby.
type relayFleet struct {
	t         *testing.T
	nodes     []*Node
	lost, cut map[*Node]bool
	// standby has a request in flight; idle has none.
	standby, idle *Node
	// relays are the relays of standby, others the routing hosts that are not.
	relays, others []*Node
	// previousBuild hosts neither send nor receive the fields that this build has added.
	previousBuild map[*Node]bool
	// received holds what hosts received in the last round.
	received map[*Node][]*pb.Heartbeat
}

func newRelayFleet(t *testing.T, byLoad bool) *relayFleet {
	f := &relayFleet{t: t, lost: map[*Node]bool{}, cut: map[*Node]bool{}, previousBuild: map[*Node]bool{}}
	for i := range routingHosts + 2 {
		f.start(fmt.Sprint("h", i), i < routingHosts, byLoad)
	}
	f.standby, f.idle = f.nodes[routingHosts], f.nodes[routingHosts+1]
	f.round()
	f.round()
	f.standby.work()
	f.round()
	v := f.standby.members.View(time.Now())
	for _, n := range f.nodes[:routingHosts] {
		if slices.ContainsFunc(v.Relays, func(b *pb.Heartbeat) bool { return b.Host == n.settings.Host.Id }) {
			f.relays = append(f.relays, n)
		} else {
			f.others = append(f.others, n)
		}
	}
	if len(v.Routing) != routingHosts || v.SelfRouting || len(f.relays) != 2 {
		t.Fatalf("%d hosts route, %d are relays", len(v.Routing), len(f.relays))
	}
	return f
}

func (f *relayFleet) start(id string, large, byLoad bool) *Node {
	n := newIdleNode(f.t, id, func(set *pb.Settings) {
		set.Overload.DirectoryByLoad = byLoad
		if set.Host.Cores = 0.192; large {
			set.Host.Cores = 0.8
		}
	})
	n.config.Store(&config.Config{Version: 1, Services: map[string]*config.Service{"writer": relayedService}})
	n.members.SetState(true, false)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		n.register(id, 1)
	}
	f.nodes = append(f.nodes, n)
	return n
}

func (n *Node) register(id string, started int64) {
	n.replicas.Register(platform.Registration{ID: id, Service: "writer", Address: id + ":1", Slots: 64, Started: started, Weights: map[string]int64{"m": 1}}, 0)
}

// round exchanges the heartbeats of two intervals.
func (f *relayFleet) round() {
	f.received = map[*Node][]*pb.Heartbeat{}
	for _, from := range f.nodes {
		now := time.Now()
		state := from.commonHeartbeat(now)
		var routing, standby []string
		for _, to := range f.nodes {
			if to.members.View(now).SelfRouting {
				routing = append(routing, to.settings.Listen.Peer)
			} else {
				standby = append(standby, to.settings.Listen.Peer)
			}
		}
		f.deliver(from, routing, from.forRouting(state, true, now))
		for _, a := range from.forStandby(from.standbyHeartbeat(state, now), standby, now) {
			f.deliver(from, a.to, member.Split(a.heartbeat, from.nextSequence))
		}
	}
	time.Sleep(300 * time.Millisecond)
}

func (f *relayFleet) deliver(from *Node, addresses []string, parts []*pb.Heartbeat) {
	for _, to := range f.nodes {
		cut := (f.cut[from] || f.cut[to]) && slices.Index(f.nodes, from) < routingHosts && slices.Index(f.nodes, to) < routingHosts
		if to == from || cut || f.lost[from] || f.lost[to] || !slices.Contains(addresses, to.settings.Listen.Peer) {
			continue
		}
		for _, b := range parts {
			b = proto.CloneOf(b)
			if f.previousBuild[from] || f.previousBuild[to] {
				b.RelayedReports, b.RelayedPrefixes = nil, nil
			}
			f.received[to] = append(f.received[to], b)
			to.receiveHeartbeat(b)
		}
	}
}

// report has a routing host that is no relay report that server a loads weights, b is down and c has new weights. It
// does so twice, as hosts ignore that a server loads weights before they know that there are newer ones.
func (f *relayFleet) report() {
	for range 2 {
		b := f.others[0].commonHeartbeat(time.Now())
		b.Named = []*pb.NamedWeights{{Model: "m", Version: 2, AgeMs: 500}}
		b.Loading, b.Down = []string{"a"}, []string{"b"}
		b.Weights = []*pb.ReplicaWeights{{Replica: "c", Model: "m", Version: 2}}
		for _, to := range f.nodes[:routingHosts] {
			f.deliver(f.others[0], []string{to.settings.Listen.Peer}, member.Split(b, f.others[0].nextSequence))
		}
	}
}

// pick returns the server that a host chooses for a request with a prompt, and how many tokens of it are cached there.
func (n *Node) pick(t *testing.T, block string) (string, int) {
	t.Helper()
	c, err := n.scheduler.Pick(&schedule.Request{
		Service: relayedService, Model: "m", Blocks: []platform.Block{{ID: block, Tokens: 13_000}, {ID: "own", Tokens: 400}},
		PromptTokens: 13_400, OutputTokens: 10, LatencyTarget: 800 * time.Millisecond, Exclude: map[string]bool{}, TimeLeft: 800 * time.Millisecond,
	}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Flight.End(replica.Answered, time.Now())
	return c.ID, c.Cached
}

// work begins a request at server e, which no test considers.
func (n *Node) work() { n.replicas.Begin("e", replica.Work{}, time.Now()) }

// states describes what a host knows of the servers that other hosts reported.
func (n *Node) states() string {
	var out []string
	for _, r := range n.replicas.Snapshot("writer", "m", 0, time.Now())[:4] {
		out = append(out, fmt.Sprintf("%s loading=%v down=%v weights=%d", r.ID, r.Loading, r.Suspected, r.Weights))
	}
	return fmt.Sprint(out)
}

// TestWorkingStandbyHostDecidesAsRoutingHost guards against standby hosts that send the requests of their callers to
// servers that load weights or are down, and have prefixes prefilled again that another replica holds.
func TestWorkingStandbyHostDecidesAsRoutingHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRelayFleet(t, true)
		before := f.idle.states()
		// A relay sends the prompt, and the other one does not hear of it.
		block, holder := "", ""
		for i := 0; holder != "d"; i++ {
			block = fmt.Sprint("shared-", i)
			holder, _ = f.relays[1].pick(t, block)
		}
		f.cut[f.relays[0]] = true
		for range 5 {
			f.round()
		}
		delete(f.cut, f.relays[0])
		f.report()
		f.round()
		if got, want := f.standby.states(), f.others[1].states(); got != want || got == before {
			t.Errorf("the standby host knows %s, a routing one %s", got, want)
		}
		for _, n := range []*Node{f.others[1], f.standby} {
			if id, cached := n.pick(t, block); id != holder || cached != 13_000 {
				t.Errorf("%s sends the prompt to %s with %d tokens cached, want %s with all", n.settings.Host.Id, id, cached, holder)
			}
			if id, _ := n.pick(t, "other"); id == "a" || id == "b" {
				t.Errorf("%s sends a request to %s, which loads weights or is down", n.settings.Host.Id, id)
			}
		}
		for n, want := range map[*Node]bool{f.standby: true, f.idle: false} {
			from := map[string]bool{}
			for _, b := range f.received[n] {
				if len(b.RelayedReports)+len(b.RelayedPrefixes)+len(b.Named) > 0 {
					from[b.Host] = true
				}
			}
			if r := f.relays; len(from) > 0 != want || want && (len(from) != 2 || !from[r[0].settings.Host.Id] || !from[r[1].settings.Host.Id]) {
				t.Errorf("%s is sent reports by %v, want its relays: %v", n.settings.Host.Id, from, want)
			}
		}
	})
}

// TestHeartbeatsWithoutDirectoryByLoadAreUnchanged guards against hosts that pass reports on, or apply them, where
// directories do not consider load.
func TestHeartbeatsWithoutDirectoryByLoadAreUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRelayFleet(t, false)
		f.report()
		now := time.Now()
		b := f.relays[0].standbyHeartbeat(f.relays[0].commonHeartbeat(now), now)
		want := proto.CloneOf(b)
		if sent := f.relays[0].forStandby(b, []string{"h6:5", "h7:5"}, now); len(sent) != 1 || len(sent[0].to) != 2 || !proto.Equal(sent[0].heartbeat, want) {
			t.Errorf("standby hosts are sent %v, want %v", sent, want)
		}
		before := f.standby.states()
		b.RelayedReports = []*pb.RelayedReport{{Replica: "b", Started: 1, Kind: pb.RelayedReport_DOWN}}
		b.Sequence = 1 << 30
		f.standby.receiveHeartbeat(b)
		if got := f.standby.states(); got != before {
			t.Errorf("the standby host applies relayed reports: %s", got)
		}
	})
}

// TestRelayFailures guards against standby hosts that lose what they know with one relay, keep reports of relays that
// are lost or cut off, apply reports about an earlier incarnation of a server, or know nothing after they started.
func TestRelayFailures(t *testing.T) {
	for name, test := range map[string]struct {
		change func(f *relayFleet)
		// known is whether the standby host knows the next report, which relays receive after the change.
		known bool
	}{
		"relay killed":       {func(f *relayFleet) { f.lost[f.relays[0]] = true }, true},
		"both relays killed": {func(f *relayFleet) { f.lost[f.relays[0]], f.lost[f.relays[1]] = true, true }, true},
		"relay cut off":      {func(f *relayFleet) { f.cut[f.relays[0]] = true }, true},
		// The standby host still hears from them, and so they remain its relays.
		"both relays cut off":         {func(f *relayFleet) { f.cut[f.relays[0]], f.cut[f.relays[1]] = true, true }, false},
		"host of the previous build":  {func(f *relayFleet) { f.previousBuild[f.standby] = true }, false},
		"relay of the previous build": {func(f *relayFleet) { f.previousBuild[f.relays[0]] = true }, true},
		// The standby host learns of it first, and the reports are about the earlier incarnation.
		"server restarted": {func(f *relayFleet) { f.standby.register("b", 2) }, false},
		"host started":     {func(f *relayFleet) { f.standby = f.start("h9", false, true) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRelayFleet(t, true)
				known := func() bool {
					r := f.standby.replicas.Snapshot("writer", "m", 0, time.Now())
					return r[0].Loading && r[1].Suspected
				}
				f.report()
				if f.round(); !known() {
					t.Fatalf("before the failure the standby host knows %s", f.standby.states())
				}
				test.change(f)
				for i := range 8 {
					if f.round(); i == 0 {
						f.standby.work()
					}
				}
				if known() {
					t.Errorf("the reports have not lapsed: %s", f.standby.states())
				}
				f.report()
				if f.round(); known() != test.known {
					t.Errorf("after the failure the standby host knows %s, want the next reports: %v", f.standby.states(), test.known)
				}
			})
		})
	}
}
