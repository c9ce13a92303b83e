package quarantine

import (
	"testing"
	"time"

	"github.com/briarlink/briarlink/platform"
)

// storeRoundTrip returns a record as it is read back from the store.
func storeRoundTrip(t *testing.T, q platform.QuarantineRecord) platform.QuarantineRecord {
	t.Helper()
	out, ok, err := platform.DecodeQuarantine(q.Encode())
	if !ok || err != nil {
		t.Fatal(ok, err)
	}
	return out
}

// TestCrashesAreSaved checks that a host which observes the second crash of a request saves
// both, and then the third; that a host which starts from the store alone adds to them; and
// that the first answer removes them. Hosts that only receive reports save nothing.
func TestCrashesAreSaved(t *testing.T) {
	observer, receiver := newTable(), newTable()
	var record platform.QuarantineRecord
	for i, want := range []int{0, 2, 3} {
		observer.Crashed(Server(10+i), running(poison, innocent+Digest(i)), at(float64(i)), at(float64(i)))
		receiver.ApplyReport(observer.Changes(at(float64(i)), true), at(float64(i)))
		unsaved := observer.Unsaved()
		if want == 0 && len(unsaved) == 0 {
			continue
		}
		if len(unsaved) != 1 || len(observer.Dirty) != 1 {
			t.Fatalf("after %d crashes: %d unsaved records", i+1, len(unsaved))
		}
		<-observer.Dirty
		record = storeRoundTrip(t, unsaved[0])
		observer.Saved(unsaved[0])
		if len(record.Crashes) != want || len(observer.Unsaved()) != 0 {
			t.Errorf("after %d crashes: %d saved", i+1, len(record.Crashes))
		}
		started := newTable()
		if expired := started.Load(record, at(5)); expired || (started.Refused(poison, at(5)) > 0) != (want == maxCrashes) {
			t.Errorf("a started host treats %d saved crashes as expired or as another number", want)
		}
	}
	if requests, _ := receiver.Count(at(3)); requests != 1 || len(receiver.Unsaved()) != 0 {
		t.Error("a host that only received reports saves them too, or does not refuse the request")
	}
	started := newTable()
	started.Load(record, at(5))
	started.Answered(Fingerprint{Request: poison}, at(6), at(6))
	cleared := started.Unsaved()
	if len(cleared) != 1 || !cleared[0].Encode().Removed {
		t.Errorf("after an answer: %+v", cleared)
	}
	if expired := newTable().Load(storeRoundTrip(t, cleared[0]), at(7)); expired {
		t.Error("a removal is treated as an expired record")
	}
	if expired := newTable().Load(record, at(4).Add(crashRetention)); !expired {
		t.Error("an expired record is not recognised")
	}
}

// TestCrashesDuringStoreWriteAreSaved checks a third crash that is observed while the first
// two are being written to the store.
func TestCrashesDuringStoreWriteAreSaved(t *testing.T) {
	table := newTable()
	table.Crashed(10, running(poison), at(0), at(0))
	table.Crashed(11, running(poison), at(1), at(1))
	written := table.Unsaved()[0]
	table.Crashed(12, running(poison), at(2), at(2))
	table.Saved(written)
	if left := table.Unsaved(); len(left) != 1 || len(left[0].Crashes) != 3 || len(table.Dirty) != 1 {
		t.Errorf("still unsaved: %+v", left)
	}
}

// TestFutureCrashTimesCountAsNow checks that crashes which lie ahead of this host's clock
// count as of now, so that a request is not refused for longer than refusalDuration from now
// on.
func TestFutureCrashTimesCountAsNow(t *testing.T) {
	table := newTable()
	q := platform.QuarantineRecord{Digest: uint64(poison)}
	for i := range 3 {
		q.Crashes = append(q.Crashes, platform.CrashRecord{Server: uint64(10 + i), AtMs: at(3600).UnixMilli()})
	}
	table.Load(q, at(0))
	if table.Refused(poison, at(0)) == 0 || table.Refused(poison, at(0).Add(refusalDuration)) != 0 {
		t.Error("refused for another time than refusalDuration")
	}
}

