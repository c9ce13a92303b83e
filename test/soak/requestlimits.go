package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/briarlink/briarlink/test/standin/wire"
)

const (
	// requestLimitSeeds is the first of the seeds, below and above fleetSeeds, in which servers
	// state how many requests a second they take from all hosts together.
	requestLimitSeeds = 9000
	// limitWindow is the span in which a limit bounds the requests of the hosts that have
	// forwarded an answer with it at least limitNoticeTime before.
	limitWindow     = 4 * time.Second
	limitNoticeTime = 500 * time.Millisecond
	// minLimitTime and maxLimitTime limit how long a server states a limit.
	minLimitTime = 6 * time.Second
	maxLimitTime = 12 * time.Second
)

func hasRequestLimits(seed uint64) bool {
	return seed%fleetSeeds >= requestLimitSeeds && hasSharedFaults(seed)
}

// withRequestLimits adds servers that state request limits.
func withRequestLimits(series []fault, rng *rand.Rand, s size, length time.Duration) []fault {
	limits := []float64{0.5, 1, 2.3, 4.3, 8}
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(8 * meanGap))) {
		j, limit := rng.IntN(s.writers+s.jobs), limits[rng.IntN(len(limits))]
		duration := minLimitTime + time.Duration(rng.Int64N(int64(maxLimitTime-minLimitTime)))
		series = append(series, fault{
			at: at, name: fmt.Sprintf("server %d limits requests to %v a second for %v", j, limit, duration), planned: true,
			do: func(fx *fixture) { fx.limitRequests(j, limit, duration) },
		})
	}
	slices.SortStableFunc(series, func(a, b fault) int { return int(a.at - b.at) })
	return series
}

// limitSpan is the time during which one incarnation of a server states a limit.
type limitSpan struct {
	server    string
	perSecond float64
	from, to  time.Time
}

// requestLimits holds the limits that servers stated. It is safe for concurrent use.
type requestLimits struct {
	mu    sync.Mutex
	spans []limitSpan
	// limited holds the addresses of the servers that state a limit now.
	limited map[int]bool
}

// limitRequests makes a server state a limit for a while, unless it states one already.
func (fx *fixture) limitRequests(j int, perSecond float64, d time.Duration) {
	l := &fx.requestLimits
	l.mu.Lock()
	busy := l.limited[j]
	if l.limited == nil {
		l.limited = map[int]bool{}
	}
	l.limited[j] = true
	l.mu.Unlock()
	if busy {
		return
	}
	s := fx.servers[j]
	s.mu.Lock()
	e, ended := s.engine, s.ended
	s.mu.Unlock()
	span := limitSpan{server: e.ID, perSecond: perSecond, from: time.Now()}
	e.Limit(strconv.FormatFloat(perSecond, 'f', -1, 64))
	select {
	case <-time.After(d):
		e.Limit("")
		span.to = time.Now()
	case span.to = <-ended:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans = append(l.spans, span)
	l.limited[j] = false
}

// checkRequestLimits checks that the hosts together keep the limits of servers, from recoveryTime
// after each was first stated.
func (fx *fixture) checkRequestLimits(requests []*request) {
	byAddress := map[string]*host{}
	for _, h := range fx.hosts {
		byAddress[h.caller()] = h
	}
	for _, span := range fx.requestLimits.spans {
		var at []time.Time
		noticed := fx.firstNotices(span, requests, byAddress)
		for _, s := range requests {
			h := byAddress[s.answer.Address]
			since, known := noticed[h]
			if h == nil || !known {
				continue
			}
			for _, r := range fx.observed.runsOf(s.id) {
				counts := r.server == span.server && r.at.Sub(since) >= limitNoticeTime && r.at.Sub(span.from) >= recoveryTime && r.at.Before(span.to)
				if counts && !fx.hostDisturbed(h, r.at) {
					at = append(at, r.at)
				}
			}
		}
		fx.checkLimitWindows(span, at)
	}
}

// firstNotices returns when each host first forwarded an answer that states the limit.
func (fx *fixture) firstNotices(span limitSpan, requests []*request, byAddress map[string]*host) map[*host]time.Time {
	noticed := map[*host]time.Time{}
	for _, s := range requests {
		h := byAddress[s.answer.Address]
		if h == nil || sealOf(s.answer.Header) != span.server || s.answer.Header.Get(wire.RequestLimit) == "" {
			continue
		}
		if at, known := noticed[h]; !known || s.to.Before(at) {
			noticed[h] = s.to
		}
	}
	return noticed
}

// hostDisturbed reports whether the host was stopped, started, paused or cut off shortly before.
func (fx *fixture) hostDisturbed(h *host, at time.Time) bool {
	return fx.faults.any(at, at, func(d *disturbance) bool {
		return d.host == h && d.name != "reload" || d.name == "kill all"
	})
}

func (fx *fixture) checkLimitWindows(span limitSpan, at []time.Time) {
	slices.SortFunc(at, time.Time.Compare)
	allowed := 1.5*span.perSecond*limitWindow.Seconds() + 5
	first := 0
	for i, end := range at {
		for end.Sub(at[first]) >= limitWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			fx.observed.fail("%s, which takes %v requests a second, got %d in %v, %.1f allowed", span.server, span.perSecond, n, limitWindow, allowed)
			return
		}
	}
}
