package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/store"
)

// fault is a step of a seed's series: an injected fault or planned work.
type fault struct {
	at   time.Duration
	name string
	do   func(fx *fixture)
	// planned marks work of operators, such as a graceful stop, which excuses hardly any
	// violation.
	planned bool
}

const (
	// meanGap is the mean time between two faults. Most last longer, so that they
	// overlap.
	meanGap = 450 * time.Millisecond
	// maxDuration is the maximum duration of a fault.
	maxDuration = 3500 * time.Millisecond
)

// seriesOf returns a seed's faults. A seed always gives the same series.
func seriesOf(seed uint64, s size, length time.Duration) []fault {
	if hasSilences(seed) {
		return silenceSeries(rand.New(rand.NewPCG(seed, silenceSeeds)), s, length)
	}
	if hasRejections(seed) {
		return rejectionSeries(rand.New(rand.NewPCG(seed, rejectionSeeds)), length)
	}
	series := plan(rand.New(rand.NewPCG(seed, 0)), s, length)
	if hasServerCuts(seed) {
		return withServerCuts(series, rand.New(rand.NewPCG(seed, serverCutSeeds)), s)
	}
	plannedOnly := !slices.ContainsFunc(series, func(f fault) bool { return !f.planned })
	if seed >= lossSeeds && (seed < mixedSeeds || !plannedOnly) {
		series = withLosses(series, rand.New(rand.NewPCG(seed, lossSeeds)), s, length)
	}
	if seed >= mixedSeeds {
		series = withMixed(series, rand.New(rand.NewPCG(seed, mixedSeeds)), s, length, plannedOnly)
	}
	if hasNotices(seed) {
		series = withNotices(series, rand.New(rand.NewPCG(seed, noticeSeeds)), s, length)
	}
	if hasCanary(seed) {
		series = withCanary(series, isBadCanary(seed))
	}
	if hasRequestLimits(seed) {
		series = withRequestLimits(series, rand.New(rand.NewPCG(seed, requestLimitSeeds)), s, length)
	}
	if hasRestorations(seed) {
		series = withRestorations(series, rand.New(rand.NewPCG(seed, restorationSeeds)), length)
	}
	return series
}

// plan draws the faults that every seed has. One in three seeds has only planned work, so
// that guarantees which faults would excuse are checked too.
func plan(rng *rand.Rand, s size, length time.Duration) []fault {
	var out []fault
	plannedOnly := rng.IntN(3) == 0
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(2 * meanGap))) {
		f := draw(rng, s)
		for plannedOnly && !f.planned {
			f = draw(rng, s)
		}
		f.at = at
		out = append(out, f)
	}
	return out
}

// lossSeeds is the first seed whose series also has answers that servers lose. Seeds below
// it keep the series with which they found faults.
const lossSeeds = 1000

// withLosses adds servers that run requests and never send the answers; some of these
// servers crash soon after.
func withLosses(series []fault, rng *rand.Rand, s size, length time.Duration) []fault {
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(4 * meanGap))) {
		j, crash := rng.IntN(s.writers+s.jobs), rng.IntN(3) == 0
		series = append(series, fault{at: at, name: fmt.Sprintf("server %d loses answers, crashes: %v", j, crash), do: func(fx *fixture) {
			fx.servers[j].current().Next(engine.Lose, engine.Lose)
			if crash {
				time.Sleep(meanGap)
				fx.replaceServer(j, false)
			}
		}})
	}
	slices.SortStableFunc(series, func(a, b fault) int { return int(a.at - b.at) })
	return series
}

// proxyModes are the modes that inject a network fault.
var proxyModes = []mode{blackhole, oneWay, delay, reset, blackholeOpen}

// draw draws one fault. Planned changes and single crashes are more likely than outages.
func draw(rng *rand.Rand, s size) fault {
	duration := time.Duration(rng.Int64N(int64(maxDuration)))
	i, j, m := rng.IntN(s.hosts), rng.IntN(s.writers+s.jobs), proxyModes[rng.IntN(len(proxyModes))]
	unplanned := func(do func(fx *fixture), format string, args ...any) fault {
		return fault{name: fmt.Sprintf(format, args...), do: do}
	}
	planned := func(do func(fx *fixture), format string, args ...any) fault {
		return fault{name: fmt.Sprintf(format, args...), do: do, planned: true}
	}
	switch rng.IntN(18) {
	case 0:
		return unplanned(func(fx *fixture) { fx.killHost(i, duration/3) }, "kill host %d, start after %v", i, duration/3)
	case 1, 2:
		return planned(func(fx *fixture) { fx.stopHost(i) }, "stop host %d", i)
	case 3:
		return unplanned(func(fx *fixture) { fx.pauseHost(i, duration) }, "pause host %d for %v", i, duration)
	case 4:
		return planned(func(fx *fixture) { fx.reloadHost(i) }, "reload host %d", i)
	case 5:
		return planned(func(fx *fixture) { fx.rollHosts(duration / time.Duration(s.hosts)) }, "stop hosts in turn, each %v", duration/time.Duration(s.hosts))
	case 6:
		return unplanned(func(fx *fixture) { fx.killAll(duration / 3) }, "kill all hosts, start after %v", duration/3)
	case 7:
		mode := []store.Mode{store.Down, store.Silent, store.Lossy}[rng.IntN(3)]
		return unplanned(func(fx *fixture) { fx.breakStore(mode, duration) }, "store in mode %d for %v", mode, duration)
	case 8:
		return unplanned(func(fx *fixture) { fx.trim() }, "store forgets its history")
	case 9, 10:
		return unplanned(func(fx *fixture) { fx.disturbStoreLink(i, m, duration) }, "host %d to the store: %v for %v", i, m, duration)
	case 11, 12:
		return unplanned(func(fx *fixture) { fx.disturbServerLink(j, m, duration) }, "server %d: %v for %v", j, m, duration)
	case 13:
		if rng.IntN(2) == 0 {
			return planned(func(fx *fixture) { fx.replaceServer(j, true) }, "server %d leaves and is replaced", j)
		}
		return unplanned(func(fx *fixture) { fx.replaceServer(j, false) }, "server %d crashes and is replaced", j)
	case 14:
		faults := []engine.Fault{engine.Refuse, engine.Fail, engine.Cut, engine.Unsealed}
		next := []engine.Fault{faults[rng.IntN(4)], faults[rng.IntN(4)], faults[rng.IntN(4)]}
		return unplanned(func(fx *fixture) { fx.servers[j].current().Next(next...) }, "server %d: %v", j, next)
	case 15:
		return planned(func(fx *fixture) { fx.operator.grant() }, "grant a key")
	case 16:
		return planned(func(fx *fixture) { fx.operator.revoke() }, "revoke keys")
	default:
		return planned(func(fx *fixture) { fx.operator.bumpWeights() }, "new weights")
	}
}

