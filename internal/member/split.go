package member

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// listOverhead is the maximum encoded size of the tag and length of a list element, in bytes.
const listOverhead = 4

// hashBytes is the encoded size of an element of a list of hashes.
const hashBytes = 4

// refusedBytes is the encoded size of the digest of a refused request.
const refusedBytes = 8

// Split divides a heartbeat into several that each fit into a datagram. Each of them repeats
// the fields about the host itself, contains a part of the lists, and has its own sequence
// number, obtained from nextSequence.
func Split(whole *pb.Heartbeat, nextSequence func() uint64) []*pb.Heartbeat {
	s := &splitter{nextSequence: nextSequence, base: withoutLists(whole)}
	s.startPart()
	appendAll(s, whole.Crashes, func(b *pb.Heartbeat, m *pb.RequestCrashes) { b.Crashes = append(b.Crashes, m) })
	appendAll(s, whole.Uses, func(b *pb.Heartbeat, m *pb.OrganisationUse) { b.Uses = append(b.Uses, m) })
	appendAll(s, whole.Members, func(b *pb.Heartbeat, m *pb.MemberState) { b.Members = append(b.Members, m) })
	appendAll(s, whole.Sent, func(b *pb.Heartbeat, m *pb.PrefixSent) { b.Sent = append(b.Sent, m) })
	appendAll(s, whole.Loads, func(b *pb.Heartbeat, m *pb.ReplicaLoad) { b.Loads = append(b.Loads, m) })
	appendAll(s, whole.TotalLoads, func(b *pb.Heartbeat, m *pb.ReplicaLoad) { b.TotalLoads = append(b.TotalLoads, m) })
	appendAll(s, whole.Weights, func(b *pb.Heartbeat, m *pb.ReplicaWeights) { b.Weights = append(b.Weights, m) })
	appendAll(s, whole.Paces, func(b *pb.Heartbeat, m *pb.ReplicaPace) { b.Paces = append(b.Paces, m) })
	appendAll(s, whole.Named, func(b *pb.Heartbeat, m *pb.NamedWeights) { b.Named = append(b.Named, m) })
	appendAll(s, whole.Standby, func(b *pb.Heartbeat, m *pb.ZoneHosts) { b.Standby = append(b.Standby, m) })
	appendAll(s, whole.MovePermits, func(b *pb.Heartbeat, m *pb.MovePermit) { b.MovePermits = append(b.MovePermits, m) })
	appendAll(s, whole.MoveAnswers, func(b *pb.Heartbeat, m *pb.MoveAnswers) { b.MoveAnswers = append(b.MoveAnswers, m) })
	appendAll(s, whole.Limits, func(b *pb.Heartbeat, m *pb.ServerLimit) { b.Limits = append(b.Limits, m) })
	appendAll(s, whole.Contacts, func(b *pb.Heartbeat, m *pb.ServiceContact) { b.Contacts = append(b.Contacts, m) })
	appendAll(s, whole.Brittle, func(b *pb.Heartbeat, m *pb.BrittleServer) { b.Brittle = append(b.Brittle, m) })
	appendAll(s, whole.Demands, func(b *pb.Heartbeat, m *pb.ServiceDemand) { b.Demands = append(b.Demands, m) })
	for _, digest := range whole.Refused {
		s.reserve(refusedBytes)
		s.current.Refused = append(s.current.Refused, digest)
	}
	for _, sum := range whole.Digest {
		s.reserve(hashBytes)
		s.current.Digest = append(s.current.Digest, sum)
	}
	for _, id := range whole.Loading {
		s.reserve(len(id))
		s.current.Loading = append(s.current.Loading, id)
	}
	for _, id := range whole.Down {
		s.reserve(len(id))
		s.current.Down = append(s.current.Down, id)
	}
	return s.parts
}

// withoutLists returns a copy of a heartbeat without its lists, except for Positions, which
// every part repeats.
func withoutLists(b *pb.Heartbeat) *pb.Heartbeat {
	out := &pb.Heartbeat{Positions: b.Positions}
	b.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if !field.IsList() {
			out.ProtoReflect().Set(field, value)
		}
		return true
	})
	return out
}

type splitter struct {
	nextSequence func() uint64
	base         *pb.Heartbeat
	parts        []*pb.Heartbeat
	current      *pb.Heartbeat
	size         int
}

func (s *splitter) startPart() {
	s.current = proto.CloneOf(s.base)
	s.current.Sequence = s.nextSequence()
	s.size = proto.Size(s.current)
	s.parts = append(s.parts, s.current)
}

// reserve starts another part if an element of the given size does not fit.
func (s *splitter) reserve(bytes int) {
	if s.size+bytes+listOverhead > maxDatagramBytes {
		s.startPart()
	}
	s.size += bytes + listOverhead
}

func appendAll[M proto.Message](s *splitter, list []M, appendTo func(*pb.Heartbeat, M)) {
	for _, m := range list {
		s.reserve(proto.Size(m))
		appendTo(s.current, m)
	}
}
