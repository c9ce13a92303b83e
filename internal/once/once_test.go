package once

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/platform"
	_ "github.com/briarlink/briarlink/test/fixedseed"
	"github.com/briarlink/briarlink/test/standin/fakelog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testMaxAge = 2 * time.Minute
	testWait   = 3 * time.Second
	hostCount  = 3
	keyCount   = 3
)

// request is one drawn request to one host.
type request struct {
	at   time.Duration
	host int
	key  int
	// pause holds the claimant between winning and dispatching.
	pause time.Duration
	fate  fate
}

// fate is what happens to a dispatched request.
type fate int

const (
	runsAndAnswers fate = iota
	neverArrives
	runsAndIsLost
	isLostBefore
)

// faultAt is one drawn fault.
type faultAt struct {
	at     time.Duration
	kind   string
	host   int
	length time.Duration
	append fakelog.AppendFault
}

type scenario struct {
	requests []request
	faults   []faultAt
}

func drawScenario(t *rapid.T) scenario {
	at := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond
	})
	length := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond
	})
	host := rapid.IntRange(0, hostCount-1)
	return scenario{
		requests: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) request {
			r := request{
				at: at.Draw(t, "at"), host: host.Draw(t, "host"), key: rapid.IntRange(0, keyCount-1).Draw(t, "key"),
				fate: fate(rapid.IntRange(0, 3).Draw(t, "fate")),
			}
			if rapid.IntRange(0, 4).Draw(t, "paused") == 0 {
				r.pause = length.Draw(t, "pause") * 40
			}
			return r
		}), 1, 25).Draw(t, "requests"),
		faults: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultAt {
			return faultAt{
				at: at.Draw(t, "at"), host: host.Draw(t, "host"), length: length.Draw(t, "length"),
				kind:   rapid.SampledFrom([]string{"outage", "cut", "restart", "append", "trim"}).Draw(t, "kind"),
				append: rapid.SampledFrom([]fakelog.AppendFault{fakelog.LoseAnswer, fakelog.Fail, fakelog.Late}).Draw(t, "append"),
			}
		}), 0, 12).Draw(t, "faults"),
	}
}

// link is one host's way to the log, which can be cut.
type link struct {
	*fakelog.Log
	cut atomic.Bool
}

func (l *link) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	if l.cut.Load() {
		return 0, fakelog.ErrUnavailable
	}
	return l.Log.Append(ctx, stream, payload)
}

func (l *link) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (platform.Page, error) {
	if l.cut.Load() {
		return platform.Page{}, fakelog.ErrUnavailable
	}
	return l.Log.Read(ctx, stream, from, wait)
}

// world runs a scenario in virtual time and counts executions.
type world struct {
	log   *fakelog.Log
	links []*link
	keys  []string

	mu       sync.Mutex
	hosts    []*Claimer
	stop     []context.CancelFunc
	ran      map[int]int
	problems []string
	wg       sync.WaitGroup
}

func (w *world) problem(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

func (w *world) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	c := NewClaimer(w.links[i], testMaxAge, testWait, groupInterval, func() (time.Time, bool) { return w.othersRead(i), true })
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stop[i] != nil {
		w.stop[i]()
	}
	w.hosts[i], w.stop[i] = c, cancel
	w.wg.Go(func() { c.Run(ctx) })
}

// othersRead is what heartbeats tell host i of the others.
func (w *world) othersRead(i int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var newest time.Time
	for j, c := range w.hosts {
		if j != i && c.Touched().After(newest) {
			newest = c.Touched()
		}
	}
	return newest
}

func groupInterval() time.Duration { return 20 * time.Millisecond }

func newClaimer(log platform.Log) *Claimer {
	return NewClaimer(log, testMaxAge, testWait, groupInterval, func() (time.Time, bool) { return time.Time{}, false })
}

func (w *world) host(i int) *Claimer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[i]
}

// send is one request from claim to answer, as the callers' side does it.
func (w *world) send(r request) {
	claimer := w.host(r.host)
	ticket, outcome, err := claimer.Claim(context.Background(), "org", w.keys[r.key], []byte("same"))
	switch {
	case outcome != nil:
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ran[r.key] == 0 {
			w.problems = append(w.problems, "an outcome without an execution")
		}
	case err != nil:
		w.refused(r, err)
	default:
		time.Sleep(r.pause)
		if !ticket.Dispatch() {
			w.problem("a ticket that was won cannot be dispatched")
			return
		}
		w.dispatch(r, ticket)
	}
}

