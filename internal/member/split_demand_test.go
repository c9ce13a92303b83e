package member

import (
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// TestDemandsFitIntoPackets guards against reports of shortages that are dropped as too large, or left
// out of the packets.
func TestDemandsFitIntoPackets(t *testing.T) {
	const services, organisations, refused = 5, 32, 64
	whole := &pb.Heartbeat{Host: "edge-heredia-a-1", Positions: []*pb.TopicPosition{{Topic: "keyed.op", End: 900}}}
	for i := range uint32(services) {
		d := &pb.ServiceDemand{Service: i + 1, ShortMs: proto.Int64(900), Served: 12345.6}
		for j := range uint64(organisations) {
			d.Organisations = append(d.Organisations, &pb.OrganisationDemand{Organisation: j, Offered: 1.1})
		}
		whole.Demands = append(whole.Demands, d)
	}
	for i := range uint64(refused) {
		whole.Refused = append(whole.Refused, i)
	}
	joined := &pb.Heartbeat{}
	for _, part := range Split(whole, func() uint64 { return 1 }) {
		if size := proto.Size(part); size > maxDatagramBytes {
			t.Fatalf("a datagram of %d bytes", size)
		}
		joined.Demands, joined.Refused = append(joined.Demands, part.Demands...), append(joined.Refused, part.Refused...)
	}
	if len(joined.Demands) != services || len(joined.Refused) != refused || len(joined.Demands[0].Organisations) != organisations {
		t.Errorf("%d demands and %d refused requests arrive", len(joined.Demands), len(joined.Refused))
	}
}