// crashSeparately records one crash in each of so many episodes of requests with a block.
func crashSeparately(t *Table, block Digest, crashes int) {
	for i := range crashes {
		t.Crashed(Server(10+i), []Fingerprint{{Request: Digest(100 + i), Blocks: []Digest{block}}}, at(float64(i)), at(float64(i)))
	}
}

func refusesBlock(t *Table, block Digest, now time.Time) bool {
	_, refused := t.Check(Fingerprint{Request: innocent, Blocks: []Digest{block}}, now)
	return refused
}

// TestRefusedBlockSurvivesPowerLoss guards against a fleet that loses power and then lets servers crash
// under a block that it had refused, and against one host that does after its restart.
func TestRefusedBlockSurvivesPowerLoss(t *testing.T) {
	const block = Digest(7)
	observer := newTable()
	crashSeparately(observer, block, minBlockEpisodes)
	fromStore, fromPeer := NewTable(observer.log, at(5)), NewTable(observer.log, at(5))
	for _, q := range observer.Unsaved() {
		fromStore.Load(storeRoundTrip(t, q), at(5))
	}
	fromPeer.ApplyReport(observer.Changes(at(5), true), at(5))
	for name, table := range map[string]*Table{"the observer": observer, "one that reads the store": fromStore, "one that has a report": fromPeer} {
		if !refusesBlock(table, block, at(5)) {
			t.Errorf("%s does not refuse the block", name)
		}
	}
	fromPeer.Answered(Fingerprint{Blocks: []Digest{block}}, at(6), at(6))
	fromPeer.ApplyReport(observer.Changes(at(6), true), at(6))
	if refusesBlock(fromPeer, block, at(6)) {
		t.Error("refused after an answer")
	}
}

// TestStartedHostsDoNotTakeBlocksForUnanswered guards against fleets that lose power and then refuse
// the block of a sixth of all requests, as no host remembers that it was answered: 180 requests in soak
// seed 5506.
func TestStartedHostsDoNotTakeBlocksForUnanswered(t *testing.T) {
	const block = Digest(7)
	started := NewTable(newTable().log, start)
	crashSeparately(started, block, minBlockEpisodes)
	if refusesBlock(started, block, at(5)) {
		t.Error("refused by a host that has just started")
	}
	if !refusesBlock(started, block, start.Add(warmUp)) {
		t.Error("not refused once the host remembers what was answered")
	}
	for n := range warmUpAnswers {
		started.Answered(Fingerprint{Request: Digest(1000 + n), Prompt: true}, at(5), at(5))
	}
	if !refusesBlock(started, block, at(5)) {
		t.Error("not refused by a host that has received many answers since its start")
	}
}

// TestCrashesBeforeTheStartProveNothing guards against fleets that lose power, read crashes from the
// store whose answers were not written any more, and refuse a block of all callers: 24 requests in soak
// seed 5526.
func TestCrashesBeforeTheStartProveNothing(t *testing.T) {
	const block = Digest(7)
	crash := func(table *Table, n int) {
		table.Crashed(Server(10+n), []Fingerprint{{Request: Digest(100 + n), Blocks: []Digest{block}}}, at(float64(n)), at(float64(n)))
	}
	observer := newTable()
	for n := range 3 {
		crash(observer, n)
	}
	started := NewTable(observer.log, at(2.5))
	for _, q := range observer.Unsaved() {
		started.Load(storeRoundTrip(t, q), at(3))
	}
	for n := range minOtherAnswers {
		started.Answered(Fingerprint{Request: Digest(200 + n), Prompt: true}, at(3), at(3))
	}
	for n := 3; n < minAnsweredBlockEpisodes; n++ {
		crash(started, n)
	}
	if refusesBlock(started, block, at(6)) {
		t.Error("refused for crashes before the start of the host")
	}
}
