package node

import (
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/platform"
)

// onLine calls a function at the first line with a message.
type onLine struct {
	message string
	call    func()
}

// Levels implements logrus.Hook.
func (o *onLine) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (o *onLine) Fire(e *logrus.Entry) error {
	if call := o.call; call != nil && e.Message == o.message {
		o.call = nil
		call()
	}
	return nil
}

// onEach calls a function at each line with a message.
type onEach struct {
	message string
	call    func(*logrus.Entry)
}

// Levels implements logrus.Hook.
func (o *onEach) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (o *onEach) Fire(e *logrus.Entry) error {
	if e.Message == o.message {
		o.call(e)
	}
	return nil
}

// registered is a record of a backend server's entry.
func registered(id string, offset int64) platform.Record {
	return platform.Record{
		Key: id, Offset: offset,
		Value: []byte(`{"Service":"writer","Addr":"10.0.0.1:1","Zone":"z1","Version":"1","Slots":8,"State":"ready","ColdLeftMs":0,"Seq":1}`),
	}
}

// told returns a host whose line with a message is where another merge begins.
func told(t *testing.T, message string, meanwhile func(*Node)) *Node {
	t.Helper()
	n := idle(t, "host")
	metrics, _, closer := obs.NewMetrics()
	t.Cleanup(func() { _ = closer.Close() })
	n.metrics = metrics
	n.log.AddHook(&onLine{message, func() { meanwhile(n) }})
	return n
}

const lineOfAMalformedEntry = "backend server's entry not taken"

// TestRemovedServerDoesNotComeBack: while a host took the entries of many servers from
// one source, the other told it that one of them was removed. The removal was told first
// and found nothing to remove; the entry came after it, and the server was used until its
// address answered no more, as no later record speaks of it.
func TestRemovedServerDoesNotComeBack(t *testing.T) {
	n := told(t, lineOfAMalformedEntry, func(n *Node) {
		n.servers.MergeAll([]platform.Record{{Key: "b", Offset: 3, Removed: true}}, 4, true)
	})
	malformed := platform.Record{Key: "a", Value: []byte("{}")}
	n.servers.Snapshot(platform.Page{Records: []platform.Record{malformed, registered("b", 1), registered("c", 2)}, End: 3}, true)
	if got := n.replicas.Count(); got != 1 {
		t.Errorf("%d servers are known, want only the one that was not removed", got)
	}
}

// TestServerThatRegisteredAgainStays: its removal was told after its newer entry and threw
// it out, and a live server writes no further record while its entry stays the same.
func TestServerThatRegisteredAgainStays(t *testing.T) {
	n := told(t, lineOfAMalformedEntry, func(n *Node) {
		n.servers.MergeAll([]platform.Record{registered("b", 3)}, 4, true)
	})
	n.servers.Snapshot(platform.Page{Records: []platform.Record{registered("b", 0)}, End: 1}, true)
	malformed := platform.Record{Key: "a", Offset: 1, Value: []byte("{}")}
	n.servers.Merge([]platform.Record{malformed, {Key: "b", Offset: 2, Removed: true}}, 3, true)
	if got := n.replicas.Count(); got != 1 {
		t.Errorf("%d servers are known, want the one that registered again", got)
	}
}

// TestOvertakenWeightsAreNotLost: a version that a starting host finds may have been named
// at any time. Where the next one was named while it was being told, it came after that, was
// taken for old, and a replica that had missed both counted as behind only since the next one
// was named: it was given requests up to the whole deadline.
func TestOvertakenWeightsAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := told(t, "wanted weights not taken", func(n *Node) {
			n.operators.Merge([]platform.Record{{Key: "version/m", Offset: 2, Value: []byte(`{"Model":"m","Version":3}`)}}, 3, true)
		})
		n.holding("missed", 1)
		n.holding("loaded", 2)
		n.operators.Snapshot(platform.Page{Records: []platform.Record{
			{Key: "version/other", Value: []byte("?")},
			{Key: "version/m", Offset: 1, Value: []byte(`{"Model":"m","Version":2}`)},
		}, End: 2}, true)
		if got, deadline := n.behind("missed"), route.DefaultPolicy().WeightsDeadline; got < deadline {
			t.Errorf("behind for %v on weights that were overtaken before this host started, want %v or more", got, deadline)
		}
		if got := n.behind("loaded"); got != 0 {
			t.Errorf("behind for %v on weights that were overtaken this moment", got)
		}
	})
}
