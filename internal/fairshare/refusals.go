package fairshare

import (
	"slices"
	"time"
)

const (
	// refusalTime is how long a refused request is remembered, and maxRefusals how many are.
	refusalTime = 4 * time.Second
	maxRefusals = 4096
	// maxReportedRefusals limits the refused requests in one heartbeat, and refusalReports is how
	// often each is reported, as heartbeats may be lost.
	maxReportedRefusals = 64
	refusalReports      = 2
	maxReportDelay      = time.Second
)

// refusal is a request that some host refused for want of capacity.
type refusal struct {
	digest uint64
	at     time.Time
	// reports is how often it is still to be reported; 0 for other hosts' refusals.
	reports int
}

// refusals holds the latest refused requests.
type refusals struct {
	byDigest map[uint64]*refusal
	// order has them in order of time, including some that are no longer in byDigest.
	order []*refusal
	// own has those that are still to be reported.
	own []*refusal
}

func newRefusals() refusals { return refusals{byDigest: map[uint64]*refusal{}} }

// add remembers a refused request. reports is how often it is to be reported.
func (r *refusals) add(digest uint64, reports int, now time.Time) {
	r.expire(now)
	if len(r.byDigest) >= maxRefusals && r.byDigest[digest] == nil {
		r.dropFirst()
	}
	entry := &refusal{digest, now, reports}
	r.byDigest[digest] = entry
	r.order = append(r.order, entry)
	if reports > 0 {
		r.own = append(r.own, entry)
	}
	if len(r.order) > 2*maxRefusals {
		r.order = slices.DeleteFunc(r.order, func(e *refusal) bool { return r.byDigest[e.digest] != e })
	}
}

// take reports whether a request was refused before, and forgets it: its caller is back.
func (r *refusals) take(digest uint64, now time.Time) bool {
	entry := r.byDigest[digest]
	if entry == nil || now.Sub(entry.at) >= refusalTime {
		return false
	}
	delete(r.byDigest, digest)
	return true
}

func (r *refusals) expire(now time.Time) {
	for len(r.order) > 0 && (now.Sub(r.order[0].at) >= refusalTime || r.byDigest[r.order[0].digest] != r.order[0]) {
		r.dropFirst()
	}
}

// dropFirst forgets the oldest refused request.
func (r *refusals) dropFirst() {
	for len(r.order) > 0 {
		first := r.order[0]
		r.order = r.order[1:]
		if r.byDigest[first.digest] == first {
			delete(r.byDigest, first.digest)
			return
		}
	}
}

// report returns the digests to report next, the newest first. Those that do not fit in for
// maxReportDelay are not reported: their callers are back by then.
func (r *refusals) report(now time.Time) []uint64 {
	var out []uint64
	for _, entry := range slices.Backward(r.own) {
		if len(out) == maxReportedRefusals {
			break
		}
		if r.byDigest[entry.digest] == entry {
			entry.reports--
			out = append(out, entry.digest)
		}
	}
	r.own = slices.DeleteFunc(r.own, func(e *refusal) bool {
		return e.reports == 0 || now.Sub(e.at) >= maxReportDelay || r.byDigest[e.digest] != e
	})
	return out
}
