package membudget

import (
	"cmp"
	"slices"
	"time"
)

// order is the order in which transfers are ended: first heads, as nothing is lost with them, and last connections that
// are idle between requests.
var order = [Kinds]int{Head: 0, Body: 1, Answer: 2, Socket: 3}

const (
	// slowRate is the transfer rate in bytes per second below which a caller may be ended. The
	// smallest hosts have 10 Mbit/s, which 75 callers at once share at this rate.
	slowRate = 16 << 10
	// minMeasured is the shortest time over which a rate counts. Shorter pauses occur on sound links,
	// for a lost packet or while a caller's process is busy.
	minMeasured = time.Second
)

// Entry is a transfer between a caller and this host that is in progress: a head or a body that is
// being read, an answer that is being written, or the wait for a caller's next request.
type Entry struct {
	// Kind is Socket for a connection that waits for its next request.
	Kind Kind
	// Bytes are all bytes that end with the request.
	Bytes int64
	// Moved are the bytes that were transferred in the last Measured of the time that this host
	// spent waiting for the caller.
	Moved    int64
	Measured time.Duration
}

// rate returns the transfer rate in bytes per second.
func (e *Entry) rate() float64 { return float64(e.Moved) / e.Measured.Seconds() }

// isSlow reports whether the caller may be ended under pressure.
func (e *Entry) isSlow() bool { return e.Measured >= minMeasured && e.rate() < slowRate }

// holdTime returns a measure of how long the memory stays in use: it grows with the bytes and with
// the slowness of the caller.
func (e *Entry) holdTime() float64 { return float64(e.Bytes) / (1 + e.rate()) }

// Choose returns the indexes of the entries to end so that excess bytes become free, or as many as
// slow callers hold: first the heads and then the bodies that arrive slowest, then the answers of the
// callers that read slowest and hold most, then idle connections. It returns none if there is no excess.
func Choose(entries []Entry, excess int64) []int {
	if excess <= 0 {
		return nil
	}
	var slow []int
	for i := range entries {
		if entries[i].isSlow() {
			slow = append(slow, i)
		}
	}
	slices.SortFunc(slow, func(i, j int) int { return compareEntries(&entries[i], &entries[j], i, j) })
	for n, i := range slow {
		if excess -= entries[i].Bytes; excess <= 0 {
			return slow[:n+1]
		}
	}
	return slow
}

// compareEntries orders entries by who is ended first; the index decides between equal ones.
func compareEntries(a, b *Entry, i, j int) int {
	if a.Kind != b.Kind {
		return cmp.Compare(order[a.Kind], order[b.Kind])
	}
	if a.Kind == Answer {
		return cmp.Or(cmp.Compare(b.holdTime(), a.holdTime()), cmp.Compare(i, j))
	}
	return cmp.Or(cmp.Compare(a.rate(), b.rate()), cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(b.Measured, a.Measured), cmp.Compare(i, j))
}
