package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/platform"
)

const (
	sharedTokens = 13_300
	ownTokens    = 3_720
)

// awaitFleet plays requests at eight engines in virtual time and keeps what they really hold.
type awaitFleet struct {
	t     *testing.T
	s     *Scheduler
	table *replica.Table
	// others are the schedulers of further hosts, which hear of each other's requests after reportDelay,
	// and tables their tables.
	others []*Scheduler
	tables []*replica.Table
	now    time.Time
	// holds states when each engine has the shared blocks of a prompt.
	holds     map[string]time.Time
	prefilled int
	fetches   int
	events    []awaitEvent
	// delay is the ratio of actual to expected time until a prefill is done.
	delay float64
	// early allows fetches of what the source does not hold yet. The blocks are prefilled then.
	early bool
}

type awaitEvent struct {
	at  time.Time
	run func()
}

func newAwaitFleet(t *testing.T, await bool) *awaitFleet {
	s, _, table := newScheduler(engineIDs(8)...)
	s.AwaitPrefill = await
	return &awaitFleet{t: t, s: s, table: table, now: time.Unix(1000, 0), holds: map[string]time.Time{}, delay: 1}
}

func (f *awaitFleet) after(d time.Duration, run func()) {
	f.events = append(f.events, awaitEvent{f.now.Add(d), run})
}

// play runs all events in order.
func (f *awaitFleet) play() {
	for len(f.events) > 0 {
		slices.SortStableFunc(f.events, func(a, b awaitEvent) int { return a.at.Compare(b.at) })
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.run()
	}
}

func (f *awaitFleet) request(block string) *Request {
	req := request(open, block)
	req.Store = nil
	req.Blocks = []platform.Block{{ID: block, Tokens: sharedTokens}, {ID: "own", Tokens: ownTokens}}
	req.PromptTokens = sharedTokens + ownTokens
	return req
}

// reportDelay is the time until other hosts know of a request.
const reportDelay = 20 * time.Millisecond

// addHost adds another host.
func (f *awaitFleet) addHost() {
	s, _, table := newScheduler(engineIDs(8)...)
	s.AwaitPrefill = f.s.AwaitPrefill
	f.others, f.tables = append(f.others, s), append(f.tables, table)
}

// report tells the other hosts what a host has sent.
func (f *awaitFleet) report(from *Scheduler) {
	sent := from.TakeSent()
	f.after(reportDelay, func() {
		for _, s := range append([]*Scheduler{f.s}, f.others...) {
			if s != from {
				s.ApplySent(sent, service.Engine.CacheTokens, f.now)
			}
		}
	})
}

// arrive schedules a request as package dispatch does, with its limits on holds.
func (f *awaitFleet) arrive(block string) *awaitRequest { return f.arriveAt(f.s, block) }

func (f *awaitFleet) arriveAt(s *Scheduler, block string) *awaitRequest {
	r := &awaitRequest{s: s, block: block, arrived: f.now}
	f.schedule(r)
	return r
}

type awaitRequest struct {
	s       *Scheduler
	block   string
	arrived time.Time
	holds   int
	first   *Choice
	sent    *Choice
	sentAt  time.Time
}

func (f *awaitFleet) schedule(r *awaitRequest) {
	req := f.request(r.block)
	if r.holds < 2 {
		req.MaxHold = 560 * time.Millisecond
	}
	req.TimeLeft = r.arrived.Add(req.LatencyTarget).Sub(f.now)
	c := pick(f.t, r.s, req, f.now)
	if r.first == nil {
		r.first = c
	}
	if c.Hold > 0 {
		r.holds++
		f.after(c.Hold, func() { f.schedule(r) })
		return
	}
	r.sent, r.sentAt = c, f.now
	f.report(r.s)
	f.send(r, c)
}

func (f *awaitFleet) send(r *awaitRequest, c *Choice) {
	key := func(id string) string { return id + "/" + r.block }
	held := func(id string) bool {
		at, known := f.holds[key(id)]
		return known && !at.After(f.now)
	}
	took := time.Duration(f.delay * float64(c.Expected))
	switch {
	case held(c.ID):
	case c.Source != "":
		f.fetches++
		if !held(c.Source) {
			f.prefilled += sharedTokens
		}
		if !held(c.Source) && !f.early {
			f.t.Errorf("fetch of %s from %s, which does not hold it", r.block, c.Source)
		}
	default:
		f.prefilled += sharedTokens
	}
	if at, known := f.holds[key(c.ID)]; !known || at.After(f.now.Add(took)) {
		f.holds[key(c.ID)] = f.now.Add(took)
	}
	f.after(took, func() {
		r.s.PrefillDone(c, f.now)
		c.Flight.AnswerStarted(f.now)
		c.Flight.End(replica.Answered, f.now)
	})
}

