package replica

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/platform"

	_ "github.com/briarlink/briarlink/test/fixedseed"
)

// link is what a host reaches, and the state of each server behind it.
type link struct {
	cut  bool
	down map[string]bool
	// swallows is set if connections open and nothing comes back, answerTime is the time of an answer to a
	// health check, and othersReach is set if other hosts get answers.
	swallows   bool
	answerTime time.Duration
	// slow servers accept requests and answer none, but answer health checks.
	slow map[string]bool
	// paused servers answer nothing until then.
	paused      map[string]time.Time
	pending     []pendingAnswer
	othersReach bool
}

func (l *link) reaches(id string) bool { return !l.cut && !l.down[id] }

// pendingAnswer is what a paused server does at the first step from a time on. Thousands of timers at the same moment, one
// goroutine each, are more than the race detector bears.
type pendingAnswer struct {
	at time.Time
	do func()
}

func (l *link) later(wait time.Duration, do func()) {
	l.pending = append(l.pending, pendingAnswer{time.Now().Add(wait), do})
}

// play plays a step and the 100 ms until the next one.
func (l *link) play(t *Table, targets []string) {
	l.step(t, targets)
	time.Sleep(100 * time.Millisecond)
}

// step sends a request to each of the given servers and runs the probes that are due, as a host does
// every 100 ms. Connections that fail time out after 400 ms.
func (l *link) step(t *Table, targets []string) {
	const connectTimeout, requestTimeout, pausedDeadline = 400 * time.Millisecond, 2 * time.Second, time.Second
	answered := func(f *Flight) {
		f.AnswerStarted(time.Now())
		f.End(Answered, time.Now())
	}
	l.pending = slices.DeleteFunc(l.pending, func(p pendingAnswer) bool {
		due := !time.Now().Before(p.at)
		if due {
			p.do()
		}
		return due
	})
	for _, id := range targets {
		f := t.Begin(id, Work{Expected: 30 * time.Millisecond}, time.Now())
		if f == nil {
			continue
		}
		if l.swallows || l.slow[id] {
			time.AfterFunc(requestTimeout, func() { f.End(Cancelled, time.Now()) })
			continue
		}
		if l.reaches(id) {
			switch wait := time.Until(l.paused[id]); {
			case wait > pausedDeadline:
				l.later(pausedDeadline, func() { f.End(Cancelled, time.Now()) })
				continue
			case wait > 0:
				l.later(wait, func() { answered(f) })
				continue
			}
			answered(f)
			continue
		}
		time.AfterFunc(connectTimeout, func() { f.End(ConnectTimeout, time.Now()) })
	}
	for _, p := range t.TakeContactProbes(time.Now()) {
		began := time.Now()
		if p.Ask {
			t.RecordContactAsked(p.ID, began)
		}
		switch {
		case !l.reaches(p.ID):
			time.AfterFunc(connectTimeout, func() { t.RecordContactProbe(p.ID, false, began, time.Now()) })
		case !p.Ask:
			t.RecordContactProbe(p.ID, true, began, time.Now())
		case !l.swallows && time.Until(l.paused[p.ID]) > 0:
			l.later(time.Until(l.paused[p.ID]), func() { t.RecordContactAnswer(p.ID, began, time.Now()) })
		case !l.swallows:
			time.AfterFunc(l.answerTime, func() { t.RecordContactAnswer(p.ID, began, time.Now()) })
		}
	}
	for service := range t.SilentServices(time.Now()) {
		if l.othersReach {
			t.LoseContact(service, time.Now())
		}
	}
	_, due := t.DownServers(time.Now())
	for id := range due {
		t.Reached(id, l.reaches(id), time.Now())
	}
}

