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
	// send leave notices in their answers before the store shows that they leave, and ask
	// hosts to back off.
	noticeSeeds = 6000
	// maxLeavingDelay is the maximum delay until the store shows that a server leaves.
	maxLeavingDelay = 5 * time.Second
	// backoffMargin is how long after a rejection requests may still be in flight to the
	// server, and backoffAllowed how many may arrive after that until the backoff ends.
	backoffMargin  = 500 * time.Millisecond
	backoffAllowed = 2
)

func hasNotices(seed uint64) bool {
	return seed%fleetSeeds >= noticeSeeds && hasSharedFaults(seed)
}

// withNotices adds servers that reject requests and ask hosts to back off.
func withNotices(series []fault, rng *rand.Rand, s size, length time.Duration) []fault {
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(4 * meanGap))) {
		j, duration := rng.IntN(s.writers+s.jobs), time.Second+time.Duration(rng.Int64N(int64(maxDuration)))
		series = append(series, fault{
			at: at, name: fmt.Sprintf("server %d asks to back off for %v", j, duration), planned: true,
			do: func(fx *fixture) { fx.servers[j].current().TurnAway(duration) },
		})
	}
	slices.SortStableFunc(series, func(a, b fault) int { return int(a.at - b.at) })
	return series
}

// hop identifies the hop of a request from an incarnation of a host to a server.
type hop struct {
	host        *host
	incarnation int
	server      string
}

// rejection is a request that a server rejected, with a backoff that ends at until.
type rejection struct {
	id        string
	server    string
	at, until time.Time
}

// notices holds the leave notices and rejections of servers, as callers and servers
// observed them. It is safe for concurrent use.
type notices struct {
	mu sync.Mutex
	// noticed is when a caller first received an answer with the server's leave notice.
	noticed    map[hop]time.Time
	rejections []rejection
}

func newNotices() *notices { return &notices{noticed: map[hop]time.Time{}} }

func (ns *notices) recordRejection(server, id string, backoff time.Duration) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	now := time.Now()
	ns.rejections = append(ns.rejections, rejection{id, server, now, now.Add(backoff)})
}

// recordAnswer records the leave notice, if any, of an answer that a host has forwarded.
func (ns *notices) recordAnswer(s *request, server string) {
	if s.host == nil || s.incarnation == 0 || s.answer.Header.Get(wire.Leaving) == "" {
		return
	}
	ns.mu.Lock()
	defer ns.mu.Unlock()
	via := hop{s.host, s.incarnation, server}
	if _, known := ns.noticed[via]; !known {
		ns.noticed[via] = s.to
	}
}

// checkLeaving checks that a host sends a server no request that a caller sent more than
// drainTime after the host had forwarded the server's leave notice. Only a restart or a
// pause of that host since the notice excuses it.
func (fx *fixture) checkLeaving(s *request, r run) {
	if s.host == nil || s.incarnation == 0 {
		return
	}
	fx.notices.mu.Lock()
	since, known := fx.notices.noticed[hop{s.host, s.incarnation, r.server}]
	fx.notices.mu.Unlock()
	if !known || s.from.Sub(since) <= drainTime {
		return
	}
	paused := fx.faults.any(since, r.at, func(d *disturbance) bool { return d.name == hostPause && d.host == s.host })
	if !paused {
		fx.observed.fail("request %s reached %s from %s %v after an answer had given the host the server's leave notice", s.id, r.server, s.host.id, s.from.Sub(since))
	}
}

// checkBackoffs counts the requests that each host sent to a server that had asked it to
// back off. Unplanned disturbances excuse an excess, as they may keep requests in flight
// for longer than backoffMargin.
func (fx *fixture) checkBackoffs(requests []*request) {
	from := map[string]*request{}
	for _, s := range requests {
		if s.host != nil && s.incarnation != 0 {
			from[s.id] = s
		}
	}
	byHop := map[hop][]rejection{}
	for _, r := range fx.notices.rejections {
		if s := from[r.id]; s != nil {
			via := hop{s.host, s.incarnation, r.server}
			byHop[via] = append(byHop[via], r)
		}
	}
	for via, rejections := range byHop {
		for _, asked := range rejections {
			late := 0
			for _, r := range rejections {
				if r.at.After(asked.at.Add(backoffMargin)) && r.at.Before(asked.until) {
					late++
				}
			}
			disturbed := fx.faults.any(asked.at, asked.until, func(d *disturbance) bool { return !d.planned && d.name != crashWhileRunning })
			if late > backoffAllowed && !disturbed {
				fx.observed.fail("%s asked %s to back off and received %d requests from it in that time", via.server, via.host.id, late)
				break
			}
		}
	}
}

// sealPrefix is the prefix of the stand-in servers' seals.
const sealPrefix = "seal-of-"

// sealOf returns the ID of the server whose seal an answer has, or "".
func sealOf(h http.Header) string {
	seal := h.Get(wire.Seal)
	if len(seal) <= len(sealPrefix) {
		return ""
	}
	return seal[len(sealPrefix):]
}