// occupy puts other requests on an engine.
func (f *awaitFleet) occupy(id string, d time.Duration) {
	w := replica.Work{Prefill: int(d.Milliseconds()) * 50, Memory: 20_000, Expected: d, PrefillTime: d}
	for _, table := range append([]*replica.Table{f.table}, f.tables...) {
		table.Begin(id, w, f.now)
	}
}

// burst sends a request and, while its engine prefills it and has got other work, thirty more.
func (f *awaitFleet) burst() []*awaitRequest {
	var out []*awaitRequest
	first := f.arrive("p")
	f.occupy(first.sent.ID, 1500*time.Millisecond)
	for i := range 30 {
		f.after(time.Duration(25+7*i)*time.Millisecond, func() {
			s := append([]*Scheduler{f.s}, f.others...)[i%(1+len(f.others))]
			out = append(out, f.arriveAt(s, "p"))
		})
	}
	f.play()
	return out
}

// TestBurstFetchesWhatABusyReplicaPrefills guards against a shared prefix that is prefilled again at
// other replicas while the first one is prefilling it and has other work after that.
func TestBurstFetchesWhatABusyReplicaPrefills(t *testing.T) {
	off, on := newAwaitFleet(t, false), newAwaitFleet(t, true)
	off.burst()
	requests := on.burst()
	t.Logf("shared tokens prefilled: %d without waiting, %d with it; %d fetches", off.prefilled, on.prefilled, on.fetches)
	if off.prefilled <= sharedTokens || on.prefilled != sharedTokens || on.fetches == 0 {
		t.Errorf("shared tokens prefilled: %d without waiting, %d with it, want %d; %d fetches", off.prefilled, on.prefilled, sharedTokens, on.fetches)
	}
	for _, r := range requests {
		if first := r.sentAt.Add(r.sent.Expected).Sub(r.arrived); first > 1500*time.Millisecond || r.holds > 2 {
			t.Errorf("first event after %v, held %d times", first, r.holds)
		}
	}
}

// TestHostsWaitForPrefillsOfOtherHosts guards against shared blocks that each host has prefilled again, since they are
// being prefilled for a request of another host.
func TestHostsWaitForPrefillsOfOtherHosts(t *testing.T) {
	prefilled := func(await bool) int {
		f := newAwaitFleet(t, await)
		f.addHost()
		f.addHost()
		f.early = !await
		f.burst()
		return f.prefilled
	}
	off, on := prefilled(false), prefilled(true)
	t.Logf("three hosts: %d shared tokens prefilled without waiting, %d with it", off, on)
	if on > off/2 {
		t.Errorf("three hosts: %d shared tokens prefilled without waiting, %d with it", off, on)
	}
}

// TestFetchWaitsForALatePrefill guards against a fetch of blocks that were expected to be ready but
// are not: it would read nothing, and they would be prefilled again.
func TestFetchWaitsForALatePrefill(t *testing.T) {
	for _, delay := range []float64{1.05, 1.1, 1.2, 1.3} {
		off, on := newAwaitFleet(t, false), newAwaitFleet(t, true)
		off.delay, on.delay, off.early = delay, delay, true
		off.burst()
		on.burst()
		t.Logf("%.2f times the expected time: %d shared tokens prefilled without waiting, %d with it", delay, off.prefilled, on.prefilled)
		if on.prefilled > 4*sharedTokens || on.prefilled > off.prefilled/2 {
			t.Errorf("%.2f times the expected time: %d shared tokens prefilled without waiting, %d with it", delay, off.prefilled, on.prefilled)
		}
	}
}