// TestContactIsLostOnlyWhenNoServerIsReached guards against a host that takes itself for cut off
// because some servers fail, and against one that does not notice within 3 s that it is.
func TestContactIsLostOnlyWhenNoServerIsReached(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		servers := rapid.SampledFrom([]int{2, 4, 12, 60, 400}).Draw(rt, "servers")
		requestsPerTick := rapid.IntRange(1, 4).Draw(rt, "requests")
		share := rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.5}).Draw(rt, "down")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = playCut(servers, requestsPerTick, share) })
		// Within the bubble, which has a goroutine of its own, Fatal would end the test binary with a panic.
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// playCut cuts a host off from servers of which a share is down, and returns what is wrong, or "".
func playCut(servers, requestsPerTick int, share float64) string {
	table, l := manyServers(servers), &link{down: map[string]bool{}}
	for i := range int(share * float64(servers)) {
		l.down[fmt.Sprintf("i-%05d", i)] = true
	}
	next := 0
	tick := func() {
		var targets []string
		for range requestsPerTick {
			targets = append(targets, fmt.Sprintf("i-%05d", next%servers))
			next += 7
		}
		l.play(table, targets)
	}
	for range 60 {
		tick()
		if table.LostContact("writer") {
			return fmt.Sprintf("%d servers, %d down: contact lost although the others are reached", servers, len(l.down))
		}
	}
	l.cut = true
	for range 30 {
		tick()
	}
	if !table.LostContact("writer") {
		return fmt.Sprintf("%d servers, %d down: contact not lost 3 s after a cut", servers, len(l.down))
	}
	l.cut = false
	for range 10 {
		tick()
	}
	if table.LostContact("writer") {
		return fmt.Sprintf("%d servers, %d down: contact not regained 1 s after the cut", servers, len(l.down))
	}
	return ""
}

// TestHostCutOffFromServersDoesNotReportThemDown guards against hosts that avoid sound servers because
// a host that reaches none of them reports all of them down: servers in use fell from 13 to 8.
func TestHostCutOffFromServersDoesNotReportThemDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers = 12
		table, l := manyServers(servers), &link{}
		play := func(ticks int) {
			for i := range ticks {
				l.play(table, []string{fmt.Sprintf("i-%05d", i%servers), fmt.Sprintf("i-%05d", (i+5)%servers)})
				down, _ := table.DownServers(time.Now())
				if l.cut && len(down) > 0 {
					t.Fatalf("%d ms into the cut: reported down: %v", i*100, down)
				}
			}
		}
		play(10)
		l.cut = true
		play(50)
		l.cut = false
		play(10)
		l.down = map[string]bool{"i-00003": true}
		play(20)
		if down, _ := table.DownServers(time.Now()); len(down) != 1 || down[0] != "i-00003" {
			t.Errorf("reported down after the cut: %v, want the server that is", down)
		}
	})
}

// TestHostCutOffFromServersDoesNotReportFailures guards against routing by failures that are those of
// a host's own links: all hosts add up the failures that each reports.
func TestHostCutOffFromServersDoesNotReportFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers = 12
		table, l := manyServers(servers), &link{}
		failures := func() int32 {
			sum := int32(0)
			for _, load := range table.Loads(time.Now()) {
				sum += load.Failed
			}
			return sum
		}
		for i := range 60 {
			l.cut = i >= 10 && i < 50
			l.play(table, []string{fmt.Sprintf("i-%05d", i%servers), fmt.Sprintf("i-%05d", (i+5)%servers)})
			if n := failures(); n > 0 {
				t.Fatalf("after %d ms, cut %v: %d failures reported", i*100, l.cut, n)
			}
		}
		l.down = map[string]bool{"i-00003": true}
		for i := range 10 {
			l.play(table, []string{"i-00003", fmt.Sprintf("i-%05d", 4+i%5)})
		}
		if n := failures(); n == 0 {
			t.Error("no failure of a server reported that is down")
		}
	})
}

// TestCutFromServersIsNoCrash guards against requests that are quarantined because the host that ran
// them was cut off from sound servers: connections break, and new ones are refused.
func TestCutFromServersIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers = 4
		table := manyServers(servers)
		crashes := 0
		table.OnCrash = func(quarantine.Server, []quarantine.Fingerprint, time.Time) { crashes++ }
		var flights []*Flight
		for i := range servers {
			flights = append(flights, table.Begin(fmt.Sprintf("i-%05d", i), Work{Fingerprint: quarantine.Fingerprint{Request: 7}}, time.Now()))
		}
		time.Sleep(10 * time.Millisecond)
		for _, f := range flights {
			f.ConnectionBroken(time.Now())
			f.End(Lost, time.Now())
		}
		for id, address := range table.TakeProbeTargets() {
			table.ConnectionRefused(id, address, time.Now())
			table.Reached(id, false, time.Now())
		}
		time.Sleep(time.Second)
		for i := range servers {
			table.Reached(fmt.Sprintf("i-%05d", i), true, time.Now())
		}
		if crashes > 0 {
			t.Errorf("a cut from %d servers counts as %d crashes", servers, crashes)
		}
	})
}

