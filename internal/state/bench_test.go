package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/platform"
)

// stateOf returns a state of n organisations, each with its change remembered.
func stateOf(n int) *State {
	s := NewState()
	for i := range n {
		s.fold(organisationChange(fmt.Sprintf("org-%d", i), s.Next), time.Now())
	}
	return s
}

func organisationChange(id string, next uint64) *pb.ConfigRecord {
	return &pb.ConfigRecord{Kind: &pb.ConfigRecord_Change{Change: &pb.Change{
		ChangeId: uuid.NewString(), Author: "operator", ReadOffset: next,
		Ref: &pb.ObjectRef{Kind: pb.ObjectKind_OBJECT_KIND_ORGANISATION, Id: id},
		Spec: &pb.Spec{Kind: &pb.Spec_Organisation{Organisation: &pb.Organisation{
			DisplayName: id, ApiKeySha256: [][]byte{make([]byte, 32)}, Limit: &pb.RateLimit{GuaranteedPerSecond: 10, CeilingPerSecond: 100},
			Grants: []*pb.ModelGrant{{Model: "report-writer", Adapters: []string{"conservation"}}},
		}}},
	}}}
}

// BenchmarkApply folds one change into a state of so many objects.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			store := NewStore()
			store.Offer(stateOf(n))
			payload, _ := proto.Marshal(organisationChange("new", uint64(n)))
			for b.Loop() {
				store.Apply([]platform.Record{{Offset: store.Next(), Time: time.Now(), Payload: payload}})
			}
		})
	}
}

// BenchmarkCheckpoint encodes a state; the metric is its size an object.
func BenchmarkCheckpoint(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := stateOf(n)
			data, _ := marshal(s)
			for b.Loop() {
				if _, err := Checkpoint(s); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data))/float64(n), "B/object")
		})
	}
}

// BenchmarkDecode is what a restarting host does with a peer's state.
func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			data, _ := marshal(stateOf(n))
			for b.Loop() {
				wire := &pb.ConfigState{}
				if err := proto.Unmarshal(data, wire); err != nil {
					b.Fatal(err)
				}
				Decode(wire).View()
			}
		})
	}
}
