package replica

import (
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/platform"
)

// reportedAge returns the age that a table reports for a version, or -1 if it reports none.
func reportedAge(t *Table, version int64, now time.Time) time.Duration {
	for _, w := range t.NamedVersions(now) {
		if w.Model == testModel && w.Version == version {
			return time.Duration(w.AgeMs) * time.Millisecond
		}
	}
	return -1
}

// TestEarliestReportOfANamingCounts checks that hosts keep the age of a version although each
// report takes some time: if the latest naming time counted, the age would shrink with each
// exchange. If operators write a version again, its age does not start anew, and a version
// that was found without a naming time does not get one.
func TestEarliestReportOfANamingCounts(t *testing.T) {
	start := time.Now()
	at := func(s time.Duration) time.Time { return start.Add(s * time.Second) }
	observer, restarted := newTestTable("a"), newTestTable("a")
	observer.Want(testModel, 2, at(0))
	restarted.WantFound(testModel, 2, at(3))
	restarted.Want(testModel, 2, at(4))
	if got := reportedAge(restarted, 2, at(4)); got != -1 {
		t.Errorf("a version with unknown naming time is reported as named %v ago", got)
	}
	for range 5 {
		for _, w := range observer.NamedVersions(at(4)) {
			restarted.ApplyNamed(w, at(5))
		}
		for _, w := range restarted.NamedVersions(at(5)) {
			observer.ApplyNamed(w, at(6))
		}
	}
	receiver := newTestTable("a")
	receiver.ApplyNamed(&pb.NamedWeights{Model: testModel, Version: 2, AgeMs: -5000}, at(6))
	if got := reportedAge(receiver, 2, at(8)); got != 2*time.Second {
		t.Errorf("named %v ago by a report with a negative age, want 2s", got)
	}
	// Versions only increase: a record of an older one says nothing about a superseded
	// version.
	observer.Want(testModel, 1, at(6))
	observer.Want(testModel, 2, at(6))
	if got := reportedAge(observer, 2, at(8)); got != 8*time.Second {
		t.Errorf("named %v ago by the host that observed it, want 8s", got)
	}
	// The report took one second.
	if got := reportedAge(restarted, 2, at(8)); got != 7*time.Second {
		t.Errorf("named %v ago by the host that received the report, want 7s", got)
	}
}

// TestSupersededVersionIsReported checks that a host that starts learns of superseded
// versions. It finds only the newest, while a replica two versions behind counts as outdated
// since the one between.
func TestSupersededVersionIsReported(t *testing.T) {
	start := time.Now()
	now := start.Add(8 * time.Second)
	observer, restarted := newTestTable("a", "b"), newTestTable("a", "b")
	observer.Want(testModel, 2, start)
	observer.Want(testModel, 3, start.Add(3*time.Second))
	restarted.WantFound(testModel, 3, now)
	for _, w := range observer.NamedVersions(now) {
		if restarted.ApplyNamed(w, now) {
			t.Errorf("version %d is reported as newer than the newest", w.Version)
		}
	}
	restarted.RecordWeights("b", testModel, 2)
	if got := restarted.Wanted(testModel); got != 3 {
		t.Errorf("version %d is wanted, want 3", got)
	}
	for i, want := range []time.Duration{8 * time.Second, 5 * time.Second} {
		if got := restarted.Snapshot(testService, testModel, 1000, now)[i]; got.OutdatedFor != want {
			t.Errorf("%s is outdated for %v, want %v", got.ID, got.OutdatedFor, want)
		}
	}
	// Any writer may add an entry of another service. It must prove neither that a version
	// was held nor that some replica has outdated weights.
	alone := newTestTable("a")
	alone.IsKnownService = func(service string) bool { return service == testService }
	alone.WantFound(testModel, 2, start)
	alone.Register(platform.Registration{ID: "z", Service: "other", Weights: map[string]int64{testModel: 9}}, 9)
	if got := alone.Snapshot(testService, testModel, 1000, now)[0].OutdatedFor; got != 8*time.Second {
		t.Errorf("outdated for %v beside another service's entry, want 8s", got)
	}
	observer.IsKnownService = alone.IsKnownService
	observer.Register(platform.Registration{ID: "z", Service: "other", Weights: map[string]int64{testModel: 0}}, 9)
	// A version that every replica has reached is no longer reported.
	for _, id := range []string{"a", "b"} {
		observer.RecordWeights(id, testModel, 3)
	}
	if got := observer.NamedVersions(now); len(got) != 0 {
		t.Errorf("still reported: %v", got)
	}
}