// runFaults runs the series and waits until every fault is over.
func (fx *fixture) runFaults(ctx context.Context, series []fault, log func(string)) {
	began := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, f := range series {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(f.at))):
		}
		log(f.name)
		wg.Go(func() { f.do(fx) })
	}
}

func (fx *fixture) killHost(i int, after time.Duration) {
	h := fx.hosts[i]
	end := fx.faults.begin("kill", h, false)
	defer end()
	h.kill()
	time.Sleep(after)
	fx.restart(h)
}

// restart starts a host and waits up to 2 s until it is ready.
func (fx *fixture) restart(h *host) {
	if err := h.start(); err != nil {
		fx.observed.fail("%s does not start: %v", h.id, err)
		return
	}
	for range 100 {
		if h.ready() {
			return
		}
		time.Sleep(pollInterval)
	}
}

func (fx *fixture) stopHost(i int) {
	h := fx.hosts[i]
	end := fx.faults.begin("stop", h, true)
	defer end()
	began := time.Now()
	if !h.terminate(h.grace + exitSlack) {
		other := fx.faults.any(began, time.Now(), func(d *disturbance) bool { return !d.planned })
		if !other {
			fx.observed.fail("%s has not exited %v after SIGTERM", h.id, h.grace+exitSlack)
		}
		h.kill()
	}
	fx.restart(h)
}

// hostPause is the name of the disturbance of a host that is stopped with SIGSTOP.
const hostPause = "pause"

func (fx *fixture) pauseHost(i int, d time.Duration) {
	h := fx.hosts[i]
	end := fx.faults.begin(hostPause, h, false)
	defer end()
	h.signal(syscall.SIGSTOP)
	time.Sleep(d)
	h.signal(syscall.SIGCONT)
}

func (fx *fixture) reloadHost(i int) {
	end := fx.faults.begin("reload", fx.hosts[i], true)
	defer end()
	fx.hosts[i].signal(syscall.SIGHUP)
}

func (fx *fixture) rollHosts(gap time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range fx.hosts {
		wg.Go(func() { fx.stopHost(i) })
		time.Sleep(gap)
	}
}

func (fx *fixture) killAll(after time.Duration) {
	end := fx.faults.begin("kill all", nil, false)
	defer end()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range fx.hosts {
		wg.Go(func() { fx.killHost(i, after) })
	}
}

func (fx *fixture) breakStore(m store.Mode, d time.Duration) {
	end := fx.faults.begin("store", nil, false)
	defer end()
	fx.store.SetMode(m)
	time.Sleep(d)
	fx.store.SetMode(store.Up)
}

// trim makes the store drop its history, so that hosts have to read the newest records.
func (fx *fixture) trim() {
	end := fx.faults.begin("trim", nil, false)
	defer end()
	for _, topic := range []string{platform.OperatorTopic, platform.ReplicaTopic, platform.HostTopic, platform.LeaseTopic, platform.StatusTopic, platform.MoveLeaseTopic} {
		fx.store.TrimAll(topic)
	}
}

func (fx *fixture) disturbStoreLink(i int, m mode, d time.Duration) {
	h := fx.hosts[i]
	end := fx.faults.begin("cut from the store", h, false)
	defer end()
	h.store.set(m)
	time.Sleep(d)
	h.store.set(pass)
}

func (fx *fixture) disturbServerLink(j int, m mode, d time.Duration) {
	end := fx.faults.begin("cut of a server", nil, false)
	defer end()
	fx.servers[j].front.set(m)
	time.Sleep(d)
	fx.servers[j].front.set(pass)
}

func (fx *fixture) replaceServer(j int, planned bool) {
	s := fx.servers[j]
	if !planned {
		end := fx.faults.begin("crash of a server", nil, false)
		defer end()
	}
	s.replacing.Lock()
	defer s.replacing.Unlock()
	fx.replace(s, planned)
}
