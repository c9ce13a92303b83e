package member

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

func entries(n int) []*pb.HostEntry {
	var out []*pb.HostEntry
	for i := range n {
		out = append(out, &pb.HostEntry{
			Id: fmt.Sprintf("entry-%03d", i), Incarnation: uint64(time.Now().UnixNano()), Beat: uint64(1000 + i), AvailabilityZone: "valle-central-a",
			CallerAddress: "10.0.0.1:17400", PeerAddress: "10.0.0.1:17600", AppliedOffset: 123456, KnownOffset: 123456,
			ClaimsReadMs: time.Now().UnixMilli(), Ready: true,
		})
	}
	return out
}

// BenchmarkHeartbeat merges a heartbeat of so many hosts and builds the answer.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{8, 85, 340} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := NewTable(entries(1)[0], time.Hour)
			hosts := entries(n)
			for b.Loop() {
				for _, h := range hosts {
					h.Beat++
				}
				now := time.Now()
				table.Merge(hosts, now)
				table.Entries(now)
			}
			b.ReportMetric(float64(proto.Size(&pb.HeartbeatRequest{Hosts: hosts}))/float64(n), "B/host")
		})
	}
}
