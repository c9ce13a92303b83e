package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/briarlink/briarlink/test/standin/caller"
)

const (
	// silenceSeeds and lastSilenceSeed limit the seeds in which sound servers send and read nothing for
	// a second or two, beside planned work of all kinds and nothing else.
	silenceSeeds, lastSilenceSeed = 13000, 13999
	// minSilence and maxSilence limit how long a server is silent, and firstSilence is when the first is.
	minSilence   = time.Second
	maxSilence   = 2 * time.Second
	firstSilence = time.Second
	// maxSilencesInSeries is the maximum number of silences of the same servers, each maxSilenceGap after
	// the one before at most.
	maxSilencesInSeries = 3
	maxSilenceGap       = 600 * time.Millisecond
	// overlap is how long before servers go on those that have taken over fall silent.
	overlap = 100 * time.Millisecond
	// plannedAfter is how far into a silence planned work begins. A second one, and a second signal to the
	// same host, follows up to secondAfter later.
	plannedAfter = 300 * time.Millisecond
	secondAfter  = time.Second
	// startTime is how long a process may take until it handles signals.
	startTime = 500 * time.Millisecond
	// minRoundGap and maxRoundGap limit the time between the silences of one set of servers and the next.
	minRoundGap = 3 * time.Second
	maxRoundGap = 4 * time.Second
)

// The load of these seeds: streams are under way for longer than most silences last, and callers are about as
// many as servers have slots.
const (
	silenceCallers  = 40
	silenceSlots    = 8
	silenceEvents   = 12
	silencePace     = 280 * time.Millisecond
	silenceDeadline = 10 * time.Second
	silenceGrace    = 8 * time.Second
	// Plain answers have up to largeParts parts, with partPause between them.
	largeParts = 20
	partPause  = 50 * time.Millisecond
)

// The rule excuses an answer that a stopping host ends in the last part of its grace time, if the request was sent
// soon after SIGTERM.
const (
	lastGracePart = 6
	sentAfterStop = 3 * time.Second
	// deadlineMargin is how long before the caller's deadline that of the host may pass.
	deadlineMargin = 50 * time.Millisecond
)

func hasSilences(seed uint64) bool { return seed >= silenceSeeds && seed <= lastSilenceSeed }

func silenceSize(seed uint64) size {
	rng := rand.New(rand.NewPCG(seed, lastSilenceSeed))
	hosts := 3 + rng.IntN(6)
	return size{hosts: hosts, large: min(hosts, 4), writers: 4 + rng.IntN(3), jobs: 2}
}

func (fx *fixture) callers() int {
	switch {
	case fx.silences:
		return silenceCallers
	case fx.promises:
		return promiseCallers
	}
	return callerCount
}

func (fx *fixture) streamEvents() int {
	if fx.silences {
		return silenceEvents
	}
	return streamEvents
}

// pace is the pause between two events of a stream.
func (fx *fixture) pace() time.Duration {
	if fx.silences {
		return silencePace
	}
	return 40 * time.Millisecond
}

// deadline is the deadline of callers.
func (fx *fixture) deadline() time.Duration {
	if fx.silences {
		return silenceDeadline
	}
	return deadline
}

// settleTime is how long recovery of a host may take, in which the kinds of request are tried one after the
// other. Long streams count only until they have begun.
func (fx *fixture) settleTime() time.Duration {
	if fx.silences {
		return settleTimeout + 2*silenceEvents*silencePace
	}
	return settleTimeout
}

func (fx *fixture) grace() time.Duration {
	if fx.silences {
		return silenceGrace
	}
	return grace
}

// editDuringSilences makes consecutive configurations differ in what may concern requests under way: the
// number of attempts, a longer timeout, the idle timeout, and a route.
func editDuringSilences(version int64, config object) {
	routes := config["Routes"].([]object)
	for _, route := range routes {
		route["TimeoutMs"] = (silenceDeadline + time.Duration(version%4)*time.Second).Milliseconds()
		if version%4 == 0 {
			route["Attempts"] = 1
		}
	}
	if version%3 == 0 {
		extra := maps.Clone(routes[0])
		extra["Name"], extra["PathPrefix"] = "extra", "/extra/"
		config["Routes"] = append(routes, extra)
	}
	config["Limits"].(object)["IdleTimeoutMs"] = 15000 + 1000*(version%5)
}

