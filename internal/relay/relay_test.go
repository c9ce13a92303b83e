package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/member"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// servers maps the servers that a host knows to their start times.
type servers map[string]int64

func (s servers) started(id string) (int64, bool) { v, ok := s[id]; return v, ok }

func passedOn(r *Reports, ms int) *pb.Heartbeat {
	b := &pb.Heartbeat{Host: "relay", Routing: true}
	r.Fill(b, at(ms))
	return b
}

func prompt(server string, parts ...uint64) *pb.PrefixSent {
	return &pb.PrefixSent{Replica: server, Parts: parts, Tokens: make([]int32, len(parts)), ReadyMs: 80}
}

// heartbeat reports that server a loads weights, is down and has new weights, and that it was sent a prompt.
func heartbeat(sequence uint64) *pb.Heartbeat {
	return &pb.Heartbeat{
		Host: "h", Sequence: sequence, Loading: []string{"a", "unknown"}, Down: []string{"a"}, Sent: []*pb.PrefixSent{prompt("a", 1)},
		Weights: []*pb.ReplicaWeights{{Replica: "a", Model: "m", Version: 2}},
	}
}

// TestReportsLapseHoweverOftenTheyArePassedOn guards against reports that hosts keep alive between them, or that a
// relay which is cut off from the observing host repeats for ever.
func TestReportsLapseHoweverOftenTheyArePassedOn(t *testing.T) {
	known := servers{"a": 1}
	relay, next, standby := NewReports(known.started), NewReports(known.started), NewReceived("standby", known.started)
	relay.Observe(heartbeat(1), at(0))
	for ms := 0; ms < 3000; ms += 100 {
		b := passedOn(relay, ms)
		next.Observe(b, at(ms))
		reports, _ := standby.Accept(b, at(ms+20))
		kinds := map[pb.RelayedReport_Kind]bool{}
		for _, r := range reports {
			kinds[r.Kind] = true
			if r.At != at(20) || r.Until != at(20).Add(timeout(r.Kind)) {
				t.Fatalf("after %d ms the report about %s counts from %v until %v", ms, r.Server, r.At, r.Until)
			}
		}
		for kind, limit := range map[pb.RelayedReport_Kind]int{pb.RelayedReport_LOADING: 900, pb.RelayedReport_DOWN: 700, pb.RelayedReport_WEIGHTS: 2500} {
			if kinds[kind] != (ms < limit) {
				t.Errorf("after %d ms a report of kind %v counts: %v", ms, kind, kinds[kind])
			}
		}
		if passed := len(b.RelayedPrefixes) > 0; passed != (ms < 2500) {
			t.Errorf("after %d ms the prompt is passed on: %v", ms, passed)
		}
		if b := passedOn(next, ms); len(b.RelayedReports)+len(b.RelayedPrefixes) > 0 {
			t.Fatalf("relayed reports are passed on again: %v", b)
		}
	}
	if len(relay.servers) > 0 {
		t.Errorf("%d reports are kept", len(relay.servers))
	}
}

// TestRestartClearsReports guards against reports about an earlier incarnation of a server that count for the new
// one, whether the relay or the standby host learns of the restart first.
func TestRestartClearsReports(t *testing.T) {
	atRelay, atStandby := servers{"a": 1}, servers{"a": 1}
	relay, standby := NewReports(atRelay.started), NewReceived("standby", atStandby.started)
	for i, step := range []struct {
		relay, standby int64
		observed       bool
		accepted       int
	}{
		{1, 2, true, 0},
		{2, 2, false, 0},
		{2, 2, true, 4},
		{3, 2, true, 0},
		// What the standby host could not place before is accepted now.
		{3, 3, false, 4},
	} {
		if step.relay != atRelay["a"] {
			relay.Forget("a")
		}
		atRelay["a"], atStandby["a"] = step.relay, step.standby
		if step.observed {
			relay.Observe(heartbeat(uint64(i)), at(20*i))
		}
		if reports, prefixes := standby.Accept(passedOn(relay, 20*i+10), at(20*i+10)); len(reports)+len(prefixes) != step.accepted {
			t.Errorf("step %d: %d reports and %d prompts are accepted, want %d in all", i, len(reports), len(prefixes), step.accepted)
		}
	}
}

