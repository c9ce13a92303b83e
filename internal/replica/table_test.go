package replica

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/platform"
)

const (
	testService = "writer"
	testModel   = "m"
)

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newTestTable(ids ...string) *Table {
	t := NewTable(quietLog(), func(string, string) {})
	for i, id := range ids {
		t.Register(platform.Registration{ID: id, Service: testService, Address: "10.0.0.1:1", Slots: 4, Weights: map[string]int64{testModel: 1}}, int64(i))
	}
	return t
}

// TestSupersededWeightsCountFromTheFirstNewerVersion checks that a replica on version 1
// counts as outdated since version 2 was named, however soon version 3 followed.
func TestSupersededWeightsCountFromTheFirstNewerVersion(t *testing.T) {
	table := newTestTable("a")
	start := time.Now()
	table.Want(testModel, 2, start)
	table.Want(testModel, 3, start.Add(3*time.Second))
	got := table.Snapshot(testService, testModel, 1000, start.Add(8*time.Second))
	if got[0].OutdatedFor != 8*time.Second {
		t.Errorf("outdated for %v, want 8s", got[0].OutdatedFor)
	}
	table.RecordWeights("a", testModel, 2)
	got = table.Snapshot(testService, testModel, 1000, start.Add(8*time.Second))
	if got[0].OutdatedFor != 5*time.Second {
		t.Errorf("outdated for %v, want 5s", got[0].OutdatedFor)
	}
}

// TestOwnReportOfOlderWeightsCounts checks that a server's own report of older weights is
// applied, unless the recorded weights have changed since.
func TestOwnReportOfOlderWeightsCounts(t *testing.T) {
	table := newTestTable("a")
	now := time.Now()
	table.Want(testModel, 4, now)
	table.RecordWeights("a", testModel, 3)
	if table.RecordOlderWeights("a", testModel, 2, 1) {
		t.Error("a report superseded by newer weights was applied")
	}
	if !table.RecordOlderWeights("a", testModel, 3, 2) || table.Servers(now)[0].Weights[testModel] != 2 {
		t.Errorf("weights %v, want version 2", table.Servers(now)[0].Weights)
	}
}

// TestOutdatedReplicasAreCounted checks the counts that show operators a stalled rollout.
func TestOutdatedReplicasAreCounted(t *testing.T) {
	table := newTestTable("a", "b", "c")
	start := time.Now()
	table.Want(testModel, 2, start)
	table.RecordWeights("a", testModel, 2)
	table.Want(testModel, 3, start.Add(3*time.Second))
	n, longest := table.OutdatedStats(start.Add(8 * time.Second))
	if n != 3 || longest != 8*time.Second {
		t.Errorf("%d outdated, the longest for %v; want 3, for 8s", n, longest)
	}
	for _, id := range []string{"a", "b", "c"} {
		table.RecordWeights(id, testModel, 3)
	}
	if n, longest := table.OutdatedStats(start.Add(9 * time.Second)); n != 0 || longest != 0 {
		t.Errorf("%d outdated, the longest for %v; want none", n, longest)
	}
}

// TestLapsedEntryServesUntilTheOutageIsOver checks that a server whose entry went missing
// during a store outage keeps serving, and is removed if the entry is still missing after
// it.
func TestLapsedEntryServesUntilTheOutageIsOver(t *testing.T) {
	table := newTestTable("a", "b", "c")
	now := time.Now()
	table.Remove("a", false)
	table.Remove("b", true)
	table.Remove("c", false)
	if got := usable(table, now); got != "ac" {
		t.Errorf("usable: %q, want a and c", got)
	}
	table.Register(platform.Registration{ID: "c", Service: testService}, 9)
	table.RemoveLapsed()
	if got := usable(table, now); got != "c" {
		t.Errorf("usable after the outage: %q, want c", got)
	}
}

func usable(t *Table, now time.Time) string {
	out := ""
	for _, r := range t.Snapshot(testService, testModel, 0, now) {
		if r.Usable && !r.Suspected {
			out += r.ID
		}
	}
	return out
}