// TestCutFromServersLeavesNoVersionWithoutServers guards against a canary release that is rolled back
// because the host that decides about it is cut off: servers of the new version seemed to be missing.
func TestCutFromServersLeavesNoVersionWithoutServers(t *testing.T) {
	const servers = 4
	table, now := manyServers(servers), time.Now()
	table.RecordContactProbe("i-00000", true, now, now)
	ready := func() int {
		n := 0
		for _, v := range table.Versions("writer", now) {
			n += v.Servers
		}
		return n
	}
	table.Reached("i-00001", false, now.Add(time.Millisecond))
	table.RecordContactProbe("i-00000", true, now.Add(2*time.Millisecond), now.Add(2*time.Millisecond))
	if got := ready(); got != servers-1 {
		t.Errorf("%d servers ready, want all but the one that is down", got)
	}
	for i := range servers {
		table.Reached(fmt.Sprintf("i-%05d", i), false, now.Add(time.Second))
	}
	if got := ready(); got != servers {
		t.Errorf("%d servers ready while this host is cut off from all, want %d", got, servers)
	}
}

// TestContactIsLostWhenAllOpenRequestsBreak guards against a busy host that does not notice a cut which
// resets its connections: requests run at every server, and others were answered since these began.
func TestContactIsLostWhenAllOpenRequestsBreak(t *testing.T) {
	const servers = 4
	table, now := manyServers(servers), time.Now()
	var running []*Flight
	for i := range servers {
		running = append(running, table.Begin(fmt.Sprintf("i-%05d", i), Work{}, now))
	}
	answered := table.Begin("i-00000", Work{}, now)
	answered.AnswerStarted(now.Add(10 * time.Millisecond))
	answered.End(Answered, now.Add(10*time.Millisecond))
	cut := now.Add(20 * time.Millisecond)
	for i, f := range running {
		f.ConnectionBroken(cut)
		f.End(Lost, cut)
		table.Reached(fmt.Sprintf("i-%05d", i), false, cut.Add(time.Millisecond))
	}
	if !table.LostContact("writer") {
		t.Error("contact not lost although all connections broke and new ones fail")
	}
}

// TestContactIsLostWhenNothingAnswers guards against a host whose requests all end at their deadlines, as
// connections open and nothing comes back, and against contact that flaps meanwhile.
func TestContactIsLostWhenNothingAnswers(t *testing.T) {
	for _, servers := range []int{1, 2, 12, 60} {
		synctest.Test(t, func(t *testing.T) {
			table, l := manyServers(servers), &link{othersReach: true}
			play := func(ticks int, each func()) {
				for i := range ticks {
					l.play(table, []string{fmt.Sprintf("i-%05d", i%servers), fmt.Sprintf("i-%05d", i*7%servers)})
					each()
				}
			}
			play(10, func() {})
			l.swallows = true
			play(30, func() {})
			play(60, func() {
				if !table.LostContact("writer") {
					t.Fatalf("%d servers: contact not lost, or regained, while nothing answers", servers)
				}
				if down, _ := table.DownServers(time.Now()); len(down) > 0 {
					t.Fatalf("%d servers: reported down by a host that is cut off: %v", servers, down)
				}
			})
			l.swallows = false
			play(10, func() {})
			if table.LostContact("writer") {
				t.Errorf("%d servers: contact not regained 1 s after the cut", servers)
			}
		})
	}
}

// TestContactIsCheckedWhileAStreamStalls guards against a host that finds out that it is cut off only with
// its next request: until then, a stream without events had kept its only caller waiting for 3 s.
func TestContactIsCheckedWhileAStreamStalls(t *testing.T) {
	for name, l := range map[string]*link{
		"new connections fail": {cut: true},
		"nothing comes back":   {swallows: true, othersReach: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			table := manyServers(4)
			f := table.Begin("i-00000", Work{}, time.Now())
			for range 5 {
				(&link{}).play(table, nil)
				f.AnswerStarted(time.Now())
			}
			for range 27 {
				l.play(table, nil)
			}
			if !table.LostContact("writer") {
				t.Errorf("%s: contact not lost 2.7 s after the last event of a stream", name)
			}
		})
	}
}

// TestStalledStreamsCauseFewHealthChecks guards against health checks without end, as a stream also stalls
// when its caller reads slowly, and against any while the service answers.
func TestStalledStreamsCauseFewHealthChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, asked := manyServers(4), 0
		play := func(ticks int, each func()) {
			for range ticks {
				each()
				table.DownServers(time.Now())
				for _, p := range table.TakeContactProbes(time.Now()) {
					asked++
					table.RecordContactAsked(p.ID, time.Now())
					table.RecordContactAnswer(p.ID, time.Now(), time.Now())
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		f := table.Begin("i-00000", Work{}, time.Now())
		f.AnswerStarted(time.Now())
		play(100, func() {
			other := table.Begin("i-00001", Work{}, time.Now())
			other.AnswerStarted(time.Now())
			other.End(Answered, time.Now())
		})
		if asked > 0 {
			t.Errorf("%d health checks while the service answers, want none", asked)
		}
		play(100, func() {})
		if asked == 0 || asked > 4 {
			t.Errorf("%d health checks in a stall of 10 s, want one to each of four servers at the most", asked)
		}
		if table.LostContact("writer") {
			t.Error("contact lost though servers answer health checks")
		}
	})
}

