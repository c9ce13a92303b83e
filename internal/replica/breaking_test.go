package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/platform"
)

// breakingWorld simulates a host and plain servers, one millisecond at a time. Connections of the servers break.
type breakingWorld struct {
	table *Table
	now   time.Time
	// breaks reports whether the connection of the nth request to a server breaks.
	breaks  func(id string, n int) bool
	pending map[time.Time][]func()
	// sent and answered count requests by server, refused those that were not sent anywhere.
	sent, answered map[string]int
	refused        int
	// suspected counts the milliseconds in which the first server was suspected.
	suspected int
}

const breakingServers = 4

// newBreakingWorld returns a world whose servers can run 400 requests per second, and are sent 1,000.
func newBreakingWorld(brittle bool) *breakingWorld {
	w := &breakingWorld{
		table: NewTable(quietLog(), func(string, string) {}), now: time.Unix(1000, 0),
		breaks: func(string, int) bool { return false }, pending: map[time.Time][]func(){},
	}
	w.table.SetSlotShare(SlotShare{Hosts: 1})
	for i := range breakingServers {
		id := fmt.Sprint("i-", i)
		w.table.Register(platform.Registration{ID: id, Service: "s", Address: id + ":1", Slots: 6}, 0)
		f := w.table.Begin(id, Work{}, w.now)
		f.RecordNotice(platform.ReplicaAnswer{Brittle: brittle, MaxRejections: 5, Sealed: true}, w.now)
		f.End(Answered, w.now)
	}
	w.run(time.Second)
	return w
}

func (w *breakingWorld) after(d time.Duration, f func()) {
	w.pending[w.now.Add(d)] = append(w.pending[w.now.Add(d)], f)
}

// run sends requests for a while, and restarts the counts.
func (w *breakingWorld) run(d time.Duration) {
	w.sent, w.answered, w.refused, w.suspected = map[string]int{}, map[string]int{}, 0, 0
	for begin := w.now; w.now.Sub(begin) < d; w.now = w.now.Add(time.Millisecond) {
		for _, f := range w.pending[w.now] {
			f()
		}
		delete(w.pending, w.now)
		w.send()
		if w.table.Snapshot("s", "", 0, w.now)[0].Suspected {
			w.suspected++
		}
	}
}

func (w *breakingWorld) send() {
	const breakTime, work = time.Millisecond, 60 * time.Millisecond
	var candidates []route.Candidate
	for _, r := range w.table.Snapshot("s", "", 0, w.now) {
		candidates = append(candidates, route.Candidate{Replica: r})
	}
	choice, err := route.DefaultPolicy().Decide(&route.Request{LatencyTarget: 300 * time.Millisecond}, candidates)
	if err != nil {
		w.refused++
		return
	}
	id := choice.ID
	w.sent[id]++
	f := w.table.Begin(id, Work{Expected: choice.Expected, ServiceTime: choice.ServiceTime, Slowdown: 1}, w.now)
	if w.breaks(id, w.sent[id]) {
		w.after(breakTime, func() {
			f.ConnectionBroken(w.now)
			f.End(Lost, w.now)
		})
		return
	}
	w.after(work, func() {
		w.answered[id]++
		f.AnswerStarted(w.now)
		f.End(Answered, w.now)
	})
}

// TestServerThatBreaksEachConnectionGetsHardlyAnyRequests guards against a server that accepts connections and breaks
// each of them, and is sent all requests for which other servers have no room. Once it answers again it is used again.
func TestServerThatBreaksEachConnectionGetsHardlyAnyRequests(t *testing.T) {
	const breakTime, returnTime, maxSent = 2 * time.Second, 500 * time.Millisecond, 20
	for name, brittle := range map[string]bool{"brittle": true, "plain": false} {
		w := newBreakingWorld(brittle)
		w.breaks = func(id string, _ int) bool { return id == "i-0" }
		w.run(breakTime)
		t.Logf("%s: while it breaks connections: sent %v, %d refused", name, w.sent, w.refused)
		if w.sent["i-0"] > maxSent {
			t.Errorf("%s: %d requests sent to a server that breaks each connection, want %d at the most", name, w.sent["i-0"], maxSent)
		}
		if down, _ := w.table.DownServers(w.now); len(down) > 0 {
			t.Errorf("%s: reported down to hosts that may reach it: %v", name, down)
		}
		w.breaks = func(string, int) bool { return false }
		w.run(returnTime)
		if w.answered["i-0"] == 0 {
			t.Errorf("%s: no request answered within %v of its return", name, returnTime)
		}
		w.run(returnTime)
		t.Logf("%s: after its return: answered %v", name, w.answered)
		if other := w.answered["i-1"]; w.answered["i-0"] < other/2 {
			t.Errorf("%s: %d requests answered by the server that is back, %d by another", name, w.answered["i-0"], other)
		}
	}
}

// TestSingleBrokenConnectionsAreTolerated guards against servers that are avoided because some of their connections
// break, one by one or all that are open at once.
func TestSingleBrokenConnectionsAreTolerated(t *testing.T) {
	for name, brittle := range map[string]bool{"brittle": true, "plain": false} {
		w := newBreakingWorld(brittle)
		w.breaks = func(id string, n int) bool { return id == "i-0" && n%10 == 0 }
		w.run(3 * time.Second)
		t.Logf("%s: answered %v", name, w.answered)
		if other := w.answered["i-1"]; w.answered["i-0"] < other*8/10 || w.suspected > 0 {
			t.Errorf("%s: every tenth connection breaks: %d requests answered there, %d by another; suspected for %d ms", name, w.answered["i-0"], other, w.suspected)
		}
	}
	table, now := newTestTable("a", "b"), time.Now()
	var open []*Flight
	for range 20 {
		open = append(open, table.Begin("a", Work{}, now))
	}
	for i, f := range open {
		at := now.Add(time.Duration(1+i) * time.Millisecond)
		f.ConnectionBroken(at)
		f.End(Lost, at)
		if got := usable(table, at); got != "ab" {
			t.Fatalf("%d of the open connections broke at once: usable %q, want both", 1+i, got)
		}
	}
}

// TestServersThatAllBreakConnectionsAreTried guards against a service whose requests are all refused because each of
// its servers broke some connections.
func TestServersThatAllBreakConnectionsAreTried(t *testing.T) {
	w := newBreakingWorld(false)
	w.breaks = func(string, int) bool { return true }
	w.run(2 * time.Second)
	if w.refused > 0 {
		t.Errorf("%d requests refused, sent %v", w.refused, w.sent)
	}
}

// TestBrokenAnswersAreNoLossOfContact guards against a host that counts as cut off from a service, and refuses requests,
// because all its servers turned uploads away: they answered before the connections broke.
func TestBrokenAnswersAreNoLossOfContact(t *testing.T) {
	for _, answered := range []bool{false, true} {
		table, now := newTestTable("a", "b", "c"), time.Now()
		for n := range 30 {
			f := table.Begin([]string{"a", "b", "c"}[n%3], Work{}, now)
			now = now.Add(time.Millisecond)
			if answered {
				f.RecordNotice(platform.ReplicaAnswer{Sealed: true}, now)
			}
			f.ConnectionBroken(now)
			f.End(Lost, now)
		}
		if lost := table.LostContact(testService); lost == answered {
			t.Errorf("heads of answers arrived %t: contact lost %t", answered, lost)
		}
	}
}
