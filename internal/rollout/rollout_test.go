package rollout

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/platform"
	_ "github.com/briarlink/briarlink/test/fixedseed"
	"github.com/briarlink/briarlink/test/standin/fakelog"
)

// A run lasts minutes of virtual time, so fewer of them are made than elsewhere.
func init() { _ = flag.Set("rapid.checks", "100") }

const (
	testHosts   = 3
	testEngines = 6
	loadTime    = 5 * time.Second
	pollLag     = 900 * time.Millisecond
)

// fakeEngine loads weights on order.
type fakeEngine struct {
	checks  bool
	fencing uint64
	version string
	until   time.Time
}

// fakeFleet is the engines, what hosts see of them, and what they count.
type fakeFleet struct {
	mu       sync.Mutex
	engines  []*fakeEngine
	wanted   string
	most     int
	stale    int
	seen     []Replica
	seenTime time.Time
	// silent is how many engines, from the first, answer no polls.
	silent int
}

func newFleet(checks []bool) *fakeFleet {
	f := &fakeFleet{wanted: "v1"}
	for _, c := range checks {
		f.engines = append(f.engines, &fakeEngine{checks: c, version: "v1"})
	}
	return f
}

// Rollout shows the engines as they were at the last poll.
func (f *fakeFleet) Rollout() []Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.seenTime) >= pollLag {
		f.seen, f.seenTime = nil, time.Now()
		for i, e := range f.engines {
			f.seen = append(f.seen, Replica{ID: fmt.Sprint(i), Address: fmt.Sprint(i), Version: e.version, Loading: time.Now().Before(e.until), Known: true})
			if i < f.silent {
				f.seen[i].Known, f.seen[i].Loading = false, false
			}
		}
	}
	out := append([]Replica(nil), f.seen...)
	for i := range out {
		out[i].Wanted = f.wanted
	}
	return out
}

func (f *fakeFleet) want(version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wanted = version
}

func (f *fakeFleet) mostLoading() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.most
}

func (f *fakeFleet) arrive(address string, fencing uint64, version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var i int
	_, _ = fmt.Sscan(address, &i)
	e := f.engines[i]
	if fencing < e.fencing {
		f.stale++
		if e.checks {
			return false
		}
	}
	e.fencing = max(e.fencing, fencing)
	if e.version != version {
		e.version, e.until = version, time.Now().Add(loadTime)
	}
	loading := 0
	for _, e := range f.engines {
		if time.Now().Before(e.until) {
			loading++
		}
	}
	f.most = max(f.most, loading)
	return true
}

// slowOrders delivers orders late, each by the next delay, and loses some answers.
type slowOrders struct {
	fleet *fakeFleet
	mu    sync.Mutex
	next  []time.Duration
	wg    *sync.WaitGroup
	// lose is how many orders are lost on the way, from the first.
	lose int
}

func (o *slowOrders) Order(ctx context.Context, address string, fencing uint64, _, version string) (bool, error) {
	o.mu.Lock()
	if o.lose > 0 {
		o.lose--
		o.mu.Unlock()
		return false, errors.New("lost")
	}
	delay := time.Duration(0)
	if len(o.next) > 0 {
		delay, o.next = o.next[0], o.next[1:]
	}
	o.mu.Unlock()
	done := make(chan bool, 1)
	o.wg.Go(func() {
		time.Sleep(delay)
		done <- o.fleet.arrive(address, fencing, version)
	})
	select {
	case accepted := <-done:
		return accepted, nil
	case <-ctx.Done():
		return false, errors.New("no answer")
	}
}

// site runs a keeper and a loader on each host.
type site struct {
	log    *fakelog.Log
	fleet  *fakeFleet
	orders []*slowOrders
	stop   []context.CancelFunc
	wg     sync.WaitGroup
	starts uint64
}

func newSite(checks []bool, delays [][]time.Duration) *site {
	s := &site{log: fakelog.New(), fleet: newFleet(checks), stop: make([]context.CancelFunc, testHosts)}
	s.log.Delay = 4 * time.Second
	for i := range testHosts {
		s.orders = append(s.orders, &slowOrders{fleet: s.fleet, next: delays[i], wg: &s.wg})
		s.start(i)
	}
	return s
}

func (s *site) start(i int) {
	if s.stop[i] != nil {
		s.stop[i]()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop[i] = cancel
	s.starts++
	keeper := NewKeeper(s.log, "weights", Holder{fmt.Sprint("host-", i), s.starts})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	loader := NewLoader(keeper, s.fleet, s.orders[i], logger)
	s.wg.Go(func() { keeper.Run(ctx) })
	s.wg.Go(func() { loader.Run(ctx) })
}

func (s *site) end() {
	for _, stop := range s.stop {
		stop()
	}
	s.wg.Wait()
}

// converged reports whether every engine runs what is wanted.
func (f *fakeFleet) converged() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if e.version != f.wanted || time.Now().Before(e.until) {
			return false
		}
	}
	return true
}

type happening struct {
	after time.Duration
	kind  string
	host  int
	fault fakelog.AppendFault
}

func drawHappenings(t *rapid.T) []happening {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) happening {
		return happening{
			after: time.Duration(rapid.IntRange(1, 12000).Draw(t, "after ms"))*time.Millisecond + time.Microsecond,
			kind:  rapid.SampledFrom([]string{"want", "restart", "outage", "heal", "append", "trim"}).Draw(t, "kind"),
			host:  rapid.IntRange(0, testHosts-1).Draw(t, "host"),
			fault: rapid.SampledFrom([]fakelog.AppendFault{fakelog.LoseAnswer, fakelog.Fail, fakelog.Late}).Draw(t, "fault"),
		}
	}), 1, 12).Draw(t, "happenings")
}

