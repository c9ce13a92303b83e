package rollout

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/platform"
)

// Engine sends requests for reports and load orders to replicas.
type Engine interface {
	Report(ctx context.Context, address, id string) (platform.EngineReport, error)
	Order(ctx context.Context, address string, o platform.LoadOrder) (platform.OrderResult, error)
}

// Replicas is the part of the table of backend servers that the loader uses.
type Replicas interface {
	Servers(now time.Time) []replica.Server
	// Outdated returns the servers that have outdated weights.
	Outdated(now time.Time) []replica.Server
	// Wanted returns the newest version of a model that operators want, or 0.
	Wanted(model string) int64
	// RecordWeights records weights that a server holds, unless newer ones are recorded.
	RecordWeights(id, model string, version int64) bool
	// RecordOlderWeights records that a server reports older weights than the assumed ones, unless
	// other weights have been recorded since. It reports whether it did.
	RecordOlderWeights(id, model string, assumed, version int64) bool
	// MarkLoading marks a server as loading, so that it gets no requests until the given time.
	MarkLoading(id string, until time.Time)
	// WaitingRequests returns how many requests of all hosts wait at a server for their first
	// event.
	WaitingRequests(id string, now time.Time) int
	// Unverified returns the servers that have refused requests for the weights they were assumed
	// to hold, and whose weights are to be verified.
	Unverified(now time.Time) []replica.Server
}

const (
	// planInterval is how often the weights of the replicas are compared with those wanted.
	planInterval = 60 * time.Millisecond
	// callTimeout limits one call to a replica: a request for a report, or a load order.
	callTimeout = 700 * time.Millisecond
	// pollInterval is the time between requests for a report of a loading replica. Reports
	// are expensive, and some hundred milliseconds old when they arrive.
	pollInterval = 150 * time.Millisecond
	// minLoadTime is the shortest time that loading takes; the first report is requested
	// after it.
	minLoadTime = 300 * time.Millisecond
	// loadTimeout limits an attempt to load a replica; the next plan may start another one.
	loadTimeout = 4 * time.Second
	// lostOrderTimeout is how long to wait for a load order without an answer to take
	// effect.
	lostOrderTimeout = 900 * time.Millisecond
	// maxReportFailures is how many failed reports in a row end the wait for a replica: it
	// is probably gone, and would delay the load orders to others.
	maxReportFailures = 2
	// loadingMarkTTL is how long a replica that is marked as loading gets no requests,
	// unless the mark is renewed.
	loadingMarkTTL = 700 * time.Millisecond
	// minDrain is how long a replica gets no new requests before its load order: the mark
	// has to reach the other hosts, and the requests that they sent before that have to
	// reach the replica. maxDrain limits the wait for prefills in progress, whose work the
	// order would discard.
	minDrain          = 60 * time.Millisecond
	maxDrain          = 900 * time.Millisecond
	drainPollInterval = 30 * time.Millisecond
	// retryDelay is the wait after a failed attempt before the next one.
	retryDelay = 250 * time.Millisecond
	// rankDelay separates the hosts that may take the lease, so that they do not all try at
	// once.
	rankDelay = 150 * time.Millisecond
	// loadingDivisor sets how many replicas of a model load concurrently if there are many:
	// their number divided by it. The weight store serves about a fifth of them at full
	// speed, and a rollout then takes about as long as on a small site.
	loadingDivisor = 5
	// recentRetention is how long loaded weights are reported to other hosts.
	recentRetention = 3 * time.Second
)

