package rollout

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/platform"
)

// Engine gives orders to replicas.
type Engine interface {
	Report(ctx context.Context, address, id string) (platform.EngineReport, error)
	Order(ctx context.Context, address string, o platform.LoadOrder) (platform.OrderResult, error)
}

// Replicas is what the loader needs of the table of backend servers.
type Replicas interface {
	Servers(now time.Time) []replica.Server
	// Lagging returns those that lack wanted weights.
	Lagging(now time.Time) []replica.Server
	Wanted(model string) int64
	Holds(id, model string, version int64) bool
	HoldsOlder(id, model string, believed, version int64) bool
	Loading(id string, until time.Time)
	Waiting(id string, now time.Time) int
	Unsure(now time.Time) []replica.Server
}

const (
	// tick is how often the wanted weights are compared with the replicas'.
	tick = 60 * time.Millisecond
	// callTimeout bounds a report or an order.
	callTimeout = 700 * time.Millisecond
	// reportInterval is how often a loading replica is asked; reports are dear, and
	// are themselves some hundred milliseconds old.
	reportInterval = 150 * time.Millisecond
	// firstReport is the least time that loading takes.
	firstReport = 300 * time.Millisecond
	// loadTimeout is when an order is given up on and judged anew.
	loadTimeout = 4 * time.Second
	// resendAfter is how long an order without an answer is waited for.
	resendAfter = 900 * time.Millisecond
	// maxFailures in a row end the wait for a replica: it is probably gone, and would
	// keep others from being ordered.
	maxFailures = 2
	// refuseHold is how long after its mark a loading replica gets no requests
	// unless the mark is renewed.
	refuseHold = 700 * time.Millisecond
	// leastDrain is how long a replica gets no new requests before it is ordered:
	// the word has to reach the other hosts, and what they sent meanwhile the
	// replica. maxDrain bounds the wait for prompts that it is reading, which the
	// order would throw away.
	leastDrain = 60 * time.Millisecond
	maxDrain   = 900 * time.Millisecond
	drainPoll  = 30 * time.Millisecond
	// retryPause follows an order that failed.
	retryPause = 250 * time.Millisecond
	// rankDelay separates hosts that could all take the lease.
	rankDelay = 150 * time.Millisecond
	// loadingPart is the part of a model's replicas that load at once where there are
	// many: the weight store serves about a fifth of them at full speed, and a
	// rollout then takes about as long as on a small site.
	loadingPart = 5
	// recentFor is how long other hosts are told of loaded weights.
	recentFor = 3 * time.Second
)

// Loader brings replicas to the wanted weights while this host holds the lease.
type Loader struct {
	lease    *Lease
	engine   Engine
	replicas Replicas
	log      *logrus.Logger
	holder   string
	mode     platform.LoadMode
	// atOnce is how many replicas load at once where there are few.
	atOnce int
	// Rank returns this host's place among those that could take the lease.
	Rank func() int
	// Changed is called when other hosts should be told at once.
	Changed func()
	// Loaded is called when a replica holds new weights.
	Loaded func(id string)
	// Ordered is called for each order that is sent.
	Ordered func()

	mu sync.Mutex
	// busy holds the replicas that are being ordered.
	busy map[string]*try
	// sequences holds the orders that each replica has accepted, where known.
	sequences map[string]int64
	// failed holds the replicas that this host tried in vain since it took the lease.
	failed map[string]failure
	// term is the fencing token of the lease as it was last taken, left the one with which
	// it was left to another host.
	term, left int64
	// leftInVain is whether it was left as all replicas were tried in vain, resumed when
	// this host last went on all the same, asked when it last asked replicas of that.
	leftInVain     bool
	resumed, asked time.Time
	// patchy is whether a replica answered a part of this host's calls of one try, and left
	// another one without an answer, since it took the lease.
	patchy   bool
	progress progress
	// newest is the newest version that a replica of each model lacked.
	newest map[string]int64

	recent []loaded
	// needed is since when some replica lacks the wanted weights.
	needed time.Time
}

// try is one to bring a replica to a version; answered is whether the replica answered
// any call of it, silent whether it left any without an answer.
type try struct{ answered, silent bool }

type loaded struct {
	id, model string
	version   int64
	at        time.Time
}

