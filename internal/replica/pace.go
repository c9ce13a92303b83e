package replica

import (
	"slices"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// maxSlowdownSamples is the number of answers whose median is the slowdown. The answer
	// to a preempted or resent request may be late by any factor.
	maxSlowdownSamples = 8
	// minEngineTime is the shortest expected service time of a request to an engine that
	// counts as a sample: shorter ones are mostly network time.
	minEngineTime = 100 * time.Millisecond
	// minServiceTimeShare is the minimum share of the expected time that must be the request's
	// own service time: the rest is spent queued behind other requests, or on a fetch.
	minServiceTimeShare = 0.8
	// maxSlowdown and minSlowdown are the limits of a slowdown.
	maxSlowdown = 8.0
	minSlowdown = 0.2
	// slowdownsPerHeartbeat is the number of servers whose slowdown one heartbeat reports, at
	// about 25 bytes each; the next heartbeat continues with the next servers.
	slowdownsPerHeartbeat = 6
)

// slowdown is the ratio of a server's measured service time to the one that the policy
// expects of any server. The servers of a service may be different types of machines, and
// other types than the policy assumes.
type slowdown struct {
	ratio   float64
	samples float64
}

// sampleWindow holds the slowdowns of a server's last answers, the newest last.
type sampleWindow []float64

// add appends the slowdown of an answer.
func (a *sampleWindow) add(ratio float64) {
	*a = append(*a, min(max(ratio, minSlowdown), maxSlowdown))
	if len(*a) > maxSlowdownSamples {
		*a = slices.Delete(*a, 0, 1)
	}
}

// median returns the median, or the lower of the two middle values.
func (a sampleWindow) median() slowdown {
	if len(a) == 0 {
		return slowdown{}
	}
	sorted := slices.Sorted(slices.Values(a))
	return slowdown{sorted[(len(sorted)-1)/2], float64(len(a))}
}

// merge adds the slowdown measured by another host, or of another server, as a weighted
// mean.
func (p *slowdown) merge(other slowdown) {
	if other.samples <= 0 {
		return
	}
	p.samples += other.samples
	p.ratio += (other.ratio - p.ratio) * other.samples / p.samples
}

// recordSlowdown adds the slowdown of an answer to the samples. It reports whether the answer
// counts as a sample.
func (e *entry) recordSlowdown(f *Flight, actual time.Duration) bool {
	serviceTime := f.work.ServiceTime
	if serviceTime <= 0 || f.work.Engine && serviceTime < minEngineTime {
		return false
	}
	if float64(f.work.Expected)*minServiceTimeShare > float64(serviceTime)*max(1, f.work.Slowdown) {
		return false
	}
	e.slowdownSamples.add(float64(actual) / float64(serviceTime))
	return true
}

// slowdownReports holds the slowdowns that other hosts measured, by server and host.
type slowdownReports map[string]map[string]slowdown

// slowdownOf returns the merged slowdown of a server, or else the mean of its service, or 1.
func (t *Table) slowdownOf(e *entry) float64 {
	if e.mergedSlowdown > 0 {
		return e.mergedSlowdown
	}
	if service := t.serviceSlowdowns[e.reg.Service]; service.samples > 0 {
		return service.ratio
	}
	return 1
}

// Slowdowns returns the slowdowns that this host measured of some servers, in turn, for the
// other hosts.
func (t *Table) Slowdowns() []*pb.ReplicaPace {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, e := range t.withSlowdown {
		if len(e.slowdownSamples) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var out []*pb.ReplicaPace
	for range min(slowdownsPerHeartbeat, len(ids)) {
		at, _ := slices.BinarySearch(ids, t.slowdownCursor)
		id := ids[at%len(ids)]
		// The next call starts after this ID.
		t.slowdownCursor = id + "\x00"
		p := t.entries[id].slowdownSamples.median()
		out = append(out, &pb.ReplicaPace{Replica: id, Ratio: float32(p.ratio), Samples: int32(p.samples)})
	}
	return out
}

// MergeSlowdowns merges the slowdowns that all hosts measured, so that routing decisions need not
// do so for each server.
func (t *Table) MergeSlowdowns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serviceSlowdowns = map[string]slowdown{}
	for id, e := range t.withSlowdown {
		merged := e.slowdownSamples.median()
		for _, other := range t.peerSlowdowns[id] {
			merged.merge(other)
		}
		if merged.samples == 0 {
			continue
		}
		e.mergedSlowdown = merged.ratio
		service := t.serviceSlowdowns[e.reg.Service]
		service.merge(slowdown{merged.ratio, 1})
		t.serviceSlowdowns[e.reg.Service] = service
	}
}

// ApplySlowdowns records the slowdowns that another host measured.
func (t *Table) ApplySlowdowns(host string, reports []*pb.ReplicaPace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		if t.entries[report.Replica] == nil || report.Samples <= 0 || report.Ratio < minSlowdown || report.Ratio > maxSlowdown {
			continue
		}
		if t.peerSlowdowns[report.Replica] == nil {
			t.peerSlowdowns[report.Replica] = map[string]slowdown{}
		}
		t.track(t.withSlowdown, t.entries[report.Replica])
		t.peerSlowdowns[report.Replica][host] = slowdown{float64(report.Ratio), min(float64(report.Samples), maxSlowdownSamples)}
	}
}
