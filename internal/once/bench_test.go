package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

func claimBatch(n int, now time.Time) *pb.ClaimBatch {
	batch := &pb.ClaimBatch{}
	for range n {
		key := keyAt(now)
		batch.Records = append(batch.Records, &pb.ClaimRecord{
			Organisation: "museum-a", Key: key, ClaimId: key, RequestHash: make([]byte, 32), Step: &pb.ClaimRecord_Claim{Claim: &pb.ClaimStep{}},
		})
	}
	return batch
}

// BenchmarkFold folds batches of so many claims; metrics are per claim.
func BenchmarkFold(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now()
			table := NewTable(time.Hour)
			batches := make([]*pb.ClaimBatch, 200)
			for i := range batches {
				batches[i] = claimBatch(n, now)
			}
			i := 0
			for b.Loop() {
				table.Fold(batches[i%len(batches)], now)
				i++
			}
			b.ReportMetric(float64(proto.Size(batches[0]))/float64(n), "B/claim")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/claim")
		})
	}
}

// BenchmarkMemory reports the memory of a remembered claim.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now()
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				table := NewTable(time.Hour)
				for range n / 100 {
					table.Fold(claimBatch(100, now), now)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/claim")
				runtime.KeepAlive(table)
			}
		})
	}
}
