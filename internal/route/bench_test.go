package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/prefix"
)

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var snap Snapshot
			for i := range n {
				snap.Replicas = append(snap.Replicas, Replica{
					ID: fmt.Sprint("replica-", i), Number: prefix.Replica(i), Model: "m", Version: "v", Serving: true,
					Queued: float64(i % 17), Prefill: 20 * time.Millisecond,
				})
			}
			req := &Request{Model: "m", Version: "v", Pieces: 40}
			for i := range 4 {
				req.Matches = append(req.Matches, prefix.Match{Replica: prefix.Replica(i * n / 4), Depth: 10 * i})
			}
			p := NewPipeline(DefaultPolicy())
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.Decide(req, snap); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
