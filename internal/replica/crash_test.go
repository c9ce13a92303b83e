package replica

import (
	"slices"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/quarantine"
)

// crashWorld is a table with one server, a, and what it tells of crashes.
type crashWorld struct {
	*Table
	servers  []quarantine.Server
	requests []quarantine.Digest
}

func newCrashWorld() *crashWorld {
	w := &crashWorld{Table: NewTable(quietLog(), func(string, string) {})}
	w.Crashed = func(server quarantine.Server, requests []quarantine.Digest, _ time.Time) {
		w.servers = append(w.servers, server)
		w.requests = append(w.requests, requests...)
	}
	w.Register(startOf(1000, 1), 0)
	return w
}

// breaks sends a request whose connection breaks at a moment.
func (w *crashWorld) breaks(d quarantine.Digest, at time.Time) {
	f := w.Begin("a", Work{Digest: d, Expected: time.Second}, at.Add(-50*time.Millisecond))
	f.Broke(at)
	f.End(Lost, at)
}

const crashAddress = "10.0.0.1:1"

// TestCrashIsPutDownToWhatRan: every request that broke with the server, also one whose end
// shows a little after the server's, counts that one start.
func TestCrashIsPutDownToWhatRan(t *testing.T) {
	w, now := newCrashWorld(), time.Now()
	late := w.Begin("a", Work{Digest: 3}, now)
	w.breaks(1, now)
	w.breaks(2, now)
	if look := w.Broken(); look["a"] != crashAddress || len(w.Broken()) != 0 {
		t.Errorf("to be looked at: %v, and then %v", look, w.Broken())
	}
	w.ConnectionRefused("a", crashAddress, now.Add(20*time.Millisecond))
	late.Broke(now.Add(30 * time.Millisecond))
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

// TestAbandonedRequestsMayCrashTheirServer: a host gives a silent server up, or a caller
// leaves, and the server begins to run the request and crashes just then.
func TestAbandonedRequestsMayCrashTheirServer(t *testing.T) {
	for after, want := range map[time.Duration]int{abandonedWithin - time.Millisecond: 1, abandonedWithin: 0} {
		w, now := newCrashWorld(), time.Now()
		f := w.Begin("a", Work{Digest: 1}, now)
		f.Abandoned(now)
		f.End(Cancelled, now)
		w.ConnectionRefused("a", crashAddress, now.Add(after))
		if len(w.requests) != want {
			t.Errorf("crash %v after the end of the exchange: %d requests are blamed, want %d", after, len(w.requests), want)
		}
	}
}

// TestEntryTellsOfACrash where nothing else does: it is removed, or names a newer start
// under the same ID.
func TestEntryTellsOfACrash(t *testing.T) {
	for name, gone := range map[string]func(*crashWorld){
		"removed":       func(w *crashWorld) { w.Remove("a", true) },
		"started again": func(w *crashWorld) { w.Register(startOf(2000, 1), 1) },
		"misdirected":   func(w *crashWorld) { w.RemoveAt("a", crashAddress) },
	} {
		w := newCrashWorld()
		w.breaks(1, time.Now())
		gone(w)
		if !slices.Equal(w.requests, []quarantine.Digest{1}) || w.servers[0] != quarantine.ServerOf("a", 1000) {
			t.Errorf("%s: servers %v, requests %v", name, w.servers, w.requests)
		}
	}
}

// TestBrokenConnectionAloneIsNoCrash: the server answers later requests, leaves as it said,
// or ends long after.
func TestBrokenConnectionAloneIsNoCrash(t *testing.T) {
	now := time.Now()
	for name, later := range map[string]func(*crashWorld){
		"answers": func(w *crashWorld) {
			f := w.Begin("a", Work{Digest: 9}, now.Add(time.Millisecond))
			f.First(now.Add(2 * time.Millisecond))
			f.End(Answered, now.Add(3*time.Millisecond))
			w.ConnectionRefused("a", crashAddress, now.Add(time.Second))
		},
		"leaves": func(w *crashWorld) {
			draining := startOf(1000, 1)
			draining.Draining = true
			w.Register(draining, 1)
			w.Remove("a", true)
		},
		"ends later":    func(w *crashWorld) { w.ConnectionRefused("a", crashAddress, now.Add(crashWithin)) },
		"has moved":     func(w *crashWorld) { w.ConnectionRefused("a", "10.0.0.9:1", now) },
		"is not looked": func(w *crashWorld) { w.Broken() },
	} {
		w := newCrashWorld()
		w.breaks(1, now)
		later(w)
		if len(w.requests) != 0 {
			t.Errorf("%s: %v are blamed", name, w.requests)
		}
	}
}
