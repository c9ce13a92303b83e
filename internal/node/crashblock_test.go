package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/caller"
	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/wire"
)

const (
	// crashBlock is the prefix block that crashes servers.
	crashBlock = "dead"
	// blockCrashes is the number of crashes after which requests with the block must be kept away
	// from servers within propagationTime; at most maxLaterCrashes more may reach one.
	blockCrashes = 5
	// crashRequestInterval and soundInterval are the mean intervals at which requests with and without
	// the block are sent to each host.
	crashRequestInterval = 150 * time.Millisecond
	soundInterval        = 40 * time.Millisecond
	// baselineTime is how long only sound requests are sent, and observedTime how long requests are
	// observed once twice propagationTime is over.
	baselineTime = time.Second
	observedTime = 1500 * time.Millisecond
	// baselineSample is the number of sound requests that a comparison needs.
	baselineSample = 20
)

// blockFleet is a fleet whose engines crash under requests with crashBlock, and its callers.
type blockFleet struct {
	*site
	servers []*crashingServer
	hosts   []*host

	mu sync.Mutex
	// arrivals are the times at which servers ran requests with crashBlock, and sound the outcomes of
	// the other requests.
	arrivals []time.Time
	sound    []soundOutcome
}

type soundOutcome struct {
	sent   time.Time
	status int
	served bool
}

func newBlockFleet(t *testing.T, options engine.Options) *blockFleet {
	t.Helper()
	f := &blockFleet{site: newSite(t)}
	for _, e := range f.engines {
		f.store.Put(platform.ReplicaTopic, e.ID, nil)
	}
	options.CrashBlock, options.Pace, options.OnRun = crashBlock, 10*time.Millisecond, f.onRun
	for i := range 6 {
		f.servers = append(f.servers, f.crashingServer(fmt.Sprint("i-frail-", i), options))
	}
	f.configure(1)
	a := f.host("a", f.address)
	b := f.host("b", f.address, a)
	f.hosts = []*host{a, b}
	eventually(t, "two ready hosts that list each other", func() bool {
		return a.ready() && b.ready() && len(a.node.directory("z1")) == 2 && len(b.node.directory("z1")) == 2
	})
	eventually(t, "all servers", func() bool { return allRegistered(f.servers, f.hosts...) })
	return f
}

// onRun records the run of a request with crashBlock.
func (f *blockFleet) onRun(_ string, h http.Header) {
	if !strings.Contains(h.Get(wire.Prefix), crashBlock) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, time.Now())
}

// generate sends requests to a host, with the given prefix before their own last block, until the
// context ends. No two of them are alike.
func (f *blockFleet) generate(ctx context.Context, h *host, interval time.Duration, prefix func(n int) string, record func(soundOutcome)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	c := h.caller()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", rand.Uint64())
		r := caller.Request{
			ID: id, Method: "POST", Path: "/reports/" + id, Body: id, Model: "m", Tokens: "400,16",
			Prefix: prefix(n) + "," + id + ":40", Deadline: 2 * time.Second,
		}
		sent := time.Now()
		wg.Go(func() {
			answer, err := c.SendTo(context.WithoutCancel(ctx), h.settings.Listen.Caller, r)
			record(soundOutcome{sent, answer.Status, err == nil && answer.Whole && answer.Status == http.StatusOK && strings.Count(answer.Body, "id: ") == 6})
		})
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rand.Float64() * 2 * float64(interval))):
		}
	}
}

// runAll sends sound requests to all hosts, and requests with crashBlock after baselineTime, until
// observedTime after twice propagationTime since the fifth crash.
func (f *blockFleet) runAll(crashPrefix func(n int) string) {
	ctx, cancel := context.WithCancel(f.t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, h := range f.hosts {
		wg.Go(func() {
			f.generate(ctx, h, soundInterval, func(n int) string { return fmt.Sprintf("a1:300,b%d:60", n%7) }, func(o soundOutcome) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.sound = append(f.sound, o)
			})
		})
	}
	time.Sleep(baselineTime)
	for _, h := range f.hosts {
		wg.Go(func() { f.generate(ctx, h, crashRequestInterval, crashPrefix, func(soundOutcome) {}) })
	}
	eventually(f.t, "five crashes", func() bool { return countCrashes(f.servers) >= blockCrashes })
	time.Sleep(2*propagationTime + observedTime)
}

// TestPrefixBlockThatCrashesServersIsQuarantined guards against a prefix block that crashes each server
// that begins to answer a request with it, where no two such requests are alike: 29 and 40 servers
// in half a minute, with all streams on them. Hosts identified requests by a digest of everything
// that attempts have in common, so each such request was a new one. The variants differ in how much
// of the answer is written before the crash, and in where the block is. Other requests of the same
// organisation, with the same first block, must be served meanwhile.
func TestPrefixBlockThatCrashesServersIsQuarantined(t *testing.T) {
	second := func(int) string { return "a1:300," + crashBlock + ":60" }
	for name, v := range map[string]struct {
		options engine.Options
		prefix  func(n int) string
	}{
		"before the head":                 {engine.Options{CrashPoint: engine.BeforeHead}, second},
		"after the head":                  {engine.Options{CrashPoint: engine.AfterHead}, second},
		"within an event":                 {engine.Options{CrashPoint: engine.WithinEvent}, second},
		"within an event, until close":    {engine.Options{CrashPoint: engine.WithinEvent, UntilClose: true}, second},
		"after an event, until close":     {engine.Options{CrashPoint: engine.AfterEvent, UntilClose: true}, second},
		"after the answer, until close":   {engine.Options{CrashPoint: engine.AfterAnswer, UntilClose: true}, second},
		"the first block":                 {engine.Options{CrashPoint: engine.BeforeHead}, func(n int) string { return fmt.Sprintf("%s:60,b%d:300", crashBlock, n%7) }},
		"the third, after unlike prompts": {engine.Options{CrashPoint: engine.BeforeHead}, func(n int) string { return fmt.Sprintf("a1:300,b%d:60,%s:%d", n%7, crashBlock, 40+n) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newBlockFleet(t, v.options)
			f.runAll(v.prefix)
			f.check()
		})
	}
}

// check checks the bounds on requests with crashBlock and on the others.
func (f *blockFleet) check() {
	f.t.Helper()
	if len(f.arrivals) < blockCrashes {
		f.t.Fatalf("only %d requests with the block ran", len(f.arrivals))
	}
	first, fifth := f.arrivals[0], f.arrivals[blockCrashes-1]
	late := 0
	for _, at := range f.arrivals {
		if at.After(fifth.Add(propagationTime)) {
			late++
		}
	}
	if late > maxLaterCrashes {
		f.t.Errorf("servers ran %d requests with the block from %v after the fifth on, %d in all", late, propagationTime, len(f.arrivals))
	}
	var before, after, servedBefore, servedAfter, denied int
	for _, o := range f.sound {
		switch {
		case o.status == http.StatusBadRequest:
			denied++
		case o.sent.Before(first.Add(-100 * time.Millisecond)):
			before++
			servedBefore += count(o.served)
		case o.sent.After(fifth.Add(2 * propagationTime)):
			after++
			servedAfter += count(o.served)
		}
	}
	if denied > 0 {
		f.t.Errorf("%d of %d sound requests were denied", denied, len(f.sound))
	}
	if before < baselineSample || after < baselineSample || 2*servedAfter*before < servedBefore*after {
		f.t.Errorf("served: %d of %d sound requests, and %d of %d before the first crash", servedAfter, after, servedBefore, before)
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
