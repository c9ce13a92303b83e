package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/briarlink/briarlink/test/standin/wire"
)

const (
	// noticeSeeds is the first of the seeds, below and above fleetSeeds, in which servers
	// say in their answers that they leave, the store hearing of it later, and ask hosts
	// to back off.
	noticeSeeds = 6000
	// laterAtStore is how much later the store hears that a server leaves, at most.
	laterAtStore = 5 * time.Second
	// backoffMargin is how long after a server's refusal requests may be on their way to it, and
	// backoffAllowed how many may come from then until the end of the backoff.
	backoffMargin  = 500 * time.Millisecond
	backoffAllowed = 2
)

func hasNotices(seed uint64) bool { return seed%fleetSeeds >= noticeSeeds }

// withNotices adds servers that turn requests away and ask hosts to back off.
func withNotices(series []fault, rng *rand.Rand, s size, length time.Duration) []fault {
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(4 * meanGap))) {
		j, for_ := rng.IntN(s.writers+s.jobs), time.Second+time.Duration(rng.Int64N(int64(longest)))
		series = append(series, fault{
			at: at, name: fmt.Sprintf("server %d asks to back off for %v", j, for_), planned: true,
			do: func(w *world) { w.servers[j].current().TurnAway(for_) },
		})
	}
	slices.SortStableFunc(series, func(a, b fault) int { return int(a.at - b.at) })
	return series
}

// way leads from a start of a host to a start of a server.
type way struct {
	host   *host
	boot   int
	server string
}

// refusal is a request that a server turned away, asking to back off until a time.
type refusal struct {
	id        string
	server    string
	at, until time.Time
}

// notices is what servers said, as callers and servers saw it. It is safe for concurrent use.
type notices struct {
	mu sync.Mutex
	// left is when an answer that a caller got first said that its server leaves.
	left     map[way]time.Time
	refusals []refusal
}

func newNotices() *notices { return &notices{left: map[way]time.Time{}} }

func (w *notices) refused(server, id string, left time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.refusals = append(w.refusals, refusal{id, server, now, now.Add(left)})
}

// hear takes an answer that a host has passed on.
func (w *notices) hear(s *sent, server string) {
	if s.host == nil || s.boot == 0 || s.answer.Header.Get(wire.Leaving) == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	at := way{s.host, s.boot, server}
	if _, known := w.left[at]; !known {
		w.left[at] = s.to
	}
}

// judgeLeft: nothing that a caller sent drainTime after a host had passed on a server's
// word reaches that server from that host, whether the host is in touch or not. Its
// restart or a pause of it since then excuses it.
func (w *world) judgeLeft(s *sent, r run) {
	if s.host == nil || s.boot == 0 {
		return
	}
	w.said.mu.Lock()
	left, known := w.said.left[way{s.host, s.boot, r.server}]
	w.said.mu.Unlock()
	if !known || s.from.Sub(left) <= drainTime {
		return
	}
	paused := w.faults.any(left, r.at, func(d *disturbance) bool { return d.what == pauseOfHost && d.host == s.host })
	if !paused {
		w.seen.fail("request %s reached %s from %s %v after an answer had told the host that the server leaves", s.id, r.server, s.host.id, s.from.Sub(left))
	}
}

// judgeBackoffs counts the requests that each host sent to a server that had asked it to
// back off. What is on its way for longer than backoffMargin since a link or a host was
// harmed is excused.
func (w *world) judgeBackoffs(requests []*sent) {
	from := map[string]*sent{}
	for _, s := range requests {
		if s.host != nil && s.boot != 0 {
			from[s.id] = s
		}
	}
	by := map[way][]refusal{}
	for _, r := range w.said.refusals {
		if s := from[r.id]; s != nil {
			on := way{s.host, s.boot, r.server}
			by[on] = append(by[on], r)
		}
	}
	for on, refusals := range by {
		for _, asked := range refusals {
			late := 0
			for _, r := range refusals {
				if r.at.After(asked.at.Add(backoffMargin)) && r.at.Before(asked.until) {
					late++
				}
			}
			harmed := w.faults.any(asked.at, asked.until, func(d *disturbance) bool { return !d.planned && d.what != crashUnderRequest })
			if late > backoffAllowed && !harmed {
				w.seen.fail("%s asked %s to back off and got %d requests from it in that time", on.server, on.host.id, late)
				break
			}
		}
	}
}

// sealPrefix begins the seals of the stand-in servers.
const sealPrefix = "seal-of-"

// sealOf returns the server whose seal an answer bears.
func sealOf(h http.Header) string {
	seal := h.Get(wire.Seal)
	if len(seal) <= len(sealPrefix) {
		return ""
	}
	return seal[len(sealPrefix):]
}
