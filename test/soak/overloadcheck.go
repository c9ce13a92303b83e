package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Bounds of requirements 1 to 3 of docs/design/overload.md.
const (
	minOthersServed = 0.95
	minUse          = 0.9
	maxUneven       = 0.15
	minBesideSlow   = 0.98
)

const (
	// useSettleTime is how long after the load of a kind began the use of servers is measured.
	useSettleTime = time.Second
	// watchInterval is the time between two looks at the memory of the hosts' processes.
	watchInterval = 100 * time.Millisecond
	// maxResidentMB ends the slow callers if all hosts together hold more, which protects this machine.
	maxResidentMB = 1500
)

// watchMemory watches the memory of the hosts' processes until the end.
func (l *overloadLoad) watchMemory() {
	for ; time.Now().Before(l.end); time.Sleep(watchInterval) {
		resident := 0.0
		for _, h := range l.fx.hosts {
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.pid()))
			if err != nil {
				continue
			}
			l.peakMB[h] = max(l.peakMB[h], statusMB(string(status), "VmHWM:"))
			resident += statusMB(string(status), "VmRSS:")
		}
		if resident > maxResidentMB {
			l.tooMuch()
		}
	}
}

// statusMB returns a value of /proc/PID/status in MB, 0 if it is not there.
func statusMB(status, name string) float64 {
	_, rest, _ := strings.Cut(status, name)
	value, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kb, _ := strconv.ParseFloat(value, 64)
	return kb / 1024
}

// isServed reports whether a demand got a complete answer within the limit.
func (d *demand) isServed(limit time.Duration) bool {
	s := d.tries[len(d.tries)-1]
	return s.err == nil && s.answer.Status == http.StatusOK && s.answer.Whole && s.to.Sub(d.from) <= limit
}

// isExcused reports whether a fault excuses that a demand was not served: a connection broke with the host
// that was killed, or a request went to one that had been cut off for less than recoveryTime.
func (fx *fixture) isExcused(d *demand) bool {
	for _, s := range d.tries {
		if fx.faults.any(s.from, s.to, func(f *disturbance) bool {
			justCut := f.name == cutOffName && s.from.Sub(f.from) < recoveryTime
			broke := f.name == "kill" && s.err != nil && !errors.Is(s.err, context.DeadlineExceeded)
			return f.host == s.host && (justCut || broke)
		}) {
			return true
		}
	}
	return false
}

// served counts demands since the load of the kind began: those served before the deadline, those served
// within the latency target, and those that a fault excuses, which are not in all.
type served struct{ all, inTime, onTarget, excused int }

func (c served) share() float64 { return ratio(c.inTime, c.all) }

func (c served) String() string {
	return fmt.Sprintf("%.3f of %d in time, %.3f in %v, %d excused", c.share(), c.all, ratio(c.onTarget, c.all), plainTarget, c.excused)
}

func ratio(part, all int) float64 { return float64(part) / float64(max(1, all)) }

// countServed counts the demands of the organisations from first to last.
func (l *overloadLoad) countServed(first, last int) (c served) {
	for _, d := range l.demands {
		if d.from.Before(l.pressedAt) || d.organisation < first || d.organisation > last {
			continue
		}
		inTime := d.isServed(plainDeadline)
		switch {
		case !inTime && l.fx.isExcused(d):
			c.excused++
			continue
		case inTime:
			c.inTime++
		}
		c.all++
		if d.isServed(plainTarget) {
			c.onTarget++
		}
	}
	return c
}

// capacity returns the number of requests a second that servers with these slots take.
func capacity(slots ...int) (perSecond float64) {
	for _, n := range slots {
		perSecond += float64(n) / plainWork.Seconds()
	}
	return perSecond
}

