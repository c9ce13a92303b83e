package limit

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

func benchLimiter(orgs int) *Limiter {
	l := NewLimiter()
	for i := range orgs {
		id := fmt.Sprintf("organisation-%04d", i)
		l.Configure(id, &pb.RateLimit{GuaranteedPerSecond: 1e6, CeilingPerSecond: 1e9})
		_, _ = l.Admit(id, 40, time.Now())
	}
	return l
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{8, 150, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := benchLimiter(n)
			now := time.Now()
			for b.Loop() {
				if _, err := l.Admit("organisation-0003", 0.001, now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkDemand takes a peer's demand; the metric is its size an organisation.
func BenchmarkDemand(b *testing.B) {
	for _, n := range []int{8, 150, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := benchLimiter(n)
			demand := l.Demand(time.Now())
			for b.Loop() {
				l.Heard("peer", demand)
			}
			b.ReportMetric(float64(proto.Size(&pb.HeartbeatRequest{Demand: demand}))/float64(n), "B/organisation")
		})
	}
}
