package quarantine

import (
	"testing"

	"github.com/briarlink/briarlink/platform"
)

// kept returns a record as the store gives it back.
func kept(t *testing.T, q platform.QuarantineRecord) platform.QuarantineRecord {
	t.Helper()
	out, ok, err := platform.DecodeQuarantine(q.Encode())
	if !ok || err != nil {
		t.Fatal(ok, err)
	}
	return out
}

// TestCrashesAreKept: a host that sees the second crash under a request keeps both in the
// store, and the third; one that starts with nothing else adds to them; the first answer
// takes them out again. Hosts that were only told write nothing.
func TestCrashesAreKept(t *testing.T) {
	seer, told := newTable(), newTable()
	var record platform.QuarantineRecord
	for i, want := range []int{0, 2, 3} {
		seer.Crashed(Server(10+i), []Digest{poison, innocent + Digest(i)}, at(float64(i)))
		told.Heard(seer.Changes(at(float64(i)), true), at(float64(i)))
		unsaved := seer.Unsaved()
		if want == 0 && len(unsaved) == 0 {
			continue
		}
		if len(unsaved) != 1 || len(seer.Dirty) != 1 {
			t.Fatalf("after %d crashes: %d records to be kept", i+1, len(unsaved))
		}
		<-seer.Dirty
		record = kept(t, unsaved[0])
		seer.Saved(unsaved[0])
		if len(record.Crashes) != want || len(seer.Unsaved()) != 0 {
			t.Errorf("after %d crashes: %d kept", i+1, len(record.Crashes))
		}
		started := newTable()
		if old := started.Load(record, at(5)); old || (started.Refused(poison, at(5)) > 0) != (want == maxCrashes) {
			t.Errorf("a started host takes %d kept crashes for old, or for another number", want)
		}
	}
	if told.Count(at(3)) != 1 || len(told.Unsaved()) != 0 {
		t.Error("a host that was told writes too, or does not refuse")
	}
	started := newTable()
	started.Load(record, at(5))
	started.Answered(poison, at(6))
	cleared := started.Unsaved()
	if len(cleared) != 1 || !cleared[0].Encode().Removed {
		t.Errorf("after an answer: %+v", cleared)
	}
	if old := newTable().Load(kept(t, cleared[0]), at(7)); old {
		t.Error("a removal is taken for an old record")
	}
	if old := newTable().Load(record, at(4).Add(forgetAfter)); !old {
		t.Error("an old record is not told apart")
	}
}

// TestWhatIsSeenWhileTheStoreIsWrittenIsKept: the third crash comes while the first two are
// on their way to the store.
func TestWhatIsSeenWhileTheStoreIsWrittenIsKept(t *testing.T) {
	table := newTable()
	table.Crashed(10, []Digest{poison}, at(0))
	table.Crashed(11, []Digest{poison}, at(1))
	written := table.Unsaved()[0]
	table.Crashed(12, []Digest{poison}, at(2))
	table.Saved(written)
	if left := table.Unsaved(); len(left) != 1 || len(left[0].Crashes) != 3 || len(table.Dirty) != 1 {
		t.Errorf("still to be kept: %+v", left)
	}
}

// TestClocksOfOtherHostsMayBeWrong: crashes that lie ahead by this host's clock count as of
// now, so that a request is not refused for longer than holdFor from here on.
func TestClocksOfOtherHostsMayBeWrong(t *testing.T) {
	table := newTable()
	q := platform.QuarantineRecord{Digest: uint64(poison)}
	for i := range 3 {
		q.Crashes = append(q.Crashes, platform.CrashRecord{Server: uint64(10 + i), AtMs: at(3600).UnixMilli()})
	}
	table.Load(q, at(0))
	if table.Refused(poison, at(0)) == 0 || table.Refused(poison, at(0).Add(holdFor)) != 0 {
		t.Error("refused for another time than holdFor")
	}
}