// TestDrainingServerGetsNoNewRequests also covers a request that was routed before the entry
// changed.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	table := newTestTable("a")
	now := time.Now()
	table.Register(platform.Registration{ID: "a", Service: testService, Draining: true}, 5)
	if got := usable(table, now); got != "" {
		t.Errorf("usable: %q", got)
	}
	if table.Begin("a", Work{}, now) != nil {
		t.Error("a draining server was given a request")
	}
	// A late copy of the older entry must change nothing.
	table.Register(platform.Registration{ID: "a", Service: testService}, 6)
	if got := usable(table, now); got != "" {
		t.Errorf("usable again: %q", got)
	}
}

// TestUnreachableServerGetsOneTrialRequest checks that a single request is sent to a server
// once it can be connected to again.
func TestUnreachableServerGetsOneTrialRequest(t *testing.T) {
	table := newTestTable("a")
	now := time.Now()
	table.Begin("a", Work{}, now).End(Unreachable, now)
	now = now.Add(minDownTime)
	if got := usable(table, now); got != "" {
		t.Fatalf("usable before it could be connected to: %q", got)
	}
	if _, due := table.DownServers(now); len(due) != 1 {
		t.Fatalf("due for a connection: %v", due)
	}
	table.Reached("a", true, now)
	trial := table.Begin("a", Work{}, now)
	if got := usable(table, now); got != "" {
		t.Errorf("usable during the trial: %q", got)
	}
	trial.End(Answered, now)
	if got := usable(table, now); got != "a" {
		t.Errorf("usable after the trial: %q", got)
	}
}

// TestHangingServerStaysDown checks that an unresponsive server is not marked up because the
// callers that waited for it have left.
func TestHangingServerStaysDown(t *testing.T) {
	table := newTestTable("a")
	start := time.Now()
	f := table.Begin("a", Work{Expected: 50 * time.Millisecond}, start)
	now := start.Add(2 * time.Second)
	if got := usable(table, now); got != "" {
		t.Errorf("usable while it hangs: %q", got)
	}
	f.End(Cancelled, now)
	if got := usable(table, now); got != "" {
		t.Errorf("usable after its caller left: %q", got)
	}
}

// TestRecentAnswerOutweighsSuspicion checks that a host that cannot reach a server does not
// make other hosts avoid it while it answers them.
func TestRecentAnswerOutweighsSuspicion(t *testing.T) {
	table := newTestTable("a", "b")
	now := time.Now()
	table.Begin("a", Work{}, now).End(Answered, now)
	table.Suspect("other", []string{"a", "b"}, now)
	if got := usable(table, now); got != "a" {
		t.Errorf("usable: %q, want a", got)
	}
	if got := usable(table, now.Add(suspicionTimeout)); got != "ab" {
		t.Errorf("usable once the report has expired: %q, want both", got)
	}
}

// TestSilenceCountsFromTheLastAnswer checks that a replica that answers other requests does
// not count as unresponsive, however long one answer takes.
func TestSilenceCountsFromTheLastAnswer(t *testing.T) {
	table := newTestTable("a")
	start := time.Now()
	work := Work{Expected: 100 * time.Millisecond}
	slow := table.Begin("a", work, start)
	other := table.Begin("a", work, start)
	at := start.Add(time.Second)
	if got := slow.UnresponsiveFor(at); got != 900*time.Millisecond {
		t.Errorf("silence %v, want 900ms", got)
	}
	other.AnswerStarted(at)
	if got := slow.UnresponsiveFor(at.Add(50 * time.Millisecond)); got != 50*time.Millisecond {
		t.Errorf("silence after an answer %v, want 50ms", got)
	}
}

// TestPendingPrefillFallsWithTime checks that tokens a replica has prefilled no longer count
// as queued before the next request.
func TestPendingPrefillFallsWithTime(t *testing.T) {
	table := newTestTable("a")
	start := time.Now()
	f := table.Begin("a", Work{Prefill: 1000, Memory: 1200, Expected: 300 * time.Millisecond, PrefillTime: 200 * time.Millisecond}, start)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1000}, {100 * time.Millisecond, 1000}, {200 * time.Millisecond, 500}, {time.Second, 100}} {
		got := table.Snapshot(testService, testModel, 1000, start.Add(c.after))[0].PrefillTokens
		if got != c.want {
			t.Errorf("after %v: %d tokens, want %d", c.after, got, c.want)
		}
	}
	f.AnswerStarted(start.Add(time.Second))
	if got := table.Loads(start.Add(time.Second))[0]; got.PrefillTokens != 0 || got.MemoryTokens != 1200 {
		t.Errorf("after the first event: %v", got)
	}
}

