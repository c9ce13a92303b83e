package quarantine

import (
	"maps"
	"slices"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// reportDuration is how long an observation of this host is repeated with each
	// heartbeat, so that several heartbeats may be lost.
	reportDuration = time.Second
	// maxUpdates limits the requests with updates in one heartbeat, at about 30 bytes each.
	// It is about the number of requests that the largest servers run at once.
	maxUpdates = 64
	// maxResent limits the refused requests that one heartbeat resends, for hosts that have
	// started or were unreachable.
	maxResent = 2
)

// update is an observation to report to other hosts.
type update struct {
	observedAt time.Time
	reported   bool
}

// HasUnreported reports whether there is an update to report at once.
func (t *Table) HasUnreported() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.updates {
		if !u.reported {
			return true
		}
	}
	return false
}

// Changes returns the updates for a heartbeat to routing hosts: what this host has observed and
// not reported yet. round is set for the regular heartbeat of each interval, and not for one
// that is sent between intervals. The regular one also repeats the updates of the last second and
// some refused requests, as heartbeats may be lost.
func (t *Table) Changes(now time.Time, round bool) []*pb.RequestCrashes {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.RequestCrashes
	for _, d := range sortedDigests(t.updates) {
		u, r := t.updates[d], t.records[d]
		if r == nil || len(out) >= maxUpdates || u.reported && (!round || now.Sub(u.observedAt) >= reportDuration) {
			continue
		}
		u.reported = true
		out = append(out, toProto(d, r, now))
	}
	if round {
		out = append(out, t.nextRefused(now)...)
	}
	return out
}

// Refusals returns some refused requests, in turn, for hosts that receive reduced heartbeats.
func (t *Table) Refusals(now time.Time) []*pb.RequestCrashes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nextRefused(now)
}

// nextRefused returns the refused requests that follow those resent last.
func (t *Table) nextRefused(now time.Time) []*pb.RequestCrashes {
	var refused []Digest
	for d, r := range t.records {
		if t.refused(d, r, now) > 0 {
			refused = append(refused, d)
		}
	}
	slices.Sort(refused)
	at, _ := slices.BinarySearch(refused, t.cursor+1)
	var out []*pb.RequestCrashes
	for i := range min(maxResent, len(refused)) {
		d := refused[(at+i)%len(refused)]
		out = append(out, toProto(d, t.records[d], now))
		t.cursor = d
	}
	return out
}

// ApplyReport applies the reports of another host.
func (t *Table) ApplyReport(reports []*pb.RequestCrashes, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		d := Digest(report.Digest)
		t.applyAnswered(d, report, now)
		for _, c := range report.Crashes {
			if at := timeOfAge(c.AgeMs, now); now.Sub(at) < crashRetention {
				t.add(d, report.Block, Server(c.Server), at, now)
			}
		}
		// The record may have been added by the crashes.
		t.applyAnswered(d, report, now)
		if report.Refused {
			t.adoptRefusal(d, now)
		}
	}
}

func (t *Table) applyAnswered(d Digest, report *pb.RequestCrashes, now time.Time) {
	if r := t.records[d]; r != nil && report.AnsweredMs != nil {
		t.clear(d, r, timeOfAge(*report.AnsweredMs, now), now)
	}
}

func timeOfAge(ageMs int64, now time.Time) time.Time {
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}

func toProto(d Digest, r *record, now time.Time) *pb.RequestCrashes {
	out := &pb.RequestCrashes{Digest: uint64(d), Block: r.block, Refused: r.block && r.refusing}
	if !r.answered.IsZero() {
		ms := now.Sub(r.answered).Milliseconds()
		out.AnsweredMs = &ms
	}
	for _, server := range slices.Sorted(maps.Keys(r.crashes)) {
		out.Crashes = append(out.Crashes, &pb.ServerCrash{Server: uint64(server), AgeMs: now.Sub(r.crashes[server]).Milliseconds()})
	}
	return out
}

func sortedDigests(updates map[Digest]*update) []Digest { return slices.Sorted(maps.Keys(updates)) }