// Loader brings replicas to the wanted weights while this host holds the lease.
type Loader struct {
	lease    *Lease
	engine   Engine
	replicas Replicas
	log      *logrus.Logger
	holder   string
	mode     platform.LoadMode
	// concurrency is how many replicas load concurrently if there are few.
	concurrency int
	// Rank returns this host's place among those that could take the lease.
	Rank func() int
	// IsCutOff reports whether this host reaches no replica of a service although other hosts do.
	IsCutOff func(service string) bool
	// OnChange is called when other hosts should be notified at once.
	OnChange func()
	// OnLoaded is called when a replica is found to hold other weights than before.
	OnLoaded func(id string)
	// OnOrder is called for each load order that is sent.
	OnOrder func()

	mu sync.Mutex
	// attempts holds the attempts in progress, by replica.
	attempts map[string]*attempt
	// orderSequences holds how many orders each replica has accepted, if known.
	orderSequences map[string]int64
	// failed holds the replicas whose attempts failed since this host took the lease.
	failed map[string]failure
	// leaseTerm is the fencing token with which this host last took the lease. yieldedTerm is
	// the one with which it last yielded the lease: it lets the lease end, so that another
	// host takes it.
	leaseTerm, yieldedTerm int64
	// yieldedAfterFailures is whether the lease was yielded because the attempts at all
	// outdated replicas failed, resumedAt when this host last resumed after it had yielded,
	// lastProbe when it last sent probes.
	yieldedAfterFailures bool
	resumedAt, lastProbe time.Time
	// partlyReachable is whether, since this host took the lease, a replica answered some of
	// the calls of one attempt and left others without an answer.
	partlyReachable bool
	progress        progress
	// newestWanted is, for each model, the newest version that a replica was to load.
	newestWanted map[string]int64

	recentLoads []loadedWeights
	// neededSince is since when some replica has outdated weights, or zero.
	neededSince time.Time
}

// attempt is one attempt to load a version on a replica: answered is whether the replica
// answered any of its calls, unanswered whether it left any without an answer.
type attempt struct{ answered, unanswered bool }

type loadedWeights struct {
	id, model string
	version   int64
	at        time.Time
}

// NewLoader returns a loader that loads up to concurrency replicas at a time if there are
// few of them.
func NewLoader(lease *Lease, engine Engine, replicas Replicas, log *logrus.Logger, holder string, mode platform.LoadMode, concurrency int) *Loader {
	return &Loader{
		lease: lease, engine: engine, replicas: replicas, log: log, holder: holder, mode: mode, concurrency: concurrency,
		Rank: func() int { return 0 }, IsCutOff: func(string) bool { return false }, OnChange: func() {}, OnLoaded: func(string) {}, OnOrder: func() {},
		attempts: map[string]*attempt{}, orderSequences: map[string]int64{}, failed: map[string]failure{}, newestWanted: map[string]int64{},
	}
}

// Run loads outdated replicas until ctx is done.
func (l *Loader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	clock.Every(ctx, planInterval, func() {
		now := clock.Now()
		outdated := l.outdated()
		for _, t := range l.plan(ctx, outdated, now) {
			wg.Go(func() { l.load(ctx, t) })
		}
		for _, t := range l.replicasToProbe(outdated, now) {
			wg.Go(func() { l.probe(ctx, t) })
		}
	})
}

// loadTarget is a replica and the version that it is to load.
type loadTarget struct {
	server  replica.Server
	model   string
	version int64
}

// plan returns the replicas to load now and records an attempt for each. It takes or renews
// the lease if it is this host's turn.
func (l *Loader) plan(ctx context.Context, outdated []loadTarget, now time.Time) []loadTarget {
	held := l.lease.LogEndIfHeld() != 0
	l.mu.Lock()
	if len(outdated) == 0 {
		l.progress = progress{since: now}
	}
	if len(outdated) == 0 && len(l.attempts) == 0 {
		l.neededSince = time.Time{}
		l.mu.Unlock()
		return nil
	}
	if l.neededSince.IsZero() {
		l.neededSince = now
	}
	neededSince := l.neededSince
	yielded := l.updateYield(outdated, held, now)
	l.mu.Unlock()
	if l.cutOffFromAll(outdated) || !l.isTurn(neededSince, yielded, now) || !l.lease.Try(ctx) {
		return nil
	}
	l.resetForNewTerm(now)
	return l.confirmAttempts(l.startAttempts(outdated, l.maxConcurrent(outdated), now))
}

