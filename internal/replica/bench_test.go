package replica

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/prefix"
)

func benchTable(n int) (*Table, *prefix.Index) {
	index := prefix.NewIndex(1_000_000)
	t := NewTable(index, time.Hour)
	specs := map[string]*pb.BackendServer{}
	for i := range n {
		specs[fmt.Sprintf("r%05d", i)] = &pb.BackendServer{Address: "127.0.0.1:1", Model: "m"}
	}
	t.Configure(specs, nil)
	for id := range specs {
		t.Report(id, &pb.PollResponse{Incarnation: 1, Model: "m", Version: "v"}, time.Now())
	}
	return t, index
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, _ := benchTable(n)
			now := time.Now()
			for b.Loop() {
				t.Snapshot("m", now)
			}
		})
	}
}

// BenchmarkReport folds polls with so many events each; the metric is per event.
func BenchmarkReport(b *testing.B) {
	for _, events := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint(events), func(b *testing.B) {
			t, _ := benchTable(1)
			sequence, now, size := uint64(0), time.Now(), 0
			for b.Loop() {
				resp := &pb.PollResponse{Incarnation: 1, Model: "m", Version: "v"}
				for range events {
					resp.Events = append(resp.Events, &pb.CacheEvent{Sequence: sequence, Hash: sequence / 2 * 0x9e3779b97f4a7c15, Removed: sequence%2 == 1})
					sequence++
				}
				now = now.Add(time.Second)
				t.Report("r00000", resp, now)
				size = proto.Size(resp)
			}
			b.ReportMetric(float64(size)/float64(events), "B/event")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
		})
	}
}
