package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/briarlink/briarlink/test/standin/caller"
	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// testLoad returns a load that has just ended, in which all demands were served at servers that were fully
// used in proportion.
func testLoad(kind overloadKind, slots ...int) *overloadLoad {
	fx := testFixture()
	fx.overload = overloadPlan{kind: kind, hosts: 1, slots: slots}
	fx.hosts = []*host{{id: "entry-0", process: &process{cmd: &exec.Cmd{Process: &os.Process{Pid: os.Getpid()}}}}}
	l := newOverloadLoad(fx, 0)
	l.end = time.Now()
	l.pressedAt = l.end.Add(-11 * time.Second)
	for i, n := range slots {
		id := fmt.Sprint("i-", i)
		fx.servers = append(fx.servers, &server{engine: engine.New(engine.Options{ID: id})})
		for k := range int(10 * capacity(n)) {
			fx.observed.runs[fmt.Sprint(id, "-", k)] = []run{{server: id, at: l.end.Add(-5 * time.Second)}}
		}
	}
	for k := range 1000 {
		l.demands = append(l.demands, testDemand(l, k%organisations, http.StatusOK, plainTarget))
	}
	return l
}

// testDemand returns a demand that was sent in the middle of the load and answered after the given time.
func testDemand(l *overloadLoad, organisation, status int, took time.Duration) *demand {
	from := l.end.Add(-5 * time.Second)
	s := &request{id: "r", host: l.fx.hosts[0], from: from, to: from.Add(took), answer: caller.Answer{Status: status, Whole: true}}
	return &demand{organisation: organisation, from: from, tries: []*request{s}}
}

// TestOverloadViolationsAreDetected guards against checks of overload seeds that detect nothing, and against
// ones that report what keeps the bounds.
func TestOverloadViolationsAreDetected(t *testing.T) {
	fair, unequal := []int{4, 4, 4, 4}, []int{2, 4, 4, 8}
	unserved := func(count, organisation, status int, took time.Duration) func(l *overloadLoad) {
		return func(l *overloadLoad) {
			for range count {
				l.demands = append(l.demands, testDemand(l, organisation, status, took))
			}
		}
	}
	loseRuns := func(server, count int) func(l *overloadLoad) {
		return func(l *overloadLoad) {
			for k := range count {
				delete(l.fx.observed.runs, fmt.Sprint("i-", server, "-", k))
			}
		}
	}
	for _, c := range []struct {
		want  string
		kind  overloadKind
		slots []int
		do    func(l *overloadLoad)
	}{
		{"", storm, fair, unserved(500, 0, http.StatusServiceUnavailable, 0)},
		{"", storm, fair, unserved(40, 1, http.StatusServiceUnavailable, 0)},
		{"875 of 935 requests of the other organisations", storm, fair, unserved(60, 1, http.StatusServiceUnavailable, 0)},
		{"875 of 935 requests of the other organisations", storm, fair, unserved(60, 1, http.StatusOK, plainDeadline+1)},
		{"", storm, fair, loseRuns(0, 150)},
		{"servers were used to 0.894", storm, fair, loseRuns(0, 170)},
		{"", uneven, unequal, loseRuns(0, 20)},
		{"1000 of 1001 requests of all", uneven, unequal, unserved(1, 0, http.StatusBadGateway, 0)},
		{"server 0 got 0.77 of its share", uneven, unequal, loseRuns(0, 50)},
		{"", slowReaders, fair, unserved(20, 1, http.StatusBadGateway, 0)},
		{"1000 of 1021 requests of the other callers", slowReaders, fair, unserved(21, 1, http.StatusBadGateway, 0)},
		{"entry-0 held 185 MB, 184 allowed", heldUploads, fair, func(l *overloadLoad) { l.peakMB[l.fx.hosts[0]] = hostMemoryMB + 1 }},
		{"", heldUploads, fair, func(l *overloadLoad) { l.peakMB[l.fx.hosts[0]] = hostMemoryMB }},
		{"the process of entry-0 has ended", heldUploads, fair, func(l *overloadLoad) { l.fx.hosts[0].process = nil }},
		{"request r was answered 503 and ran", storm, fair, func(l *overloadLoad) {
			recordTestRun(l.fx, "i-0")
			l.fx.observed.add(ended(overloadRoutes[0], http.StatusServiceUnavailable, ""))
		}},
		{"which did not run it", storm, fair, func(l *overloadLoad) {
			l.fx.observed.add(ended(overloadRoutes[0], http.StatusOK, "seal-of-i-1"))
		}},
	} {
		l := testLoad(c.kind, c.slots...)
		c.do(l)
		l.fx.checkOverload(l)
		all := strings.Join(l.fx.observed.violations, "\n")
		if c.want == "" && all != "" || !strings.Contains(all, c.want) {
			t.Errorf("%s: want %q, got %q", c.kind, c.want, all)
		}
	}
}