// maxConcurrent returns how many replicas may load concurrently: as many as configured, more
// if there are many replicas, and no more than half of those of a model, so that the others
// continue to serve. One may always load.
func (l *Loader) maxConcurrent(outdated []loadTarget) int {
	counts := map[string]int{}
	for _, s := range l.replicas.Servers(clock.Now()) {
		for model := range s.Weights {
			counts[model]++
		}
	}
	limit := 0
	for _, t := range outdated {
		n := counts[t.model]
		limit = max(limit, min(max(l.concurrency, n/loadingDivisor), max(1, n/2)))
	}
	return limit
}

// outdated returns the replicas without the wanted weights, in the order in which to load
// them: first those with the oldest weights, whose deadline is nearest; among these, those
// with the fewest requests, which are drained soonest. Replicas that another host suspects
// come after all of them, and those that this host has marked down come last: the mark may
// be wrong, and lasts until a request succeeds, which none does on outdated weights.
func (l *Loader) outdated() []loadTarget {
	var out []loadTarget
	for _, s := range l.replicas.Outdated(clock.Now()) {
		for model, version := range s.Weights {
			if wanted := l.replicas.Wanted(model); wanted > version {
				out = append(out, loadTarget{s, model, wanted})
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i].server, out[j].server
		if a.Down != b.Down {
			return b.Down
		}
		if a.Suspected != b.Suspected {
			return b.Suspected
		}
		if va, vb := a.Weights[out[i].model], b.Weights[out[j].model]; va != vb {
			return va < vb
		}
		return a.Requests < b.Requests
	})
	return out
}

// startAttempts returns the outdated replicas to load now, within the limit on concurrent
// attempts, and records an attempt for each. Replicas whose last attempt failed come last,
// the least recently tried first: otherwise a few that do not answer would keep the others
// from being loaded.
func (l *Loader) startAttempts(outdated []loadTarget, limit int, now time.Time) []loadTarget {
	l.mu.Lock()
	defer l.mu.Unlock()
	sort.SliceStable(outdated, func(i, j int) bool {
		a, aFailed := l.lastFailure(outdated[i])
		b, bFailed := l.lastFailure(outdated[j])
		aFailed, bFailed = aFailed && !a.answersAgain, bFailed && !b.answersAgain
		if !aFailed || !bFailed {
			return !aFailed && bFailed
		}
		return a.lastEnd.Before(b.lastEnd)
	})
	var out []loadTarget
	for _, t := range outdated {
		if len(l.attempts) >= limit {
			break
		}
		if f, failed := l.lastFailure(t); l.attempts[t.server.ID] != nil || failed && !f.answersAgain && now.Sub(f.lastEnd) < retryDelay {
			continue
		}
		l.attempts[t.server.ID] = &attempt{}
		out = append(out, t)
	}
	return out
}

// confirmAttempts returns the started attempts with the replicas and versions as they are now, and removes the
// attempts at replicas that are no longer outdated: the list behind the plan is older than the call to the
// store, and attempts that ended since have loaded some of its replicas. It reads the weights after the new
// attempts are recorded, so that no other attempt at these replicas can end in between.
func (l *Loader) confirmAttempts(started []loadTarget) []loadTarget {
	if len(started) == 0 {
		return nil
	}
	outdated := l.outdated()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []loadTarget
	for _, t := range started {
		i := slices.IndexFunc(outdated, func(o loadTarget) bool { return o.server.ID == t.server.ID && o.model == t.model })
		if i < 0 {
			delete(l.attempts, t.server.ID)
			continue
		}
		out = append(out, outdated[i])
	}
	return out
}

// LoadingReplicas returns the IDs of the replicas with an attempt in progress, sorted.
func (l *Loader) LoadingReplicas() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id := range l.attempts {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// EachRecentLoad calls f for each replica that reported loaded weights within recentRetention, with the
// time since then.
func (l *Loader) EachRecentLoad(now time.Time, f func(id, model string, version int64, age time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.recentLoads[:0]
	for _, r := range l.recentLoads {
		if now.Sub(r.at) < recentRetention {
			recent = append(recent, r)
			f(r.id, r.model, r.version, now.Sub(r.at))
		}
	}
	l.recentLoads = recent
}
