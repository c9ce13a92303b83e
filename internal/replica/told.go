package replica

import (
	"github.com/zeebo/xxh3"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// minResendRounds is the minimum number of rounds over which the loads of all servers are
	// resent, changed or not. The loss of a datagram is thus repaired within these rounds.
	minResendRounds = 4
	// resendsPerRound is the number of servers whose load is resent in a round, at about 20
	// bytes each. With more servers in use there are more rounds, but at most
	// maxResendRounds, since other hosts keep a load for 16 heartbeats (loadTimeout). Changes
	// are reported at once in any case.
	resendsPerRound = 100
	maxResendRounds = 14
	// minTokenChange is the change of pending prefill or memory tokens that is reported at
	// once: a replica prefills that many in about 15 ms.
	minTokenChange = 700
)

// LoadReporter holds the loads that were last reported to the other hosts. With each heartbeat only
// the changes are sent, since a full table would grow with the number of servers. It is not
// safe for concurrent use.
type LoadReporter struct {
	last  map[string]*pb.ReplicaLoad
	round uint64
}

// Changes returns the loads to report: those that differ from what was last reported and, if
// round is set, also a part of the unchanged ones.
func (t *LoadReporter) Changes(loads []*pb.ReplicaLoad, round bool) []*pb.ReplicaLoad {
	if t.last == nil {
		t.last = map[string]*pb.ReplicaLoad{}
	}
	if round {
		t.round++
	}
	rounds := min(maxResendRounds, max(minResendRounds, uint64(len(loads))/resendsPerRound))
	var out []*pb.ReplicaLoad
	present := make(map[string]bool, len(loads))
	for _, l := range loads {
		present[l.Replica] = true
		if differs(l, t.last[l.Replica]) || round && t.due(l.Replica, rounds) {
			t.last[l.Replica] = l
			out = append(out, l)
		}
	}
	for id := range t.last {
		if !present[id] {
			delete(t.last, id)
			out = append(out, &pb.ReplicaLoad{Replica: id})
		}
	}
	return out
}

// due reports whether a server's load is resent in this round.
func (t *LoadReporter) due(id string, rounds uint64) bool {
	return xxh3.HashString(id)%rounds == t.round%rounds
}

func differs(current, last *pb.ReplicaLoad) bool {
	if last == nil {
		return true
	}
	return current.Requests != last.Requests || current.Waiting != last.Waiting || current.Failed != last.Failed ||
		tokensDiffer(current.PrefillTokens, last.PrefillTokens) || tokensDiffer(current.MemoryTokens, last.MemoryTokens)
}

func tokensDiffer(a, b int32) bool { return max(a-b, b-a) >= minTokenChange }