func (s *site) play(happenings []happening) {
	for n, h := range happenings {
		time.Sleep(h.after)
		switch h.kind {
		case "want":
			s.fleet.want(fmt.Sprintf("v%d", n+2))
		case "restart":
			s.start(h.host)
		case "outage":
			s.log.SetDown(true)
		case "heal":
			s.log.SetDown(false)
		case "append":
			s.log.Inject(h.fault)
		case "trim":
			s.log.TrimBefore(platform.LeaseStream, time.Now().Add(-2*LeaseDuration))
		}
	}
	s.log.Heal()
}

func drawDelays(t *rapid.T, longest time.Duration) [][]time.Duration {
	delays := make([][]time.Duration, testHosts)
	for i := range delays {
		delays[i] = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, longest.Milliseconds()-1).Draw(t, "ms")) * time.Millisecond
		}), 0, 8).Draw(t, "delays")
	}
	return delays
}

func drawChecks(t *rapid.T) []bool {
	return rapid.SliceOfN(rapid.Bool(), testEngines, testEngines).Draw(t, "checks fencing")
}

// TestAtMostTwoLoad checks the bound while no order takes longer than it may,
// and that the engines end with what is wanted.
func TestAtMostTwoLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checks, delays, happenings := drawChecks(rt), drawDelays(rt, OrderTimeout), drawHappenings(rt)
		var most int
		var converged bool
		synctest.Test(t, func(*testing.T) {
			s := newSite(checks, delays)
			s.play(happenings)
			time.Sleep(3 * time.Minute)
			most, converged = s.fleet.mostLoading(), s.fleet.converged()
			s.end()
		})
		if most > maxLoading {
			rt.Errorf("%d replicas loaded at once", most)
		}
		if !converged {
			rt.Error("an engine does not run the version wanted")
		}
	})
}

// TestPausedHolderIsRepaired lets orders arrive long after their lease: engines
// that check refuse them, the others are ordered again.
func TestPausedHolderIsRepaired(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checks, delays, happenings := drawChecks(rt), drawDelays(rt, 8*LeaseDuration), drawHappenings(rt)
		var converged bool
		synctest.Test(t, func(*testing.T) {
			s := newSite(checks, delays)
			s.play(happenings)
			time.Sleep(8*LeaseDuration + 3*time.Minute)
			converged = s.fleet.converged()
			s.end()
		})
		if !converged {
			rt.Error("an engine does not run the version wanted")
		}
	})
}

func TestLeaseIsExclusive(t *testing.T) {
	table := NewTable()
	start := time.Now()
	ask := func(host string, after time.Duration, release bool) bool {
		return table.Fold(&pb.LeaseRecord{
			Duty: "d", Holder: host, Incarnation: 1, DurationMs: LeaseDuration.Milliseconds(), Release: release,
		}, start.Add(after))
	}
	steps := []struct {
		host    string
		after   time.Duration
		release bool
		granted bool
		fencing uint64
	}{
		{"a", 0, false, true, 1},
		{"b", LeaseDuration / 2, false, false, 1},
		{"a", LeaseDuration / 2, false, true, 1},
		{"b", LeaseDuration, false, false, 1},
		{"b", LeaseDuration * 3 / 2, false, true, 5},
		{"a", LeaseDuration * 2, true, false, 5},
		{"a", LeaseDuration * 2, false, false, 5},
		{"b", LeaseDuration * 2, true, false, 5},
		{"a", LeaseDuration * 2, false, true, 9},
	}
	for i, s := range steps {
		granted := ask(s.host, s.after, s.release)
		if granted != s.granted || table.leases["d"].Fencing != s.fencing {
			t.Errorf("step %d: granted %v, fencing %d", i, granted, table.leases["d"].Fencing)
		}
	}
}

// fixedLease is held since a fixed time.
type fixedLease struct{ since time.Time }

func (l fixedLease) Held() (Grant, bool) { return Grant{1, l.since}, true }

// withLoader runs f beside one loader whose lease began just now.
func withLoader(t *testing.T, lose int, f func(t *testing.T, fleet *fakeFleet)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(make([]bool, testEngines))
		fleet.want("v2")
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		var wg sync.WaitGroup
		loader := NewLoader(fixedLease{time.Now()}, fleet, &slowOrders{fleet: fleet, wg: &wg, lose: lose}, logger)
		ctx, cancel := context.WithCancel(t.Context())
		wg.Go(func() { loader.Run(ctx) })
		f(t, fleet)
		cancel()
		wg.Wait()
	})
}

func TestLostOrderIsGivenAgain(t *testing.T) {
	withLoader(t, 3, func(t *testing.T, fleet *fakeFleet) {
		time.Sleep(2 * time.Minute)
		if !fleet.converged() {
			t.Error("an engine does not run the version wanted")
		}
	})
}

func TestOrdersNotYetVisibleCount(t *testing.T) {
	withLoader(t, 0, func(t *testing.T, fleet *fakeFleet) {
		time.Sleep(handover + pollLag/2)
		fleet.mu.Lock()
		// The first engine answers no poll while it loads.
		fleet.silent = 1
		fleet.mu.Unlock()
		time.Sleep(OrderTimeout)
		if fleet.mostLoading() != maxLoading {
			t.Errorf("%d replicas load", fleet.mostLoading())
		}
	})
}

func TestNewHolderWaitsForOldOrders(t *testing.T) {
	withLoader(t, 0, func(t *testing.T, fleet *fakeFleet) {
		time.Sleep(handover - time.Millisecond)
		if fleet.mostLoading() != 0 {
			t.Error("an order before the last holder's can have arrived")
		}
		time.Sleep(time.Second)
		if fleet.mostLoading() != maxLoading {
			t.Errorf("%d replicas load", fleet.mostLoading())
		}
	})
}
