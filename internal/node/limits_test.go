package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/quota"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/caller"
)

// An organisation without a limit and one with a limit. A test has time to use up the burst, but
// not for the bucket to drain.
const (
	unlimited = `{"Name": "museum-a", "ApiKeys": ["key-of-museum-a"], "Priority": 1}`
	limited   = `{"Name": "museum-a", "ApiKeys": ["key-of-museum-a"], "Priority": 1, "RatePerS": 0.01, "Burst": 40}`
)

// TestLimitHoldsOverAllHosts checks that an organisation's limit holds for all hosts together,
// that other organisations are served meanwhile, and that a removed limit ends on each host.
// Before hosts applied limits, all of these requests ran.
func TestLimitHoldsOverAllHosts(t *testing.T) {
	s := newSite(t)
	s.configure(1, unlimited, limited)
	a := s.host("a", s.address)
	b := s.host("b", s.address, a)
	hosts := []*host{a, b}
	eventually(t, "two ready hosts that list each other", func() bool {
		return a.ready() && b.ready() && len(a.node.directory("z1")) == 2 && len(b.node.directory("z1")) == 2
	})
	view := caller.Request{ID: "v", Method: "GET", Path: "/views/1"}
	served, refused := 0, 0
	eventually(t, "rejections by every host", func() bool {
		refusals := 0
		for _, h := range hosts {
			switch answer := send(t, h.caller(), view); answer.Status {
			case 200:
				served++
			case 429:
				refusals++
				refused++
			default:
				t.Fatalf("answer %+v", answer)
			}
		}
		return refusals == len(hosts) && served > 0
	})
	// Neither host knows yet what the other has admitted since its last heartbeat.
	if served > 60 {
		t.Errorf("%d requests served of a burst of 40, %d refused", served, refused)
	}
	other := a.caller()
	other.Key = "key-of-museum-b"
	if answer := send(t, other, view); answer.Status != 200 {
		t.Errorf("another organisation: %+v", answer)
	}
	s.configure(2)
	eventually(t, "the limit's end on both hosts", func() bool {
		return send(t, a.caller(), view).Status == 200 && send(t, b.caller(), view).Status == 200
	})
}

// TestChangedLimitsAreAudited checks that each changed limit is logged once with its old and new
// value, and that an invalid limit is logged while the rest of the configuration applies.
func TestChangedLimitsAreAudited(t *testing.T) {
	n := newIdleNode(t, "a")
	var out bytes.Buffer
	n.log.SetOutput(&out)
	put := func(offset int64, version, organisations string) {
		n.operators.Merge([]platform.Record{{Key: "config", Offset: offset, Value: []byte(
			`{"Version":` + version + `,"Tenants":[` + organisations + `]}`,
		)}}, topic.Position{Offset: offset + 1}, false)
	}
	put(0, "1", `{"Name":"o","ApiKeys":["k"],"RatePerS":5,"Burst":7},{"Name":"p","ApiKeys":["l"],"RatePerS":5,"Unit":"furlong"}`)
	put(1, "2", `{"Name":"o","ApiKeys":["k"],"RatePerS":9,"Burst":7},{"Name":"p","ApiKeys":["l"]}`)
	text := out.String()
	for line, times := range map[string]int{"rate limit changed": 2, "rate limit not taken": 1, "configuration in force": 2} {
		if got := strings.Count(text, line); got != times {
			t.Errorf("%d lines %q, want %d", got, line, times)
		}
	}
	if !strings.Contains(text, "5 requests a second, burst 7") || !strings.Contains(text, "9 requests a second, burst 7") || !strings.Contains(text, "furlong") {
		t.Error(text)
	}
}

// TestLostRoutingHostsKeepTheirShare checks that the sides of a network partition together keep
// to the limit while small hosts on each side replace the large ones that are lost there. Before
// lost hosts were remembered, each side took the whole limit and twice as much was admitted.
func TestLostRoutingHostsKeepTheirShare(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	hosts := func(names ...string) []*pb.Heartbeat {
		var out []*pb.Heartbeat
		for _, name := range names {
			out = append(out, &pb.Heartbeat{Host: name})
		}
		return out
	}
	lost := map[string]bool{}
	isLost := func(host string) bool { return lost[host] }
	r := routingHistory{}
	if n := r.countLost(hosts("a", "b", "c", "d", "e"), isLost, now); n != 0 {
		t.Errorf("%d lost at first", n)
	}
	lost["d"], lost["e"] = true, true
	now = now.Add(time.Second)
	if n := r.countLost(hosts("a", "b", "c", "small-1", "small-2"), isLost, now); n != 2 {
		t.Errorf("%d of two lost hosts are remembered", n)
	}
	// A host that is on standby again, or that is back, does not count as lost.
	lost["e"] = false
	now = now.Add(time.Second)
	if n := r.countLost(hosts("a", "b", "c", "small-1", "e"), isLost, now); n != 1 {
		t.Errorf("%d lost, want 1", n)
	}
	now = now.Add(countRetention)
	if n := r.countLost(hosts("a", "b", "c", "small-1", "e"), isLost, now); n != 0 {
		t.Errorf("%d lost hosts are never forgotten", n)
	}
}