// TestOtherPrefixesAreNotDelayed guards against requests that pay for the wait of others: with different
// prefixes each is sent at once, to the same replica as without the setting.
func TestOtherPrefixesAreNotDelayed(t *testing.T) {
	decisions := func(await bool) (out []string) {
		f := newAwaitFleet(t, await)
		random := rand.New(rand.NewPCG(1, 2))
		f.occupy(f.arrive("p").sent.ID, time.Second)
		for i := range 40 {
			f.after(time.Duration(random.IntN(600))*time.Millisecond, func() {
				r := f.arrive(fmt.Sprint("other", i))
				out = append(out, fmt.Sprint(r.first.ID, r.first.Hold, r.first.Expected))
			})
		}
		f.play()
		return out
	}
	off, on := decisions(false), decisions(true)
	if !slices.Equal(off, on) {
		t.Errorf("decisions differ:\n%v\n%v", off, on)
	}
}

// TestRequestWithLittleTimeIsNotHeld guards against a request that is held for another replica's prefill
// past its latency target.
func TestRequestWithLittleTimeIsNotHeld(t *testing.T) {
	for _, left := range []time.Duration{-time.Second, 0, 100 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond} {
		f := newAwaitFleet(t, true)
		f.occupy(f.arrive("p").sent.ID, 1500*time.Millisecond)
		req := f.request("p")
		req.MaxHold, req.TimeLeft = 560*time.Millisecond, left
		c := pick(t, f.s, req, f.now)
		if c.AwaitsSource != (left == 800*time.Millisecond) || (c.Hold > 0) != c.AwaitsSource {
			t.Errorf("%v left: held for %v, awaits another replica %v", left, c.Hold, c.AwaitsSource)
		}
	}
}

// TestHoldEndsWithoutTheSource guards against requests that keep waiting for, or fetch from, a replica whose
// prefill came to nothing.
func TestHoldEndsWithoutTheSource(t *testing.T) {
	for name, fault := range map[string]func(f *awaitFleet, first *awaitRequest){
		"prefill failed": func(f *awaitFleet, first *awaitRequest) { f.s.PrefillFailed(first.sent) },
		"replica lost": func(f *awaitFleet, first *awaitRequest) {
			f.table.Reached(first.sent.ID, false, f.now)
		},
		"suspected by another host": func(f *awaitFleet, first *awaitRequest) {
			f.table.Suspect("h", []string{first.sent.ID}, f.now)
		},
		"restarted": func(f *awaitFleet, first *awaitRequest) { f.s.index.Clear(first.sent.ID) },
		"other weights": func(f *awaitFleet, first *awaitRequest) {
			f.table.RecordWeights(first.sent.ID, testModel, 2)
			f.s.index.Clear(first.sent.ID)
		},
	} {
		f := newAwaitFleet(t, true)
		first := f.arrive("p")
		f.occupy(first.sent.ID, 1500*time.Millisecond)
		waiting := f.arrive("p")
		if !waiting.first.AwaitsSource {
			t.Fatalf("%s: the request does not wait", name)
		}
		f.events = nil
		f.now = f.now.Add(50 * time.Millisecond)
		fault(f, first)
		f.after(waiting.first.Hold-50*time.Millisecond, func() { f.schedule(waiting) })
		f.play()
		if c := waiting.sent; waiting.holds != 1 || c.Source != "" || c.ID == first.sent.ID && name != "other weights" {
			t.Errorf("%s: held %d times, sent to %s with source %q", name, waiting.holds, c.ID, c.Source)
		}
	}
}

// TestWithoutAwaitPrefillDecisionsAreAsBefore guards against a change of decisions where the setting is off:
// what is left of the latency target then has no influence, nor has a prefill that is late.
func TestWithoutAwaitPrefillDecisionsAreAsBefore(t *testing.T) {
	f := newAwaitFleet(t, false)
	f.occupy(f.arrive("p").sent.ID, 1500*time.Millisecond)
	var scores []string
	for _, left := range []time.Duration{0, 800 * time.Millisecond} {
		req := f.request("p")
		req.MaxHold, req.TimeLeft = 560*time.Millisecond, left
		some, _ := f.table.Candidates("s", testModel, StoreKey(req.Blocks), 165_000, f.now.Add(450*time.Millisecond))
		d, err := f.s.decide(req, some, map[int64]prefix.Prompt{}, f.now.Add(450*time.Millisecond))
		if err != nil || d.AwaitTime != 0 || d.AwaitsSource {
			t.Errorf("%v left: %v, waits %v", left, err, d.AwaitTime)
		}
		scores = append(scores, fmt.Sprint(d.ID, d.Score, d.Cached, d.Fetched, d.Source))
	}
	if scores[0] != scores[1] {
		t.Errorf("decisions differ: %v", scores)
	}
}