// NewLoader returns a loader that orders up to atOnce replicas at a time.
func NewLoader(lease *Lease, engine Engine, replicas Replicas, log *logrus.Logger, holder string, mode platform.LoadMode, atOnce int) *Loader {
	return &Loader{
		lease: lease, engine: engine, replicas: replicas, log: log, holder: holder, mode: mode, atOnce: atOnce,
		Rank: func() int { return 0 }, Changed: func() {}, Loaded: func(string) {}, Ordered: func() {},
		busy: map[string]*try{}, sequences: map[string]int64{}, failed: map[string]failure{}, newest: map[string]int64{},
	}
}

// Run works until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	clock.Every(ctx, tick, func() {
		now := clock.Now()
		behind := l.behind()
		for _, t := range l.plan(ctx, behind, now) {
			wg.Go(func() { l.load(ctx, t) })
		}
		for _, t := range l.toAsk(behind, now) {
			wg.Go(func() { l.ask(ctx, t) })
		}
	})
}

// target is a replica that is to load a version.
type target struct {
	server  replica.Server
	model   string
	version int64
}

// plan returns the replicas to order now and marks them as busy.
func (l *Loader) plan(ctx context.Context, behind []target, now time.Time) []target {
	held := l.lease.HeldEnd() != 0
	l.mu.Lock()
	if len(behind) == 0 {
		l.progress = progress{at: now}
	}
	if len(behind) == 0 && len(l.busy) == 0 {
		l.needed = time.Time{}
		l.mu.Unlock()
		return nil
	}
	if l.needed.IsZero() {
		l.needed = now
	}
	needed := l.needed
	left := l.leaves(behind, held, now)
	l.mu.Unlock()
	if !l.due(needed, left, now) || !l.lease.Try(ctx) {
		return nil
	}
	l.noteTerm(now)
	return l.take(behind, l.room(behind), now)
}

// room returns how many replicas may load at once: the setting, more where there
// are many, and never more than half of those of a model, so that the others
// serve meanwhile.
func (l *Loader) room(behind []target) int {
	counts := map[string]int{}
	for _, s := range l.replicas.Servers(clock.Now()) {
		for model := range s.Weights {
			counts[model]++
		}
	}
	room := 0
	for _, t := range behind {
		n := counts[t.model]
		room = max(room, min(max(l.atOnce, n/loadingPart), max(1, n/2)))
	}
	return room
}

// behind returns the replicas without the wanted weights: those with the oldest first,
// whose deadline is nearest, then those with the fewest requests, which are ready soonest.
// Those that another host suspects come after them, and those that this host finds down
// last: that may be wrong, and lasts until a request succeeds, which none does on old
// weights.
func (l *Loader) behind() []target {
	var out []target
	for _, s := range l.replicas.Lagging(clock.Now()) {
		for model, version := range s.Weights {
			if wanted := l.replicas.Wanted(model); wanted > version {
				out = append(out, target{s, model, wanted})
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

// take returns those of the replicas behind for which there is room, and marks them as
// busy. Those that were tried in vain come last, the one tried longest ago first: a few
// that do not answer would keep the rest from being ordered.
func (l *Loader) take(behind []target, room int, now time.Time) []target {
	l.mu.Lock()
	defer l.mu.Unlock()
	sort.SliceStable(behind, func(i, j int) bool {
		a, aFailed := l.failure(behind[i])
		b, bFailed := l.failure(behind[j])
		aFailed, bFailed = aFailed && !a.back, bFailed && !b.back
		if !aFailed || !bFailed {
			return !aFailed && bFailed
		}
		return a.at.Before(b.at)
	})
	var out []target
	for _, t := range behind {
		if len(l.busy) >= room {
			break
		}
		if f, failed := l.failure(t); l.busy[t.server.ID] != nil || failed && !f.back && now.Sub(f.at) < retryPause {
			continue
		}
		l.busy[t.server.ID] = &try{}
		out = append(out, t)
	}
	return out
}

// Busy returns the replicas that are being ordered, by ID.
func (l *Loader) Busy() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id := range l.busy {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// Recent calls f for each replica that was loaded a moment ago.
func (l *Loader) Recent(now time.Time, f func(id, model string, version int64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keep := l.recent[:0]
	for _, r := range l.recent {
		if now.Sub(r.at) < recentFor {
			keep = append(keep, r)
			f(r.id, r.model, r.version)
		}
	}
	l.recent = keep
}