// TestSlownessIsForgotten checks that a server that seemed slow is used again.
func TestSlownessIsForgotten(t *testing.T) {
	table := newTestTable("a")
	start := time.Now()
	for range 10 {
		table.Begin("a", Work{Expected: 200 * time.Millisecond}, start.Add(-2*time.Second)).AnswerStarted(start)
	}
	slow := func(at time.Time) float64 { return table.Snapshot(testService, testModel, 0, at)[0].RecentSlowdown }
	if got := slow(start); got < 4 {
		t.Errorf("slowness %.1f after answers of ten times the expected time", got)
	}
	if got := slow(start.Add(10 * time.Second)); got > 1.1 {
		t.Errorf("slowness %.1f ten seconds later", got)
	}
}

// TestShortWaitsDoNotLookSlow checks that a small request queued behind a large one of
// another host does not make its server look slow.
func TestShortWaitsDoNotLookSlow(t *testing.T) {
	table := newTestTable("a")
	now := time.Now()
	table.Begin("a", Work{Expected: 10 * time.Millisecond}, now.Add(-140*time.Millisecond)).AnswerStarted(now)
	if got := table.Snapshot(testService, testModel, 0, now)[0].RecentSlowdown; got != 1 {
		t.Errorf("slowness %.1f, want 1", got)
	}
}

// TestLateLoadingReportIsIgnored checks that a server that holds the wanted weights serves,
// even if an older heartbeat reports it as loading.
func TestLateLoadingReportIsIgnored(t *testing.T) {
	table := newTestTable("a")
	now := time.Now()
	table.Want(testModel, 2, now)
	loading := func() bool { return table.Snapshot(testService, testModel, 0, now)[0].Loading }
	if table.MarkLoading("a", now.Add(time.Second)); !loading() {
		t.Error("not loading")
	}
	table.RecordWeights("a", testModel, 2)
	if table.MarkLoading("a", now.Add(time.Second)); loading() {
		t.Error("loading again")
	}
}

// TestHealthChangesAreLoggedOnce checks that marking a server down and up is logged once
// each, however often it fails in between.
func TestHealthChangesAreLoggedOnce(t *testing.T) {
	table := newTestTable("a")
	var out bytes.Buffer
	table.log.SetOutput(&out)
	now := time.Now()
	for range 3 {
		table.Begin("a", Work{}, now).End(Unreachable, now)
		table.Reached("a", false, now)
	}
	table.Begin("a", Work{}, now).End(Answered, now)
	for _, message := range []string{"replica thought down", "replica serves again"} {
		if n := strings.Count(out.String(), message); n != 1 {
			t.Errorf("%q is logged %d times:\n%s", message, n, out.String())
		}
	}
	out.Reset()
	table.Begin("a", Work{}, now)
	for range 3 {
		table.DownServers(now.Add(2 * unresponsiveThreshold))
		table.Suspect("b", []string{"a"}, now.Add(2*unresponsiveThreshold))
	}
	for _, message := range []string{"replica gives no sign of life", "replica avoided: another host finds it down"} {
		if n := strings.Count(out.String(), message); n != 1 {
			t.Errorf("%q is logged %d times:\n%s", message, n, out.String())
		}
	}
}

