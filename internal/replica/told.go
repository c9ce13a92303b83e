package replica

import (
	"github.com/zeebo/xxh3"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// toldRounds is the number of rounds in which each server's work is said again,
	// changed or not: what a lost datagram held is made up for within them.
	toldRounds = 4
	// toldAgain is the number of servers that are said again in a round, some 20 bytes each:
	// with more servers in use there are more rounds, and maxRounds at the most, since what
	// others know counts for sixteen (loadHold). What has changed is told at once all the same.
	toldAgain = 100
	maxRounds = 14
	// toldTokens is the change of unread or needed tokens that is worth a word: a
	// replica reads them in some 15 ms.
	toldTokens = 700
)

// Told is what the other hosts were told of this one's work. A table of every
// server at each heartbeat would grow with their number; what has changed does not.
// It is for one goroutine.
type Told struct {
	last  map[string]*pb.ReplicaLoad
	round uint64
}

// Changes returns what is to be told of the work: what differs from what was told
// last. A round also says a part of the rest again.
func (t *Told) Changes(work []*pb.ReplicaLoad, round bool) []*pb.ReplicaLoad {
	if t.last == nil {
		t.last = map[string]*pb.ReplicaLoad{}
	}
	if round {
		t.round++
	}
	rounds := min(maxRounds, max(toldRounds, uint64(len(work))/toldAgain))
	var out []*pb.ReplicaLoad
	now := make(map[string]bool, len(work))
	for _, w := range work {
		now[w.Replica] = true
		if differs(w, t.last[w.Replica]) || round && t.due(w.Replica, rounds) {
			t.last[w.Replica] = w
			out = append(out, w)
		}
	}
	for id := range t.last {
		if !now[id] {
			delete(t.last, id)
			out = append(out, &pb.ReplicaLoad{Replica: id})
		}
	}
	return out
}

// due reports whether a server's work is said again in this round.
func (t *Told) due(id string, rounds uint64) bool {
	return xxh3.HashString(id)%rounds == t.round%rounds
}

func differs(w, last *pb.ReplicaLoad) bool {
	if last == nil {
		return true
	}
	return w.Requests != last.Requests || w.Waiting != last.Waiting || w.Failed != last.Failed ||
		far(w.PrefillTokens, last.PrefillTokens) || far(w.MemoryTokens, last.MemoryTokens)
}

func far(a, b int32) bool { return max(a-b, b-a) >= toldTokens }