// silenceSeries draws silences of some or all servers, and planned work during each.
func silenceSeries(rng *rand.Rand, s size, length time.Duration) []fault {
	var series []fault
	for at := firstSilence; at < length; at += minRoundGap + time.Duration(rng.Int64N(int64(maxRoundGap-minRoundGap))) {
		series = append(series, drawSilences(rng, s, at), drawPlanned(rng, s, at+plannedAfter))
		if rng.IntN(2) == 0 {
			series = append(series, drawPlanned(rng, s, at+plannedAfter+time.Duration(rng.Int64N(int64(secondAfter)))))
		}
	}
	slices.SortStableFunc(series, func(a, b fault) int { return int(a.at - b.at) })
	return series
}

func drawSilences(rng *rand.Rand, s size, at time.Duration) fault {
	duration := func() time.Duration { return minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence))) }
	all := rng.Perm(s.writers + s.jobs)
	first := all[:1+rng.IntN(len(all))]
	if rng.IntN(3) == 0 {
		first = all
	}
	d, gap := duration(), time.Duration(rng.Int64N(int64(maxSilenceGap)))
	switch rng.IntN(3) {
	case 0:
		return fault{at: at, planned: true, name: fmt.Sprintf("servers %v silent for %v", first, d), do: func(fx *fixture) { fx.silence(first, d) }}
	case 1:
		times := 2 + rng.IntN(maxSilencesInSeries-1)
		return fault{at: at, planned: true, name: fmt.Sprintf("servers %v silent for %v, %d times, %v between", first, d, times, gap), do: func(fx *fixture) {
			for range times {
				fx.silence(first, d)
				time.Sleep(gap)
			}
		}}
	default:
		others, next := all[len(first):], duration()
		return fault{at: at, planned: true, name: fmt.Sprintf("servers %v silent for %v, then %v for %v", first, d, others, next), do: func(fx *fixture) {
			var wg sync.WaitGroup
			defer wg.Wait()
			wg.Go(func() { fx.silence(first, d) })
			time.Sleep(d - overlap)
			fx.silence(others, next)
		}}
	}
}

// drawPlanned draws planned work that may come during silences.
func drawPlanned(rng *rand.Rand, s size, at time.Duration) fault {
	i, later := rng.IntN(s.hosts), time.Duration(rng.Int64N(int64(secondAfter)))
	planned := func(do func(fx *fixture), format string, args ...any) fault {
		return fault{at: at, planned: true, name: fmt.Sprintf(format, args...), do: do}
	}
	switch rng.IntN(6) {
	case 0:
		return planned(func(fx *fixture) { fx.stopHost(i) }, "stop host %d", i)
	case 1:
		return planned(func(fx *fixture) { fx.rollHosts(later) }, "stop hosts in turn, each %v", later)
	case 2:
		return planned(func(fx *fixture) {
			var wg sync.WaitGroup
			defer wg.Wait()
			wg.Go(func() { fx.stopHost(i) })
			time.Sleep(later)
			fx.reloadStarted(i)
			time.Sleep(later)
			wg.Go(func() { fx.stopHost(i) })
		}, "stop host %d, SIGHUP %v later, SIGTERM %v later", i, later, 2*later)
	case 3:
		return planned(func(fx *fixture) {
			for i := range fx.hosts {
				fx.reloadStarted(i)
			}
		}, "reload all hosts")
	case 4:
		return planned(func(fx *fixture) { fx.operator.revoke() }, "revoke keys")
	default:
		return planned(func(fx *fixture) { fx.operator.grant() }, "grant a key")
	}
}

// reloadStarted sends SIGHUP to a host unless it has just started: the signal ends a process that has not come to
// handling it yet.
func (fx *fixture) reloadStarted(i int) {
	if time.Since(fx.hosts[i].runsSince()) > startTime {
		fx.reloadHost(i)
	}
}

// silence is until when a server is silent. Overlapping silences last until the end of the last one.
type silence struct {
	mu    sync.Mutex
	until time.Time
}

func (s *silence) lasts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.until)
}

// fallSilent makes a server do nothing for the duration, as a stopped process: connections stay open and
// new ones open.
func (s *server) fallSilent(d time.Duration) {
	s.silence.mu.Lock()
	if until := time.Now().Add(d); until.After(s.silence.until) {
		s.silence.until = until
	}
	s.front.set(blackhole)
	s.current().Pause(d)
	s.silence.mu.Unlock()
	time.Sleep(d)
	s.silence.mu.Lock()
	defer s.silence.mu.Unlock()
	if !time.Now().Before(s.silence.until) {
		s.front.set(pass)
	}
}

func (fx *fixture) silence(servers []int, d time.Duration) {
	defer fx.faults.begin("silence", nil, true)()
	var wg sync.WaitGroup
	for _, j := range servers {
		wg.Go(func() { fx.servers[j].fallSilent(d) })
	}
	wg.Wait()
}