// TestPromptsCountOnce guards against prompts that two relays pass on, or one several times, and that are counted
// each time, against hosts that are told of their own, and against ones that are lost with a datagram.
func TestPromptsCountOnce(t *testing.T) {
	known := servers{"a": 1, "b": 1}
	relays := []*Reports{NewReports(known.started), NewReports(known.started)}
	for i, r := range relays {
		r.Observe(&pb.Heartbeat{Host: "h", Sequence: 7, Sent: []*pb.PrefixSent{prompt("a", 1), prompt("a", 1, 2), prompt("b", 1)}}, at(10*i))
		// The same blocks, which the receivers know of.
		r.Observe(&pb.Heartbeat{Host: "h", Sequence: 8, Sent: []*pb.PrefixSent{prompt("a", 1, 2)}}, at(100+10*i))
		r.Observe(&pb.Heartbeat{Host: "standby", Sequence: 7, Sent: []*pb.PrefixSent{prompt("b", 1, 3)}}, at(100+10*i))
	}
	// The datagram of 150 ms arrives late, and a host starts to work at 2 s.
	standby, applied, late := NewReceived("standby", known.started), 0, passedOn(relays[0], 150)
	if _, prefixes := NewReceived("started", known.started).Accept(passedOn(relays[1], 2000), at(2000)); len(prefixes) != 4 || prefixes[3].At != at(10) {
		t.Errorf("a host that starts to work learns of %d earlier prompts: %v", len(prefixes), prefixes)
	}
	for ms := 300; ms < 8000; ms += 150 {
		b := passedOn(relays[ms/150%2], ms)
		if ms == 2550 {
			b = late
		}
		_, prefixes := standby.Accept(b, at(ms))
		applied += len(prefixes)
	}
	if applied != 3 || len(standby.applied) > 0 {
		t.Errorf("%d prompts are applied, want the 3 of the other host; %d are remembered for ever", applied, len(standby.applied))
	}
}

// TestRelayedBytesAreLimited guards against heartbeats that fill the link of a small host: with 1,000 hosts that
// send prompts, and 300 servers that are down, load weights or have new ones, a relay adds less than 8 KB.
func TestRelayedBytesAreLimited(t *testing.T) {
	for _, pad := range []int{0, 12, 60} {
		known, whole := servers{}, &pb.Heartbeat{
			Host: "edge-heredia-a-1", Incarnation: 1 << 60, AvailabilityZone: "heredia-a", CallerAddress: "10.10.10.10:18080", PeerAddress: "10.10.10.10:18081", Routing: true,
			OperatorsAgeMs: 1000, EntriesAgeMs: 1000, LeaseEnd: 1 << 30, Cores: 0.8, Utilisation: 900,
			Positions: []*pb.TopicPosition{{Topic: "operators", End: 1 << 30, Era: 3}, {Topic: "servers", End: 1 << 30, Era: 3}, {Topic: "statuses", End: 1 << 30, Era: 3}},
		}
		size := func() (bytes int) {
			for _, part := range member.Split(whole, func() uint64 { return 1 << 40 }) {
				bytes += 28 + proto.Size(part)
			}
			return bytes
		}
		before := size()
		var ids []string
		for i := range 300 {
			ids = append(ids, fmt.Sprintf("i-%08x%s", i, strings.Repeat("x", pad)))
			known[ids[i]] = 1_780_000_000_000
		}
		for _, id := range ids[:64] {
			whole.TotalLoads = append(whole.TotalLoads, &pb.ReplicaLoad{Replica: id, Requests: 900, PrefillTokens: 200_000, MemoryTokens: 1_500_000, Waiting: 800, Ended: 400, Failed: 200})
		}
		relay, newest := NewReports(known.started), uint64(1<<63)
		for host := range 1000 {
			b := &pb.Heartbeat{Host: fmt.Sprint("h", host), Sequence: 9, Loading: ids[host%200 : host%200+20], Down: ids[host%300:]}
			for i := range 10 {
				newest++
				b.Sent = append(b.Sent, prompt(ids[(host+i)%300], 1<<63, 2<<62, 3<<61, newest))
				b.Weights = append(b.Weights, &pb.ReplicaWeights{Replica: ids[(host+i)%300], Model: "model-a", Version: 12})
			}
			relay.Observe(b, at(host/100))
		}
		relay.Fill(whole, at(20))
		added, loads, reports, prefixes := size()-before, len(whole.TotalLoads), whole.RelayedReports, whole.RelayedPrefixes
		t.Logf("server IDs of %d bytes: %d bytes added: %d loads, %d reports, %d prompts", 10+pad, added, loads, len(reports), len(prefixes))
		if added >= 8<<10 || len(reports) > 64 || len(relay.servers) > maxRecorded || len(relay.prefixes) > maxPrefixes {
			t.Errorf("%d bytes and %d reports are added; %d and %d prompts are kept", added, len(reports), len(relay.servers), len(relay.prefixes))
		}
		if len(prefixes) < 4 || prefixes[0].Sent.Parts[3] != newest || pad < 20 && loads < 64 || len(reports) < 16 || reports[0].Kind != pb.RelayedReport_LOADING {
			t.Errorf("only %d loads, %d reports and %d prompts are passed on, or not the newest", loads, len(reports), len(prefixes))
		}
	}
}
