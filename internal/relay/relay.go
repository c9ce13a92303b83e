// Package relay decides what a routing host passes on to standby hosts about backend servers, and what
// these accept. Standby hosts that callers are sent to do not receive the reports of other hosts.
//
// Each report keeps the time at which a host made it, and lapses by it. Only what a host received from the one
// that observed it is passed on, so that hosts cannot keep a report alive between them.
package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// Retention is how long after it was made a report is passed on and accepted.
	Retention = 2500 * time.Millisecond
	// loadingTimeout and downTimeout are how long such reports count. Hosts repeat them with each
	// heartbeat. The times are those for reports of the observing host itself (600 and 400 ms) plus the 300 ms
	// between two heartbeats of a relay.
	loadingTimeout = 900 * time.Millisecond
	downTimeout    = 700 * time.Millisecond

	// maxReports and maxPrefixes limit what one heartbeat passes on.
	maxReports  = 64
	maxPrefixes = 64
	// maxRecorded limits the reports that are kept.
	maxRecorded = 1024
	// maxBytes limits what Fill leaves in a heartbeat in total loads, named versions, reports and prefixes: at
	// 1,200 bytes a datagram, of which some 180 repeat what the host reports about itself and 28 are headers, that is
	// below 8 KB.
	maxBytes = 6656
	// maxNamedBytes, maxReportBytes and maxLoadBytes are the parts of it that others can use up.
	// Prefixes get the rest.
	maxNamedBytes  = 256
	maxReportBytes = 2304
	maxLoadBytes   = 3072
	// elementBytes is the maximum encoded size of the tag and length of a list element.
	elementBytes = 4
)

// StartTimes returns the start time of the known incarnation of a backend server, 0 if it is not stated, and
// whether the server is known.
type StartTimes func(server string) (started int64, known bool)

// Reports holds what hosts lately reported to a routing host, which passes it on. It is safe for concurrent
// use.
type Reports struct {
	started StartTimes

	mu       sync.Mutex
	servers  map[reportKey]*report
	prefixes []sentPrefix // the oldest first
}

type reportKey struct {
	server string
	kind   pb.RelayedReport_Kind
	model  string
}

type report struct {
	started int64
	version int64
	// since is when the report was first made, at when it was last repeated.
	since, at time.Time
}

// sentPrefix is a prompt that a host sent to a server. content identifies the prompt's shared blocks.
type sentPrefix struct {
	id, content uint64
	started     int64
	sent        *pb.PrefixSent
	at          time.Time
}

// NewReports returns an empty Reports.
func NewReports(started StartTimes) *Reports {
	return &Reports{started: started, servers: map[reportKey]*report{}}
}

// Observe records what a heartbeat reports, of this host or of the one that sent it. What it passes on itself is
// ignored.
func (r *Reports) Observe(b *pb.Heartbeat, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range b.Loading {
		r.record(reportKey{server: id, kind: pb.RelayedReport_LOADING}, 0, now)
	}
	for _, id := range b.Down {
		r.record(reportKey{server: id, kind: pb.RelayedReport_DOWN}, 0, now)
	}
	for _, w := range b.Weights {
		r.record(reportKey{w.Replica, pb.RelayedReport_WEIGHTS, w.Model}, w.Version, now)
	}
	for i, sent := range b.Sent {
		r.recordSent(prefixID(b, i), sent, now)
	}
}

func (r *Reports) record(key reportKey, version int64, now time.Time) {
	started, known := r.started(key.server)
	if !known {
		return
	}
	old := r.servers[key]
	current := old != nil && old.started == started && !lapsed(key.kind, now.Sub(old.at))
	switch {
	case current && old.version == version:
		old.at = now
	case current && old.version > version:
		// A late report of older weights.
	case old != nil || len(r.servers) < maxRecorded:
		r.servers[key] = &report{started: started, version: version, since: now, at: now}
	}
}