// named returns a random one of the hosts that the directory names to a caller, or of all if none answers.
func (fx *fixture) named(c *caller.Caller, rng *rand.Rand) *host {
	addresses, err := c.Resolve(context.Background())
	named := slices.DeleteFunc(slices.Clone(fx.hosts), func(h *host) bool {
		return err == nil && !slices.Contains(addresses, h.caller())
	})
	return named[rng.IntN(len(named))]
}

// ending is how a request ended that a server had begun to run.
type ending string

const (
	endedWhole    ending = "whole"
	endedDeadline ending = "at the deadline"
	endedServer   ending = "by the server"
	endedGrace    ending = "at the end of the grace time"
	endedFault    ending = "beside a fault"
	// The others are broken: nothing but a silence, or planned work, ended the answer.
	endedClosed ending = "closed"
	endedFailed ending = "failed"
)

func (fx *fixture) endingOf(s *request) ending {
	switch {
	case s.err == nil && s.answer.Whole && s.answer.Status == http.StatusOK:
		return endedWhole
	case s.to.Sub(s.from) >= fx.deadline()-deadlineMargin:
		return endedDeadline
	case fx.observed.hasServerFault(s.id):
		return endedServer
	case s.host.endsInLastGracePart(s.from, s.to):
		return endedGrace
	case fx.faults.any(s.from, s.to, func(d *disturbance) bool { return !d.planned }):
		return endedFault
	case s.err != nil || !s.answer.Whole:
		return endedClosed
	default:
		return endedFailed
	}
}

// endsInLastGracePart reports whether a request that was sent at one time and ended at another ended in the
// last part of the grace time of a stop, and was sent soon enough to be excused by that.
func (h *host) endsInLastGracePart(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.stops, func(stop time.Time) bool {
		atEnd := to.Sub(stop) >= h.grace-h.grace/lastGracePart && to.Sub(stop) <= h.grace+exitSlack
		return atEnd && from.Sub(stop) <= sentAfterStop
	})
}

// checkUnderWay checks that no answer under way ends because its server is silent or because of planned work:
// each request that a server has begun to run is answered with success and completely, unless its time was
// over, its server broke it off, or a stopping host had reached the end of its grace time.
func (fx *fixture) checkUnderWay(requests []*request) {
	if !fx.silences {
		return
	}
	counts := map[ending]int{}
	for _, s := range requests {
		if len(fx.observed.runsOf(s.id)) == 0 {
			continue
		}
		end := fx.endingOf(s)
		counts[end]++
		if end == endedClosed || end == endedFailed {
			fx.observed.fail("request %s of %s, sent to %s at %s, was under way and %s with status %d after %v%s: %s", s.id, s.kind.name, s.host.id,
				s.from.Format(logTime), end, s.answer.Status, s.to.Sub(s.from).Round(time.Millisecond), s.host.sinceStop(s.from, s.to), fx.loggedCause(s.id))
		}
	}
	fx.silenceFigures = "; under way"
	for _, end := range slices.Sorted(maps.Keys(counts)) {
		fx.silenceFigures += fmt.Sprintf(", %s %d", end, counts[end])
	}
}

// sinceStop says how long after a SIGTERM that came up to the grace time before its end a request was sent
// and ended, "" if there was none.
func (h *host) sinceStop(from, to time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, stop := range slices.Backward(h.stops) {
		if ended := to.Sub(stop); ended >= 0 && ended <= h.grace+exitSlack {
			return fmt.Sprintf(", sent %.2f s and ended %.2f s after SIGTERM", from.Sub(stop).Seconds(), ended.Seconds())
		}
	}
	return ""
}

// loggedCause returns what the hosts' logs say about a request.
func (fx *fixture) loggedCause(id string) string {
	var causes []string
	for _, h := range fx.hosts {
		text, err := os.ReadFile(h.log)
		if err != nil {
			return err.Error()
		}
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, `"request":"`+id+`"`) {
				continue
			}
			var entry struct {
				Msg, Outcome, Error string
				Ms                  int
			}
			if err := json.Unmarshal([]byte(line), &entry); err != nil {
				return err.Error()
			}
			causes = append(causes, fmt.Sprintf("%s logs %q, %s after %d ms, %s", h.id, entry.Msg, entry.Outcome, entry.Ms, entry.Error))
		}
	}
	if causes == nil {
		return "no host's log names it"
	}
	return strings.Join(causes, "; ")
}
