package replica

import (
	"slices"
	"sort"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// loads holds the work of other hosts at backend servers, and its sum for each
// server: a routing decision looks at every server of a service, and would
// otherwise add up what each host said of each of them.
type loads struct {
	byHost map[string][]*pb.ReplicaLoad
	sums   map[string]*pb.ReplicaLoad
}

func newLoads() loads {
	return loads{byHost: map[string][]*pb.ReplicaLoad{}, sums: map[string]*pb.ReplicaLoad{}}
}

// set takes the work of a host in place of what it said before.
func (l *loads) set(host string, work []*pb.ReplicaLoad) {
	for _, w := range l.byHost[host] {
		l.add(w, -1)
	}
	delete(l.byHost, host)
	if len(work) == 0 {
		return
	}
	l.byHost[host] = work
	for _, w := range work {
		l.add(w, 1)
	}
}

func (l *loads) add(w *pb.ReplicaLoad, sign int32) {
	sum := l.sums[w.Replica]
	if sum == nil {
		sum = &pb.ReplicaLoad{}
		l.sums[w.Replica] = sum
	}
	addLoad(sum, w, sign)
	if sum.Requests == 0 && sum.PrefillTokens == 0 && sum.MemoryTokens == 0 && sum.Waiting == 0 && sum.Ended == 0 {
		delete(l.sums, w.Replica)
	}
}

// forget drops what every host said of its work at a server that started again;
// their next word is of the new start.
func (l *loads) forget(id string) {
	delete(l.sums, id)
	for host, work := range l.byHost {
		l.byHost[host] = slices.DeleteFunc(slices.Clone(work), func(w *pb.ReplicaLoad) bool { return w.Replica == id })
	}
}

func addLoad(sum, w *pb.ReplicaLoad, sign int32) {
	sum.Requests += sign * w.GetRequests()
	sum.PrefillTokens += sign * w.GetPrefillTokens()
	sum.MemoryTokens += sign * w.GetMemoryTokens()
	sum.Waiting += sign * w.GetWaiting()
	sum.Ended += sign * w.GetEnded()
	sum.Failed += sign * w.GetFailed()
}

// SetLoads takes the work of another host in place of what it said before.
func (t *Table) SetLoads(host string, work []*pb.ReplicaLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others.set(host, work)
}

// Loads returns this host's own work, for the others.
func (t *Table) Loads(now time.Time) []*pb.ReplicaLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.ReplicaLoad
	for id, e := range t.entries {
		recent := e.failures.lately(now)
		if len(e.flights) == 0 && recent.ended == 0 {
			continue
		}
		l := e.load(now)
		l.Replica, l.Ended, l.Failed = id, recent.ended, recent.failed
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Replica < out[j].Replica })
	return out
}

func (e *entry) load(now time.Time) *pb.ReplicaLoad {
	l := &pb.ReplicaLoad{}
	for f := range e.flights {
		l.Requests++
		l.PrefillTokens += int32(f.prefill(now))
		l.MemoryTokens += int32(f.work.Memory)
		if !f.answered {
			l.Waiting++
		}
	}
	return l
}

// failed returns how exchanges of all hosts with a server ended, lately.
func (t *Table) failed(e *entry, now time.Time) outcomes {
	o := e.failures.lately(now)
	sum := t.others.sums[e.reg.ID]
	return outcomes{o.ended + sum.GetEnded(), o.failed + sum.GetFailed()}
}

// load returns the work of all hosts at a server.
func (t *Table) load(e *entry, now time.Time) *pb.ReplicaLoad {
	l := e.load(now)
	addLoad(l, t.others.sums[e.reg.ID], 1)
	return l
}
