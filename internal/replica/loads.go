package replica

import (
	"sort"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// loadTimeout is how long a host's report of its load at a server counts. With few servers in
// use it is repeated every minResendRounds heartbeats, about 0.6 s: three reports in a row
// may be lost.
const loadTimeout = 2500 * time.Millisecond

// hostLoads holds the load of other hosts at backend servers, and its sum for each server: a
// routing decision looks at every server of a service, and would otherwise add up the
// reports of all hosts for each of them.
type hostLoads struct {
	byHost map[string]map[string]reportedLoad
	sums   map[string]*pb.ReplicaLoad
}

// reportedLoad is a host's report of its load at one server, and when it was received.
type reportedLoad struct {
	load       *pb.ReplicaLoad
	receivedAt time.Time
}

func newLoads() hostLoads {
	return hostLoads{byHost: map[string]map[string]reportedLoad{}, sums: map[string]*pb.ReplicaLoad{}}
}

// set replaces a host's loads at the reported servers.
func (l *hostLoads) set(host string, reports []*pb.ReplicaLoad, now time.Time) {
	servers := l.byHost[host]
	if servers == nil && len(reports) > 0 {
		servers = map[string]reportedLoad{}
		l.byHost[host] = servers
	}
	for _, report := range reports {
		l.drop(host, report.Replica)
		if idle(report) {
			continue
		}
		servers[report.Replica] = reportedLoad{report, now}
		l.add(report, 1)
	}
}

// drop removes a host's load at a server.
func (l *hostLoads) drop(host, server string) {
	if previous, ok := l.byHost[host][server]; ok {
		l.add(previous.load, -1)
		delete(l.byHost[host], server)
	}
}

// dropHost removes all loads of a host.
func (l *hostLoads) dropHost(host string) {
	for server := range l.byHost[host] {
		l.drop(host, server)
	}
	delete(l.byHost, host)
}

// dropServer removes the loads of all hosts at a server that restarted; their next reports
// are about the new incarnation.
func (l *hostLoads) dropServer(server string) {
	for host := range l.byHost {
		l.drop(host, server)
	}
}

// expire removes the loads that were not reported again in time.
func (l *hostLoads) expire(now time.Time) {
	for host, servers := range l.byHost {
		for server, report := range servers {
			if now.Sub(report.receivedAt) >= loadTimeout {
				l.drop(host, server)
			}
		}
	}
}

func (l *hostLoads) add(w *pb.ReplicaLoad, sign int32) {
	sum := l.sums[w.Replica]
	if sum == nil {
		sum = &pb.ReplicaLoad{}
		l.sums[w.Replica] = sum
	}
	addLoad(sum, w, sign)
	if idle(sum) {
		delete(l.sums, w.Replica)
	}
}

func idle(w *pb.ReplicaLoad) bool {
	return w.Requests == 0 && w.PrefillTokens == 0 && w.MemoryTokens == 0 && w.Waiting == 0 && w.Ended == 0
}

func addLoad(sum, w *pb.ReplicaLoad, sign int32) {
	sum.Requests += sign * w.GetRequests()
	sum.PrefillTokens += sign * w.GetPrefillTokens()
	sum.MemoryTokens += sign * w.GetMemoryTokens()
	sum.Waiting += sign * w.GetWaiting()
	sum.Ended += sign * w.GetEnded()
	sum.Failed += sign * w.GetFailed()
}

// SetLoads replaces another host's loads at the reported servers.
func (t *Table) SetLoads(host string, reports []*pb.ReplicaLoad, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.otherLoads.set(host, reports, now)
	for _, report := range reports {
		if e := t.brittle[report.Replica]; e != nil {
			t.recordBusy(e, now)
		}
	}
}

// DropLoads removes the loads of a host that is lost or has restarted.
func (t *Table) DropLoads(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.otherLoads.dropHost(host)
}

// ExpireLoads removes the loads that other hosts have not reported again in time.
func (t *Table) ExpireLoads(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.otherLoads.expire(now)
}

// Loads returns this host's own load, ordered by server.
func (t *Table) Loads(now time.Time) []*pb.ReplicaLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.ReplicaLoad
	for id, e := range t.active {
		if e.inactive(now) {
			delete(t.active, id)
			continue
		}
		recent := e.failures.recent(now)
		if len(e.flights) == 0 && recent.ended == 0 {
			continue
		}
		out = append(out, t.ownReport(e, now))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Replica < out[j].Replica })
	return out
}

// HasRequests reports whether requests of this host are in flight at any server.
func (t *Table) HasRequests() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.active {
		if len(e.flights) > 0 {
			return true
		}
	}
	return false
}

// load is the load of the unfinished requests at a server. It is a plain struct instead of a
// pb.ReplicaLoad, as each routing decision computes one for each server.
type load struct {
	requests, prefill, memory, waiting int32
}

// ownLoad returns the load of this host at a server.
func (e *entry) ownLoad(now time.Time) load {
	var l load
	for f := range e.flights {
		l.requests++
		l.prefill += int32(f.pendingPrefill(now))
		l.memory += int32(f.work.Memory)
		if !f.answerStarted {
			l.waiting++
		}
	}
	return l
}

// ownReport returns the load of this host at a server, as it reports it to other hosts.
func (t *Table) ownReport(e *entry, now time.Time) *pb.ReplicaLoad {
	own, recent := e.ownLoad(now), e.failures.recent(now)
	return &pb.ReplicaLoad{
		Replica: e.reg.ID, Ended: recent.ended, Failed: t.reportedFailures(e, recent),
		Requests: own.requests, PrefillTokens: own.prefill, MemoryTokens: own.memory, Waiting: own.waiting,
	}
}

// recentOutcomes returns how recent exchanges of all hosts with a server ended.
func (t *Table) recentOutcomes(e *entry, now time.Time) outcomes {
	o := e.failures.recent(now)
	sum := t.otherLoads.sums[e.reg.ID]
	return outcomes{o.ended + sum.GetEnded(), o.failed + sum.GetFailed()}
}

// totalLoad returns the load of all hosts at a server.
func (t *Table) totalLoad(e *entry, now time.Time) load {
	l := e.ownLoad(now)
	others := t.otherLoads.sums[e.reg.ID]
	l.requests += others.GetRequests()
	l.prefill += others.GetPrefillTokens()
	l.memory += others.GetMemoryTokens()
	l.waiting += others.GetWaiting()
	return l
}