// TestOverloadFaultsExcuse guards against a fault that excuses more than the requests that it broke.
func TestOverloadFaultsExcuse(t *testing.T) {
	for name, want := range map[string]bool{"kill": true, cutOffName: true, "pause": false} {
		l := testLoad(storm)
		d := testDemand(l, 1, 0, 0)
		d.tries[0].err = http.ErrServerClosed
		l.fx.faults.list = []*disturbance{{name: name, host: l.fx.hosts[0], from: d.from.Add(-time.Second), to: d.from}}
		if got := l.fx.isExcused(d); got != want {
			t.Errorf("%s: excused %v, want %v", name, got, want)
		}
		d.tries[0].err = &url.Error{Err: context.DeadlineExceeded}
		if got := l.fx.isExcused(d); got != (name == cutOffName) {
			t.Errorf("%s: a request without an answer is excused: %v", name, got)
		}
		d.tries[0].err = nil
		d.tries[0].from = d.from.Add(recoveryTime - time.Second)
		if l.fx.isExcused(d) {
			t.Errorf("%s: an answer is excused, %v later", name, recoveryTime)
		}
	}
}

// TestOverloadPlans guards against seeds that change between runs, and against kinds without fleets of both
// sizes or faults of both sorts.
func TestOverloadPlans(t *testing.T) {
	seen := map[string]int{}
	for seed := uint64(overloadSeeds); seed <= lastOverloadSeed; seed++ {
		p, again := planOverload(seed), planOverload(seed)
		if !hasOverload(seed) || hasServerCuts(seed) || fmt.Sprint(p) != fmt.Sprint(again) {
			t.Errorf("seed %d: %+v, %+v", seed, p, again)
		}
		seen[fmt.Sprint(p.kind, p.hosts)]++
		seen[fmt.Sprint(p.kind, " fault ", p.faultAt > 0, " cut ", p.cut != "")]++
	}
	for want, least := range map[string]int{"storm3": 100, "storm9": 100, "uneven3": 100, "uneven9": 100, "slow readers3": 250, "held uploads3": 250, "storm fault true cut true": 20, "storm fault true cut false": 20, "slow readers fault true cut false": 80, "held uploads fault false cut false": 160} {
		if seen[want] < least {
			t.Errorf("%d seeds with %s, want %d", seen[want], want, least)
		}
	}
}

// TestLimitedServer guards against a server that runs or holds more requests than its slots allow, and
// against one that limits control calls.
func TestLimitedServer(t *testing.T) {
	release, started := make(chan bool), make(chan bool, 9)
	h := limited(&server{slots: 2}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/plain/1" {
			started <- true
			<-release
		}
	}))
	statuses := make(chan int, 9)
	call := func(path string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		if w.Code == http.StatusServiceUnavailable && w.Header().Get(wire.NotRun) == "" {
			t.Error("a rejection does not say that the request has not run")
		}
		statuses <- w.Code
	}
	for range 5 {
		go call("/plain/1")
	}
	<-started
	<-started
	rejected := <-statuses
	call("/-/report")
	control := <-statuses
	close(release)
	rest := []int{<-statuses, <-statuses, <-statuses, <-statuses}
	if rejected != http.StatusServiceUnavailable || control != http.StatusOK || slices.Contains(rest, http.StatusServiceUnavailable) {
		t.Errorf("the fifth got %d, a control call %d, the others %v", rejected, control, rest)
	}
}

// TestStatusMB guards against a missing value that counts as memory, and against a wrong unit.
func TestStatusMB(t *testing.T) {
	status := "Name:\tbriarlink\nVmHWM:\t  188416 kB\nVmRSS:\t    1024 kB\n"
	if hwm, rss, none := statusMB(status, "VmHWM:"), statusMB(status, "VmRSS:"), statusMB(status, "VmSwap:"); hwm != 184 || rss != 1 || none != 0 {
		t.Errorf("got %v, %v, %v", hwm, rss, none)
	}
}

// TestOwnerOfConnection guards against a cut that hits the connections of another host, or none.
func TestOwnerOfConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	self := &host{process: &process{cmd: &exec.Cmd{Process: &os.Process{Pid: os.Getpid()}}}}
	parent := &host{process: &process{cmd: &exec.Cmd{Process: &os.Process{Pid: os.Getppid()}}}}
	if got := ownerOf(accepted.(*net.TCPConn), []*host{parent, self}); got != self {
		t.Errorf("owner %v", got)
	}
	if got := ownerOf(accepted.(*net.TCPConn), []*host{parent}); got != nil {
		t.Errorf("owner %v", got)
	}
}