// TestShareCountsUnseenHosts guards against both sides of a network partition each admitting the
// full limit after their hosts restart. A host that knows five addresses and receives heartbeats
// from two of them must reserve a share for the other three.
func TestShareCountsUnseenHosts(t *testing.T) {
	n := newIdleNode(t, "a")
	n.started = clock.Now().Add(-discoveryTime)
	n.limiter = quota.NewLimiter(quota.Terms{}, time.Second, n.started)
	n.hosts.Snapshot(platform.Page{}, true)
	for _, id := range []string{"b", "c", "d", "e", "f"} {
		n.members.AddPeer(id+":5", clock.Now())
	}
	for _, id := range []string{"b", "c"} {
		n.receiveHeartbeat(&pb.Heartbeat{
			Host: id, PeerAddress: id + ":5", AvailabilityZone: "z1", Incarnation: 1, Sequence: 1, Ready: true, Routing: true,
		})
	}
	now := clock.Now()
	n.updateLimitShares(now)
	if share := n.limiter.Share(now); share != 0.5 {
		t.Errorf("share is %.2f with three of six hosts seen, want 0.50", share)
	}
}

// TestLeavingHostsDivideLimit guards against each host admitting the full limit while all
// hosts of a fleet are leaving.
func TestLeavingHostsDivideLimit(t *testing.T) {
	n := newIdleNode(t, "a")
	n.limiter = quota.NewLimiter(quota.Terms{}, time.Second, clock.Now().Add(-time.Minute))
	n.hosts.Snapshot(platform.Page{}, true)
	receive := func(sequence uint64, leaving bool) {
		for _, id := range []string{"b", "c", "d"} {
			n.receiveHeartbeat(&pb.Heartbeat{
				Host: id, PeerAddress: id + ":5", AvailabilityZone: "z1", Incarnation: 1, Sequence: sequence,
				Ready: !leaving, Leaving: leaving, Routing: !leaving,
			})
		}
	}
	receive(1, false)
	n.updateLimitShares(clock.Now())
	receive(2, true)
	n.members.SetState(false, true)
	n.updateLimitShares(clock.Now())
	if share := n.limiter.Share(clock.Now()); share != 0.25 {
		t.Errorf("share is %.2f with all four hosts leaving, want 0.25", share)
	}
}

// TestStandbyHostDividesLimitsUntilRelaysKnowThem guards against standby hosts that each admit the full limit because they
// take the silence of relays that have just started for limits that nobody uses.
func TestStandbyHostDividesLimitsUntilRelaysKnowThem(t *testing.T) {
	n := newIdleNodeOf(t, "small", smallCores)
	n.started = clock.Now().Add(-time.Minute)
	n.limiter = quota.NewLimiter(quota.Terms{}, time.Second, n.started)
	n.hosts.Snapshot(platform.Page{}, true)
	for sequence, unknown := range []bool{false, true, false} {
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			n.receiveHeartbeat(&pb.Heartbeat{
				Host: id, PeerAddress: id + ":5", AvailabilityZone: "z1", Incarnation: 1, Sequence: uint64(sequence + 1), Cores: largeCores,
				Ready: true, Routing: true, LevelsUnknown: unknown,
			})
		}
		now := clock.Now()
		n.updateLimitShares(now)
		if v := n.members.View(now); v.SelfRouting || len(v.Relays) == 0 {
			t.Fatalf("not a standby host with relays: %+v", v)
		}
		want := 1.0
		if unknown {
			want = 1.0 / 6
		}
		if share := n.limiter.Share(now); share != want {
			t.Errorf("share is %.2f while relays do not know the levels: %t, want %.2f", share, unknown, want)
		}
	}
}