func (w *world) refused(r request, err error) {
	kind := errkind.From(err).Kind
	switch kind {
	case errkind.LogUnavailable:
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ran[r.key] > 0 {
			w.problems = append(w.problems, fmt.Sprintf("key %d is answered not run after it ran", r.key))
		}
	case errkind.InDoubt, errkind.Undecided:
	case errkind.KeyRejected:
	default:
		w.problem("request for key %d: unexpected %v", r.key, err)
	}
}

func (w *world) dispatch(r request, ticket *Ticket) {
	if r.fate == runsAndAnswers || r.fate == runsAndIsLost {
		w.mu.Lock()
		w.ran[r.key]++
		if w.ran[r.key] > 1 {
			w.problems = append(w.problems, fmt.Sprintf("key %d ran %d times", r.key, w.ran[r.key]))
		}
		w.mu.Unlock()
	}
	switch r.fate {
	case runsAndAnswers:
		ticket.Settle(201, "text/plain", []byte("booked"))
	case neverArrives:
		ticket.Release()
	}
}

func (w *world) fault(f faultAt) {
	switch f.kind {
	case "outage":
		w.log.SetDown(true)
		time.Sleep(f.length)
		w.log.SetDown(false)
	case "cut":
		w.links[f.host].cut.Store(true)
		time.Sleep(f.length)
		w.links[f.host].cut.Store(false)
	case "restart":
		w.start(f.host)
	case "append":
		w.log.Inject(f.append)
	case "trim":
		// The log keeps its promise: nothing younger than the horizon goes.
		w.log.TrimBefore(platform.ClaimStream, time.Now().Add(-testMaxAge-maxSkew))
	}
}

// run plays the scenario and returns what went wrong.
func (s scenario) run() []string {
	w := &world{log: fakelog.New(), hosts: make([]*Claimer, hostCount), stop: make([]context.CancelFunc, hostCount), ran: map[int]int{}}
	w.log.Delay = 6 * time.Second
	for i := range keyCount {
		w.keys = append(w.keys, keyAt(time.Now().Add(madeAt(i))))
	}
	for i := range hostCount {
		w.links = append(w.links, &link{Log: w.log})
		w.start(i)
	}
	var sent sync.WaitGroup
	for i, r := range s.requests {
		sent.Go(func() {
			// Nothing happens at the same instant, so every run is the same.
			time.Sleep(max(r.at, madeAt(r.key)) + time.Duration(i)*time.Microsecond)
			w.send(r)
		})
	}
	for i, f := range s.faults {
		sent.Go(func() {
			time.Sleep(f.at + time.Duration(100+i)*time.Microsecond)
			w.fault(f)
		})
	}
	sent.Wait()
	w.log.Heal()
	time.Sleep(20 * time.Second)
	w.checkAlive()
	for _, stop := range w.stop {
		stop()
	}
	w.wg.Wait()
	return w.problems
}

// checkAlive sends a fresh key after all faults: it must be won.
func (w *world) checkAlive() {
	for i := range hostCount {
		ticket, _, err := w.host(i).Claim(context.Background(), "org", keyAt(time.Now()), []byte("fresh"))
		if err != nil || ticket == nil {
			w.problem("host %d refuses a fresh key after all faults: %v", i, err)
		}
	}
}

// madeAt is when a key is made: some before an outage, some within it.
func madeAt(key int) time.Duration { return time.Duration(key) * 4 * time.Second }

func keyAt(t time.Time) string {
	id := uuid.New()
	ms := uint64(t.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

func TestAtMostOnceAgainstCounter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = s.run() })
		for _, p := range problems {
			rt.Error(p)
		}
	})
}

func TestTruncatedLogIsNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakelog.New()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		key := keyAt(time.Now())
		first := newClaimer(log)
		wg.Go(func() { first.Run(ctx) })
		if ticket, _, err := first.Claim(ctx, "org", key, nil); ticket == nil {
			t.Fatalf("not won: %v", err)
		}
		// The log breaks its promise and forgets the claim at once.
		log.Trim(platform.ClaimStream, 1)
		second := newClaimer(log)
		wg.Go(func() { second.Run(ctx) })
		_, _, err := second.Claim(ctx, "org", key, nil)
		if !errkind.Is(err, errkind.Undecided) {
			t.Errorf("a host that has read too little answers %v", err)
		}
		cancel()
		wg.Wait()
	})
}

func TestKeysOutsideTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakelog.New()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		c := newClaimer(log)
		wg.Go(func() { c.Run(ctx) })
		for _, key := range []string{"x", uuid.NewString(), keyAt(time.Now().Add(-testMaxAge - time.Second)), keyAt(time.Now().Add(maxSkew + time.Second))} {
			if _, _, err := c.Claim(ctx, "org", key, nil); !errkind.Is(err, errkind.KeyRejected) {
				t.Errorf("key %s: %v", key, err)
			}
		}
		cancel()
		wg.Wait()
	})
}

// withClaimers runs f in virtual time with n claimers over one log.
func withClaimers(t *testing.T, n int, f func(t *testing.T, log *fakelog.Log, claimers []*Claimer)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		log := fakelog.New()
		log.Delay = 2 * testWait
		var claimers []*Claimer
		for range n {
			c := newClaimer(log)
			claimers = append(claimers, c)
			wg.Go(func() { c.Run(ctx) })
		}
		f(t, log, claimers)
		cancel()
		wg.Wait()
	})
}

func TestAbandonedClaimIsReleased(t *testing.T) {
	withClaimers(t, 2, func(t *testing.T, log *fakelog.Log, c []*Claimer) {
		key := keyAt(time.Now())
		log.Inject(fakelog.Late, fakelog.Late, fakelog.Late)
		if _, _, err := c[0].Claim(t.Context(), "org", key, nil); !errkind.Is(err, errkind.LogUnavailable) {
			t.Fatalf("a claim that is late on the log: %v", err)
		}
		time.Sleep(4 * testWait)
		if ticket, _, err := c[1].Claim(t.Context(), "org", key, nil); ticket == nil {
			t.Errorf("the key stays taken: %v", err)
		}
	})
}

func TestReleasedKeyCanBeClaimed(t *testing.T) {
	withClaimers(t, 2, func(t *testing.T, _ *fakelog.Log, c []*Claimer) {
		key := keyAt(time.Now())
		ticket, _, err := c[0].Claim(t.Context(), "org", key, nil)
		if err != nil || !ticket.Dispatch() {
			t.Fatalf("first claim: %v", err)
		}
		ticket.Release()
		time.Sleep(time.Second)
		if again, _, err := c[1].Claim(t.Context(), "org", key, nil); again == nil {
			t.Errorf("the key stays taken: %v", err)
		}
		if ticket.Dispatch() {
			t.Error("a released ticket can be dispatched")
		}
	})
}

func TestRepeatWaitsForTheOutcome(t *testing.T) {
	withClaimers(t, 2, func(t *testing.T, _ *fakelog.Log, c []*Claimer) {
		key := keyAt(time.Now())
		ticket, _, _ := c[0].Claim(t.Context(), "org", key, []byte("a"))
		ticket.Dispatch()
		time.AfterFunc(time.Second, func() { ticket.Settle(201, "text/plain", []byte("booked")) })
		_, outcome, err := c[1].Claim(t.Context(), "org", key, []byte("a"))
		if err != nil || string(outcome.GetBody()) != "booked" {
			t.Errorf("repeat: %v, %v", outcome, err)
		}
		if _, _, err := c[1].Claim(t.Context(), "org", key, []byte("b")); !errkind.Is(err, errkind.KeyReused) {
			t.Errorf("another request with the key: %v", err)
		}
	})
}

func TestCopyOfReleasedClaimOwnsNothing(t *testing.T) {
	now := time.Now()
	key := keyAt(now)
	table := NewTable(testMaxAge)
	record := func(id string, release bool) *pb.ClaimBatch {
		rec := &pb.ClaimRecord{Organisation: "org", Key: key, ClaimId: id, Step: &pb.ClaimRecord_Claim{}}
		if release {
			rec.Step = &pb.ClaimRecord_Release{}
		}
		return &pb.ClaimBatch{Records: []*pb.ClaimRecord{rec}}
	}
	table.Fold(record("a", false), now)
	table.Fold(record("a", true), now)
	table.Fold(record("a", false), now)
	if j := table.Fold(record("b", false), now)["b"]; j.Verdict != Won {
		t.Errorf("verdict on a fresh claim is %v", j.Verdict)
	}
}