// TestConcurrentConnectTimeoutsCountOnce checks that concurrent connect timeouts count once,
// as all may be caused by one moment in which this host was slow. A timeout of an attempt
// that began after the first one ended makes the server unreachable, and so does one to a
// server that is already marked down.
func TestConcurrentConnectTimeoutsCountOnce(t *testing.T) {
	const timeout = 400 * time.Millisecond
	table := newTestTable("a", "hangs")
	start := time.Now()
	state := func(id string, now time.Time) (usable, suspected bool) {
		for _, r := range table.Snapshot(testService, testModel, 0, now) {
			if r.ID == id {
				return r.Usable, r.Suspected
			}
		}
		t.Fatalf("%s is not in the table", id)
		return false, false
	}
	first := table.Begin("a", Work{}, start)
	concurrent := table.Begin("a", Work{}, start.Add(timeout/2))
	first.End(ConnectTimeout, start.Add(timeout))
	now := start.Add(timeout + timeout/2)
	concurrent.End(ConnectTimeout, now)
	if usable, suspected := state("a", now); !usable || !suspected {
		t.Errorf("after one timeout: usable %t, suspected %t; want both", usable, suspected)
	}
	table.Begin("a", Work{}, now).End(ConnectTimeout, now.Add(timeout))
	if usable, _ := state("a", now.Add(timeout)); usable {
		t.Error("usable after two timeouts, one after the other")
	}
	table.Begin("a", Work{}, now).End(Answered, now.Add(timeout))
	table.Begin("a", Work{}, now.Add(timeout)).End(ConnectTimeout, now.Add(2*timeout))
	if usable, suspected := state("a", now.Add(2*timeout)); !usable || !suspected {
		t.Errorf("one timeout after an answer: usable %t, suspected %t; want both", usable, suspected)
	}
	table.Begin("hangs", Work{}, start).End(Cancelled, start.Add(2*unresponsiveThreshold))
	table.Begin("hangs", Work{}, start.Add(2*unresponsiveThreshold)).End(ConnectTimeout, start.Add(2*unresponsiveThreshold+timeout))
	if usable, _ := state("hangs", start.Add(2*unresponsiveThreshold+timeout)); usable {
		t.Error("a server that was unresponsive and then timed out is usable")
	}
}

// TestSuspectedIsNotUnreachable checks that an unresponsive server remains usable as a last
// resort, while one that cannot be connected to does not.
func TestSuspectedIsNotUnreachable(t *testing.T) {
	table := newTestTable("hangs", "gone")
	now := time.Now()
	table.Begin("hangs", Work{}, now).End(Cancelled, now.Add(2*unresponsiveThreshold))
	table.Begin("gone", Work{}, now).End(Unreachable, now)
	for _, r := range table.Snapshot(testService, testModel, 0, now.Add(2*unresponsiveThreshold)) {
		if r.Usable != (r.ID == "hangs") || !r.Suspected {
			t.Errorf("%s: usable %t, suspected %t", r.ID, r.Usable, r.Suspected)
		}
	}
	table.Reached("gone", true, now)
	for _, r := range table.Snapshot(testService, testModel, 0, now.Add(2*unresponsiveThreshold)) {
		if !r.Usable {
			t.Errorf("%s is not usable though a connection could be opened", r.ID)
		}
	}
}

// TestSnapshotHoldsEachServiceInOrder checks snapshots as servers register, leave and change
// their service.
func TestSnapshotHoldsEachServiceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(quietLog(), func(string, string) {})
		want := map[string]string{}
		for i := range rapid.IntRange(0, 40).Draw(t, "steps") {
			id := fmt.Sprint("i-", rapid.IntRange(0, 6).Draw(t, "server"))
			if rapid.Bool().Draw(t, "leaves") {
				table.Remove(id, true)
				delete(want, id)
				continue
			}
			want[id] = rapid.SampledFrom([]string{"reader", "writer"}).Draw(t, "service")
			table.Register(platform.Registration{ID: id, Service: want[id], Address: "10.0.0.1:1", Slots: 1}, int64(i))
		}
		for _, service := range []string{"reader", "writer"} {
			var ids, expected []string
			for _, r := range table.Snapshot(service, "", 0, time.Now()) {
				ids = append(ids, r.ID)
			}
			for id, s := range want {
				if s == service {
					expected = append(expected, id)
				}
			}
			sort.Strings(expected)
			if !slices.Equal(ids, expected) {
				t.Fatalf("%s: %v, want %v", service, ids, expected)
			}
		}
	})
}

// BenchmarkEndpoints measures the call that each routing host makes every 200 ms to follow
// the servers' caches.
func BenchmarkEndpoints(b *testing.B) {
	table := newTestTable(manyIDs()...)
	for b.Loop() {
		table.Endpoints()
	}
}

// BenchmarkOutdated measures the call that each host makes every 60 ms while all weights are
// up to date.
func BenchmarkOutdated(b *testing.B) {
	table := newTestTable(manyIDs()...)
	now := time.Now()
	for b.Loop() {
		table.Outdated(now)
	}
}

// manyIDs returns the IDs of the servers of a large fleet.
func manyIDs() []string {
	ids := make([]string, 1000)
	for i := range ids {
		ids[i] = fmt.Sprint("i-", i)
	}
	return ids
}
