package replica

import (
	"slices"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/quarantine"
)

// crashFixture is a table with the servers a and b that collects the reported crashes.
type crashFixture struct {
	*Table
	servers  []quarantine.Server
	requests []quarantine.Digest
}

func newCrashFixture() *crashFixture {
	w := &crashFixture{Table: NewTable(quietLog(), func(string, string) {})}
	w.OnCrash = func(server quarantine.Server, running []quarantine.Fingerprint, _ time.Time) {
		w.servers = append(w.servers, server)
		for _, f := range running {
			w.requests = append(w.requests, f.Request)
		}
	}
	w.Register(registrationOf(1000, 1), 0)
	other := registrationOf(1000, 1)
	other.ID, other.Address = "b", "10.0.0.2:1"
	w.Register(other, 0)
	return w
}

// ConnectionRefused records that server a refuses connections while b accepts them.
func (w *crashFixture) ConnectionRefused(id, address string, at time.Time) {
	w.Table.ConnectionRefused(id, address, at)
	w.RecordContactProbe("b", true, at, at)
}

// breakRequest sends a request whose connection breaks at the given time.
func (w *crashFixture) breakRequest(d quarantine.Digest, at time.Time) {
	f := w.Begin("a", Work{Fingerprint: quarantine.Fingerprint{Request: d}, Expected: time.Second}, at.Add(-50*time.Millisecond))
	f.ConnectionBroken(at)
	f.End(Lost, at)
}

const crashAddress = "10.0.0.1:1"

// TestCrashIsAttributedToRunningRequests checks that a crash is attributed to each request
// that broke with the server, even if the connection is seen to break shortly after the
// server ended.
func TestCrashIsAttributedToRunningRequests(t *testing.T) {
	w, now := newCrashFixture(), time.Now()
	late := w.Begin("a", Work{Fingerprint: quarantine.Fingerprint{Request: 3}}, now)
	w.breakRequest(1, now)
	w.breakRequest(2, now)
	if probes := w.TakeProbeTargets(); probes["a"] != crashAddress || len(w.TakeProbeTargets()) != 0 {
		t.Errorf("servers to probe: %v, and then %v", probes, w.TakeProbeTargets())
	}
	w.ConnectionRefused("a", crashAddress, now.Add(20*time.Millisecond))
	late.ConnectionBroken(now.Add(30 * time.Millisecond))
	late.End(Lost, now.Add(30*time.Millisecond))
	slices.Sort(w.requests)
	if !slices.Equal(w.requests, []quarantine.Digest{1, 2, 3}) {
		t.Errorf("requests %v", w.requests)
	}
	for _, s := range w.servers {
		if s != quarantine.ServerOf("a", 1000) {
			t.Errorf("servers %v", w.servers)
		}
	}
}

// TestAbandonedRequestsMayCrashTheirServer checks the window in which a crash is attributed
// to an abandoned request: its host gave up an unresponsive server or its caller left, but
// the server runs the request and crashes shortly after.
func TestAbandonedRequestsMayCrashTheirServer(t *testing.T) {
	for after, want := range map[time.Duration]int{abandonedCrashWindow - time.Millisecond: 1, abandonedCrashWindow: 0} {
		w, now := newCrashFixture(), time.Now()
		f := w.Begin("a", Work{Fingerprint: quarantine.Fingerprint{Request: 1}}, now)
		f.Abandoned(now)
		f.End(Cancelled, now)
		w.ConnectionRefused("a", crashAddress, now.Add(after))
		if len(w.requests) != want {
			t.Errorf("crash %v after the end of the exchange is attributed to %d requests, want %d", after, len(w.requests), want)
		}
	}
}

// TestEntryChangeRevealsCrash checks that a crash is noticed from the server's entry alone,
// which is removed or shows a newer incarnation of the same ID.
func TestEntryChangeRevealsCrash(t *testing.T) {
	for name, removeOrRestart := range map[string]func(*crashFixture){
		"removed":       func(w *crashFixture) { w.Remove("a", true) },
		"started again": func(w *crashFixture) { w.Register(registrationOf(2000, 1), 1) },
		"misdirected":   func(w *crashFixture) { w.RemoveAt("a", crashAddress) },
	} {
		w := newCrashFixture()
		w.breakRequest(1, time.Now())
		removeOrRestart(w)
		if !slices.Equal(w.requests, []quarantine.Digest{1}) || w.servers[0] != quarantine.ServerOf("a", 1000) {
			t.Errorf("%s: servers %v, requests %v", name, w.servers, w.requests)
		}
	}
}

