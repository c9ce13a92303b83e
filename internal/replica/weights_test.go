package replica

import (
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/platform"
)

// named returns how old a table says that a version is, or -1 where it does not say.
func named(t *Table, version int64, now time.Time) time.Duration {
	for _, w := range t.Named(now) {
		if w.Model == testModel && w.Version == version {
			return time.Duration(w.AgeMs) * time.Millisecond
		}
	}
	return -1
}

// TestOldestWordOfANamingCounts: words are some time on their way, in which hosts would
// talk each other's age down, if the latest time of a naming held. Neither does a version
// that operators write again begin anew, nor one that was found get an age by that.
func TestOldestWordOfANamingCounts(t *testing.T) {
	start := time.Now()
	at := func(s time.Duration) time.Time { return start.Add(s * time.Second) }
	saw, found := newTestTable("a"), newTestTable("a")
	saw.Want(testModel, 2, at(0))
	found.Find(testModel, 2, at(3))
	found.Want(testModel, 2, at(4))
	if got := named(found, 2, at(4)); got != -1 {
		t.Errorf("a version that was found is told as named %v ago", got)
	}
	for range 5 {
		for _, w := range saw.Named(at(4)) {
			found.HeardNamed(w, at(5))
		}
		for _, w := range found.Named(at(5)) {
			saw.HeardNamed(w, at(6))
		}
	}
	told := newTestTable("a")
	told.HeardNamed(&pb.NamedWeights{Model: testModel, Version: 2, AgeMs: -5000}, at(6))
	if got := named(told, 2, at(8)); got != 2*time.Second {
		t.Errorf("named %v ago by a word from the future, want 2s", got)
	}
	// Versions only go up: a record of an older one is no word of what was overtaken.
	saw.Want(testModel, 1, at(6))
	saw.Want(testModel, 2, at(6))
	if got := named(saw, 2, at(8)); got != 8*time.Second {
		t.Errorf("named %v ago by the host that saw it, want 8s", got)
	}
	// A second on the way.
	if got := named(found, 2, at(8)); got != 7*time.Second {
		t.Errorf("named %v ago by the host that was told, want 7s", got)
	}
}

// TestOvertakenVersionIsTold: a host that starts finds only the newest version, while a
// replica two versions behind counts from the one between.
func TestOvertakenVersionIsTold(t *testing.T) {
	start := time.Now()
	now := start.Add(8 * time.Second)
	saw, found := newTestTable("a", "b"), newTestTable("a", "b")
	saw.Want(testModel, 2, start)
	saw.Want(testModel, 3, start.Add(3*time.Second))
	found.Find(testModel, 3, now)
	for _, w := range saw.Named(now) {
		if found.HeardNamed(w, now) {
			t.Errorf("version %d is taken for newer than the newest", w.Version)
		}
	}
	found.Holds("b", testModel, 2)
	if got := found.Wanted(testModel); got != 3 {
		t.Errorf("version %d is wanted, want 3", got)
	}
	for i, want := range []time.Duration{8 * time.Second, 5 * time.Second} {
		if got := found.Snapshot(testService, testModel, 1000, now)[i]; got.Behind != want {
			t.Errorf("%s is behind for %v, want %v", got.ID, got.Behind, want)
		}
	}
	// An entry of another service, which any writer may make, is no proof that a version
	// was held, nor one that some replica lacks it.
	alone := newTestTable("a")
	alone.Known = func(service string) bool { return service == testService }
	alone.Find(testModel, 2, start)
	alone.Register(platform.Registration{ID: "z", Service: "other", Weights: map[string]int64{testModel: 9}}, 9)
	if got := alone.Snapshot(testService, testModel, 1000, now)[0].Behind; got != 8*time.Second {
		t.Errorf("behind for %v beside another service's entry, want 8s", got)
	}
	saw.Known = alone.Known
	saw.Register(platform.Registration{ID: "z", Service: "other", Weights: map[string]int64{testModel: 0}}, 9)
	// What no replica lacks is told no more.
	for _, id := range []string{"a", "b"} {
		saw.Holds(id, testModel, 3)
	}
	if got := saw.Named(now); len(got) != 0 {
		t.Errorf("still told: %v", got)
	}
}