// runsPerServer counts the runs of each plain server while pressed.
func (l *overloadLoad) runsPerServer() (counts []int, total int) {
	counts = make([]int, len(l.fx.overload.slots))
	byID := map[string]int{}
	for i := range counts {
		byID[l.fx.servers[i].current().ID] = i
	}
	l.fx.observed.mu.Lock()
	defer l.fx.observed.mu.Unlock()
	for _, runs := range l.fx.observed.runs {
		for _, r := range runs {
			if i, ok := byID[r.server]; ok && r.at.After(l.pressedAt.Add(useSettleTime)) && r.at.Before(l.end) {
				counts[i]++
				total++
			}
		}
	}
	return counts, total
}

// checkOverload checks the requirement that belongs to the kind of the seed, and returns its figures.
func (fx *fixture) checkOverload(l *overloadLoad) string {
	for _, h := range fx.hosts {
		if h.pid() == 0 {
			fx.observed.fail("the process of %s has ended", h.id)
		}
	}
	fx.checkRefusals()
	switch fx.overload.kind {
	case storm:
		return fx.checkStorm(l)
	case uneven:
		return fx.checkUneven(l)
	case hostile:
		return fx.checkHostile(l)
	default:
		return fx.checkBesideSlow(l)
	}
}

// checkRefusals checks that each success comes from a server that ran the request, and that without a fault
// no refused request has run.
func (fx *fixture) checkRefusals() {
	fx.observed.mu.Lock()
	requests := fx.observed.requests
	fx.observed.mu.Unlock()
	for _, s := range requests {
		switch {
		case s.err != nil:
		case s.answer.Status == http.StatusOK:
			fx.observed.checkSuccess(s, false)
		case notRun(s.answer.Status) && fx.overload.faultAt == 0 && len(fx.observed.runsOf(s.id)) > 0:
			fx.observed.fail("request %s was answered %d and ran", s.id, s.answer.Status)
		}
	}
}

func (fx *fixture) checkServed(who string, c served, required float64) {
	if c.share() < required {
		fx.observed.fail("%d of %d requests of %s were served in time, a share of %v required", c.inTime, c.all, who, required)
	}
}

func (fx *fixture) checkStorm(l *overloadLoad) string {
	loud, others := l.countServed(0, 0), l.countServed(1, organisations-1)
	_, runs := l.runsPerServer()
	use := float64(runs) / (l.end.Sub(l.pressedAt) - useSettleTime).Seconds() / capacity(fx.overload.slots...)
	fx.checkServed("the other organisations", others, minOthersServed)
	if use < minUse {
		fx.observed.fail("servers were used to %.3f while pressed, %v required", use, minUse)
	}
	return fmt.Sprintf("the seven %v; the one %v; use %.3f", others, loud, use)
}

func (fx *fixture) checkUneven(l *overloadLoad) string {
	all := l.countServed(0, organisations-1)
	fx.checkServed("all", all, 1)
	figures := all.String() + "; use by share"
	runs, total := l.runsPerServer()
	for i, n := range runs {
		share := ratio(n, total) * capacity(fx.overload.slots...) / capacity(fx.overload.slots[i])
		figures += fmt.Sprintf(" %.2f", share)
		if share < 1-maxUneven || share > 1+maxUneven {
			fx.observed.fail("server %d got %.2f of its share, %v to %v required", i, share, 1-maxUneven, 1+maxUneven)
		}
	}
	return figures
}

func (fx *fixture) checkBesideSlow(l *overloadLoad) string {
	others := l.countServed(0, organisations-1)
	fx.checkServed("the other callers", others, minBesideSlow)
	return others.String() + fx.checkMemory(l)
}

// checkMemory checks that the hosts' processes stayed within their memory, and returns the peaks.
func (fx *fixture) checkMemory(l *overloadLoad) (figures string) {
	if l.slow.Err() != nil {
		figures = fmt.Sprintf("; slow callers ended at %d MB", maxResidentMB)
	}
	figures += "; peak MB"
	for _, h := range fx.hosts {
		figures += fmt.Sprintf(" %.0f", l.peakMB[h])
		if l.peakMB[h] > hostMemoryMB {
			fx.observed.fail("%s held %.0f MB, %d allowed", h.id, l.peakMB[h], hostMemoryMB)
		}
	}
	return figures
}