// recordSent records a sent prompt. One with the blocks of another that was recently sent to the same server
// tells the receivers nothing new and is left out, so that repeated prompts do not displace others.
func (r *Reports) recordSent(id uint64, sent *pb.PrefixSent, now time.Time) {
	started, known := r.started(sent.Replica)
	if !known || len(sent.Parts) == 0 {
		return
	}
	r.prefixes = slices.DeleteFunc(r.prefixes, func(p sentPrefix) bool { return now.Sub(p.at) >= Retention })
	content := xxh3.HashStringSeed(sent.Replica, sent.Parts[len(sent.Parts)-1])
	if slices.ContainsFunc(r.prefixes, func(p sentPrefix) bool { return p.content == content && p.started == started }) {
		return
	}
	if len(r.prefixes) == maxPrefixes {
		r.prefixes = slices.Delete(r.prefixes, 0, 1)
	}
	r.prefixes = append(r.prefixes, sentPrefix{id: id, content: content, started: started, sent: sent, at: now})
}

// prefixID returns an ID of a prompt that a heartbeat reports. It is the same on every host that receives the
// heartbeat.
func prefixID(b *pb.Heartbeat, index int) uint64 {
	low := uint32(xxh3.HashStringSeed(b.Host, b.Incarnation^b.Sequence<<8)) + uint32(index)
	return uint64(hostHash(b.Host))<<32 | uint64(low)
}

func hostHash(id string) uint32 { return uint32(xxh3.HashString(id) >> 32) }

// Forget drops everything about a server that left or restarted.
func (r *Reports) Forget(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.servers {
		if key.server == server {
			delete(r.servers, key)
		}
	}
	r.prefixes = slices.DeleteFunc(r.prefixes, func(p sentPrefix) bool { return p.sent.Replica == server })
}

// Fill adds to a heartbeat for standby hosts with requests in flight what is passed on, and shortens the total
// loads and named versions in it so that all is within the limit of bytes: loads are expected to have the most
// loaded servers first. Servers that load weights come before those that are down and those with new weights,
// the newest first.
func (r *Reports) Fill(b *pb.Heartbeat, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := maxBytes
	b.Named = fitting(b.Named, maxNamedBytes, &left)
	b.RelayedReports = fitting(r.newestReports(now), maxReportBytes, &left)
	b.TotalLoads = fitting(b.TotalLoads, maxLoadBytes, &left)
	b.RelayedPrefixes = fitting(r.newestPrefixes(now), maxBytes, &left)
}

func (r *Reports) newestReports(now time.Time) []*pb.RelayedReport {
	type item struct {
		reportKey
		*report
	}
	var items []item
	for key, rep := range r.servers {
		if lapsed(key.kind, now.Sub(rep.at)) {
			delete(r.servers, key)
			continue
		}
		items = append(items, item{key, rep})
	}
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(cmp.Compare(priority(a.kind), priority(b.kind)), b.since.Compare(a.since), cmp.Compare(a.server, b.server), cmp.Compare(a.model, b.model))
	})
	var out []*pb.RelayedReport
	for _, i := range items[:min(len(items), maxReports)] {
		out = append(out, &pb.RelayedReport{
			Replica: i.server, Started: i.started, AgeMs: int32(now.Sub(i.at).Milliseconds()), Kind: i.kind, Model: i.model, Version: i.version,
		})
	}
	return out
}

func priority(k pb.RelayedReport_Kind) int {
	return slices.Index([]pb.RelayedReport_Kind{pb.RelayedReport_LOADING, pb.RelayedReport_DOWN, pb.RelayedReport_WEIGHTS}, k)
}

func (r *Reports) newestPrefixes(now time.Time) []*pb.RelayedPrefix {
	var out []*pb.RelayedPrefix
	for _, p := range slices.Backward(r.prefixes) {
		if age := now.Sub(p.at); age < Retention {
			out = append(out, &pb.RelayedPrefix{Id: p.id, Started: p.started, AgeMs: int32(age.Milliseconds()), Sent: p.sent})
		}
	}
	return out
}

// fitting returns the elements of a list, in order, that fit into limit bytes and into what is left of all. Larger
// ones are left out.
func fitting[M proto.Message](list []M, limit int, left *int) []M {
	limit = min(limit, *left)
	var out []M
	for _, m := range list {
		if size := proto.Size(m) + elementBytes; size <= limit {
			out = append(out, m)
			limit -= size
			*left -= size
		}
	}
	return out
}

func lapsed(k pb.RelayedReport_Kind, age time.Duration) bool { return age >= timeout(k) }

func timeout(k pb.RelayedReport_Kind) time.Duration {
	switch k {
	case pb.RelayedReport_LOADING:
		return loadingTimeout
	case pb.RelayedReport_DOWN:
		return downTimeout
	default:
		return Retention
	}
}
