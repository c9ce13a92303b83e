package member

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// TestSplitHeartbeatsFitIntoPackets checks that a host with requests at 5,300 replicas,
// hundreds of them down, reports them all in order, in datagrams that each fit into one
// packet.
func TestSplitHeartbeatsFitIntoPackets(t *testing.T) {
	whole := &pb.Heartbeat{Host: "edge-heredia-a-1", Incarnation: 7, AvailabilityZone: "heredia-a", Routing: true, Positions: []*pb.TopicPosition{{Topic: "keyed.op", End: 900}}}
	whole.Named = []*pb.NamedWeights{{Model: "m", Version: 2, AgeMs: 700}}
	const replicas = 5300
	for i := range replicas {
		id := fmt.Sprintf("i-%08x", i)
		whole.Loads = append(whole.Loads, &pb.ReplicaLoad{Replica: id, Requests: 12, PrefillTokens: 20000, MemoryTokens: 150000, Waiting: 3, Ended: 40, Failed: 2})
		if i%10 == 0 {
			whole.Down = append(whole.Down, id)
			whole.Sent = append(whole.Sent, &pb.PrefixSent{Replica: id, Parts: []uint64{1, 2, 3}, Tokens: []int32{1, 2, 3}, Source: "10.1.2.3:8080"})
		}
	}
	sequence := uint64(40)
	joined := &pb.Heartbeat{}
	for i, part := range Split(whole, func() uint64 { sequence++; return sequence }) {
		if size := proto.Size(part); size > maxDatagramBytes {
			t.Fatalf("datagram %d has %d bytes, more than the limit", i, size)
		}
		if part.Host != whole.Host || !part.Routing || len(part.Positions) != 1 || part.Sequence != uint64(41+i) {
			t.Fatalf("datagram %d has host %s and sequence number %d", i, part.Host, part.Sequence)
		}
		joined.Loads = append(joined.Loads, part.Loads...)
		joined.Down = append(joined.Down, part.Down...)
		joined.Sent = append(joined.Sent, part.Sent...)
		joined.Named = append(joined.Named, part.Named...)
	}
	if len(joined.Loads) != replicas || len(joined.Down) != len(whole.Down) || len(joined.Sent) != len(whole.Sent) {
		t.Errorf("%d loads, %d down and %d prompts arrive", len(joined.Loads), len(joined.Down), len(joined.Sent))
	}
	if len(joined.Named) != 1 || !proto.Equal(joined.Named[0], whole.Named[0]) {
		t.Errorf("named weights arrive as %v", joined.Named)
	}
	if joined.Loads[replicas-1].Replica != whole.Loads[replicas-1].Replica {
		t.Error("the order has changed")
	}
}
