package quarantine

import (
	"maps"
	"slices"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// tellFor is how long what this host has seen is told with each heartbeat: several
	// may be lost.
	tellFor = time.Second
	// maxFresh bounds the requests of which one heartbeat tells what is new, some 30 bytes
	// each: about those that run on the largest servers.
	maxFresh = 64
	// maxAgain bounds the refused requests that one heartbeat tells again, for hosts that
	// have started or were out of reach.
	maxAgain = 2
)

// news is something that other hosts are to be told.
type news struct {
	since time.Time
	told  bool
}

// Untold reports whether something is to be told at once.
func (t *Table) Untold() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.fresh {
		if !n.told {
			return true
		}
	}
	return false
}

// Changes returns what routing hosts are to be told: what this host saw and has not told
// yet. A round tells everything of the last second again, and some refused requests.
func (t *Table) Changes(now time.Time, round bool) []*pb.RequestCrashes {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.RequestCrashes
	for _, d := range sorted(t.fresh) {
		n, r := t.fresh[d], t.records[d]
		if r == nil || len(out) >= maxFresh || n.told && (!round || now.Sub(n.since) >= tellFor) {
			continue
		}
		n.told = true
		out = append(out, describe(d, r, now))
	}
	if round {
		out = append(out, t.again(now)...)
	}
	return out
}

// Refusals returns some refused requests in turn, for hosts that are told little.
func (t *Table) Refusals(now time.Time) []*pb.RequestCrashes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.again(now)
}

// again returns the refused requests that come after those told last.
func (t *Table) again(now time.Time) []*pb.RequestCrashes {
	var refused []Digest
	for d, r := range t.records {
		if t.refused(d, r, now) > 0 {
			refused = append(refused, d)
		}
	}
	slices.Sort(refused)
	at, _ := slices.BinarySearch(refused, t.cursor+1)
	var out []*pb.RequestCrashes
	for i := range min(maxAgain, len(refused)) {
		d := refused[(at+i)%len(refused)]
		out = append(out, describe(d, t.records[d], now))
		t.cursor = d
	}
	return out
}

// Heard takes what another host tells.
func (t *Table) Heard(told []*pb.RequestCrashes, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range told {
		d := Digest(m.Digest)
		if r := t.records[d]; r != nil && m.AnsweredMs != nil {
			t.clear(d, r, ago(*m.AnsweredMs, now))
		}
		for _, c := range m.Crashes {
			if at := ago(c.AgeMs, now); now.Sub(at) < forgetAfter {
				t.add(d, Server(c.Server), at, now)
			}
		}
	}
}

func ago(ms int64, now time.Time) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

func describe(d Digest, r *record, now time.Time) *pb.RequestCrashes {
	out := &pb.RequestCrashes{Digest: uint64(d)}
	if !r.answered.IsZero() {
		ms := now.Sub(r.answered).Milliseconds()
		out.AnsweredMs = &ms
	}
	for _, server := range slices.Sorted(maps.Keys(r.crashes)) {
		out.Crashes = append(out.Crashes, &pb.ServerCrash{Server: uint64(server), AgeMs: now.Sub(r.crashes[server]).Milliseconds()})
	}
	return out
}

func sorted(fresh map[Digest]*news) []Digest { return slices.Sorted(maps.Keys(fresh)) }