// TestSlowServersAreNoLoss guards against a host that passes its callers' requests on because servers are
// slow, or because some hang, while others answer; and because all hang, at all hosts.
func TestSlowServersAreNoLoss(t *testing.T) {
	for name, l := range map[string]*link{
		"slow health checks":  {othersReach: true, answerTime: time.Second, slow: map[string]bool{"i-00000": true, "i-00001": true, "i-00002": true, "i-00003": true}},
		"some servers hang":   {othersReach: true, slow: map[string]bool{"i-00000": true, "i-00001": true}},
		"no other host does":  {swallows: true},
		"one server is down":  {othersReach: true, down: map[string]bool{"i-00002": true}, slow: map[string]bool{"i-00001": true}},
		"nothing is the case": {othersReach: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			const servers = 4
			table := manyServers(servers)
			for i := range 80 {
				l.play(table, []string{fmt.Sprintf("i-%05d", i%servers)})
				table.DownServers(time.Now())
				if table.LostContact("writer") {
					t.Fatalf("%s: contact lost after %d ms", name, i*100)
				}
			}
		})
	}
}

// TestOldAnswersDoNotRegainContact guards against contact that is regained by an answer to a request that was
// sent before the cut, or by connections that open.
func TestOldAnswersDoNotRegainContact(t *testing.T) {
	const servers = 3
	table, now := manyServers(servers), time.Now()
	old := table.Begin("i-00000", Work{}, now)
	cut := now.Add(100 * time.Millisecond)
	for i := range servers {
		table.Reached(fmt.Sprintf("i-%05d", i), false, cut)
	}
	later := cut.Add(time.Second)
	old.AnswerStarted(later)
	old.End(Answered, later)
	table.Reached("i-00001", true, later)
	table.RecordContactProbe("i-00002", true, later, later)
	table.RecordContactAnswer("i-00001", now, later)
	if !table.LostContact("writer") {
		t.Fatal("contact regained without an answer to anything sent after it was lost")
	}
	table.RecordContactAnswer("i-00001", cut, later)
	if table.LostContact("writer") {
		t.Error("contact not regained by an answer")
	}
}

// TestProbesSpareLimitedServers guards against a host that is cut off and spends the permits for servers that limit
// their requests on health checks.
func TestProbesSpareLimitedServers(t *testing.T) {
	const servers = 2
	table, now := manyServers(servers), time.Now()
	f := table.Begin("i-00000", Work{}, now)
	f.RecordNotice(platform.ReplicaAnswer{Sealed: true, LimitsRequests: true, RequestLimit: 2}, now)
	f.End(Answered, now)
	for i := range servers {
		table.Reached(fmt.Sprintf("i-%05d", i), false, now.Add(time.Millisecond))
	}
	asked := map[string]int{}
	for at := 200 * time.Millisecond; at < 6200*time.Millisecond; at += 100 * time.Millisecond {
		for _, p := range table.TakeContactProbes(now.Add(at)) {
			asked[p.ID]++
		}
	}
	if asked["i-00000"] != 2 || asked["i-00001"] < 18 {
		t.Errorf("health checks in 6 s: %v, want two of the server with a limit", asked)
	}
}

// TestManyServersAreAskedWhileContactIsLost guards against a host that stays cut off for a second after a cut
// because the few servers that it asks are down: with half of 400 down it missed that 1 in 600 times.
func TestManyServersAreAskedWhileContactIsLost(t *testing.T) {
	const servers = 400
	table, now := manyServers(servers), time.Now()
	for i := range servers {
		table.Reached(fmt.Sprintf("i-%05d", i), false, now)
	}
	if !table.LostContact("writer") {
		t.Fatal("contact not lost")
	}
	asked := 0
	for at := 200 * time.Millisecond; at < 1200*time.Millisecond; at += 100 * time.Millisecond {
		asked += len(table.TakeContactProbes(now.Add(at)))
	}
	if asked < 12 || asked > 20 {
		t.Errorf("%d health checks in a second, want 12 to 20", asked)
	}
}