// TestBrokenConnectionAloneIsNoCrash checks that a broken connection is not taken for a
// crash if the server answers later requests, leaves as announced, or ends long after.
func TestBrokenConnectionAloneIsNoCrash(t *testing.T) {
	now := time.Now()
	for name, later := range map[string]func(*crashFixture){
		"answers": func(w *crashFixture) {
			f := w.Begin("a", Work{Fingerprint: quarantine.Fingerprint{Request: 9}}, now.Add(time.Millisecond))
			f.AnswerStarted(now.Add(2 * time.Millisecond))
			f.End(Answered, now.Add(3*time.Millisecond))
			w.ConnectionRefused("a", crashAddress, now.Add(time.Second))
		},
		"leaves": func(w *crashFixture) {
			draining := registrationOf(1000, 1)
			draining.Draining = true
			w.Register(draining, 1)
			w.Remove("a", true)
		},
		"ends later":    func(w *crashFixture) { w.ConnectionRefused("a", crashAddress, now.Add(crashWindow)) },
		"has moved":     func(w *crashFixture) { w.ConnectionRefused("a", "10.0.0.9:1", now) },
		"is not looked": func(w *crashFixture) { w.TakeProbeTargets() },
	} {
		w := newCrashFixture()
		w.breakRequest(1, now)
		later(w)
		if len(w.requests) != 0 {
			t.Errorf("%s: the crash is attributed to %v", name, w.requests)
		}
	}
}

// TestAnswerUntilCloseCountsOnceTheServerLivesOn guards against a request that crashes servers and is
// taken for answered each time: an answer that ends with its connection looks complete when its server
// crashes between two events. It counts after a sign of life, and otherwise the request was running
// when the server crashed.
func TestAnswerUntilCloseCountsOnceTheServerLivesOn(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		next              func(w *crashFixture)
		answered, crashed int
	}{
		"nothing yet":            {func(w *crashFixture) { w.ConfirmAnswers(now.Add(crashWindow - time.Millisecond)) }, 0, 0},
		"no crash in the window": {func(w *crashFixture) { w.ConfirmAnswers(now.Add(crashWindow)) }, 1, 0},
		"accepts a connection":   {func(w *crashFixture) { w.ProbeAnswered("a", crashAddress, now.Add(time.Millisecond)) }, 1, 0},
		"accepted one before":    {func(w *crashFixture) { w.ProbeAnswered("a", crashAddress, now) }, 0, 0},
		"answers a later request": {func(w *crashFixture) {
			w.Begin("a", Work{}, now.Add(time.Millisecond)).AnswerStarted(now.Add(2 * time.Millisecond))
		}, 1, 0},
		"answers an earlier request": {func(w *crashFixture) {
			w.Begin("a", Work{}, now.Add(-time.Millisecond)).AnswerStarted(now.Add(2 * time.Millisecond))
		}, 0, 0},
		"refuses connections": {func(w *crashFixture) {
			w.ConnectionRefused("a", crashAddress, now.Add(50*time.Millisecond))
			w.ConfirmAnswers(now.Add(crashWindow))
		}, 0, 1},
		"its entry is removed": {func(w *crashFixture) {
			w.Remove("a", true)
			w.ConfirmAnswers(now.Add(crashWindow))
		}, 0, 1},
	} {
		w := newCrashFixture()
		answered := 0
		w.OnAnswered = func(quarantine.Fingerprint, time.Time) { answered++ }
		f := w.Begin("a", Work{Fingerprint: quarantine.Fingerprint{Request: 1}}, now.Add(-50*time.Millisecond))
		f.AnswerStarted(now.Add(-10 * time.Millisecond))
		f.AnsweredUntilClose(false, now)
		f.End(Answered, now)
		c.next(w)
		if answered != c.answered || len(w.requests) != c.crashed {
			t.Errorf("%s: answered %d times, in %d crashes", name, answered, len(w.requests))
		}
	}
}
