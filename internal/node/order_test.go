package node

import (
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
)

// onFirstMatch calls a function at the first log line with a message.
type onFirstMatch struct {
	message string
	call    func()
}

// Levels implements logrus.Hook.
func (o *onFirstMatch) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (o *onFirstMatch) Fire(e *logrus.Entry) error {
	if call := o.call; call != nil && e.Message == o.message {
		o.call = nil
		call()
	}
	return nil
}

// onEveryMatch calls a function at each log line with a message.
type onEveryMatch struct {
	message string
	call    func(*logrus.Entry)
}

// Levels implements logrus.Hook.
func (o *onEveryMatch) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (o *onEveryMatch) Fire(e *logrus.Entry) error {
	if e.Message == o.message {
		o.call(e)
	}
	return nil
}

// registered returns a record of a backend server's entry.
func registered(id string, offset int64) platform.Record {
	return platform.Record{
		Key: id, Offset: offset,
		Value: []byte(`{"Service":"writer","Addr":"10.0.0.1:1","Zone":"z1","Version":"1","Slots":8,"State":"ready","ColdLeftMs":0,"Seq":1}`),
	}
}

// nodeWithHook returns a host that calls meanwhile when it logs a message. Tests start a
// concurrent merge there.
func nodeWithHook(t *testing.T, message string, meanwhile func(*Node)) *Node {
	t.Helper()
	n := newIdleNode(t, "host")
	metrics, _, closer := obs.NewMetrics()
	t.Cleanup(func() { _ = closer.Close() })
	n.metrics = metrics
	n.log.AddHook(&onFirstMatch{message, func() { meanwhile(n) }})
	return n
}

const malformedEntryMessage = "backend server's entry not taken"

// TestRemovedServerDoesNotComeBack guards against updates delivered out of order. While a host
// applied many entries from one source, another source reported that one of these servers was
// removed. The removal was delivered first and removed nothing; the entry followed, and as no
// later record names the server, it was used until its address stopped answering.
func TestRemovedServerDoesNotComeBack(t *testing.T) {
	n := nodeWithHook(t, malformedEntryMessage, func(n *Node) {
		n.servers.MergeFetched(topic.Fetched{Records: []platform.Record{{Key: "b", Offset: 3, Removed: true}}, At: topic.Position{Offset: 4}, Extent: topic.Changes, Since: n.servers.Position(), Trusted: true})
	})
	malformed := platform.Record{Key: "a", Value: []byte("{}")}
	n.servers.Snapshot(platform.Page{Records: []platform.Record{malformed, registered("b", 1), registered("c", 2)}, End: 3}, true)
	if got := n.replicas.Count(); got != 1 {
		t.Errorf("%d servers are registered, want only the one that was not removed", got)
	}
}

// TestReRegisteredServerStays guards against a server being removed by a removal older than its
// entry. The removal was delivered after the newer entry, and a live server writes no further
// record while its entry is unchanged.
func TestReRegisteredServerStays(t *testing.T) {
	n := nodeWithHook(t, malformedEntryMessage, func(n *Node) {
		n.servers.MergeFetched(topic.Fetched{Records: []platform.Record{registered("b", 3)}, At: topic.Position{Offset: 4}, Extent: topic.Changes, Since: n.servers.Position(), Trusted: true})
	})
	n.servers.Snapshot(platform.Page{Records: []platform.Record{registered("b", 0)}, End: 1}, true)
	malformed := platform.Record{Key: "a", Offset: 1, Value: []byte("{}")}
	n.servers.Merge([]platform.Record{malformed, {Key: "b", Offset: 2, Removed: true}}, topic.Position{Offset: 3}, true)
	if got := n.replicas.Count(); got != 1 {
		t.Errorf("%d servers are registered, want the one that registered again", got)
	}
}

// TestSupersededWeightsAreRecorded guards against a lost weights version. A version that a
// starting host finds may have been named at any time. If the next version was named while the
// first was being delivered, the first arrived second and was ignored as old. A replica that had
// missed both counted as outdated only since the later naming, and got requests for the whole
// weights deadline.
func TestSupersededWeightsAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := nodeWithHook(t, "wanted weights not taken", func(n *Node) {
			n.operators.Merge([]platform.Record{{Key: "version/m", Offset: 2, Value: []byte(`{"Model":"m","Version":3}`)}}, topic.Position{Offset: 3}, true)
		})
		n.registerReplica("missed", 1)
		n.registerReplica("loaded", 2)
		n.operators.Snapshot(platform.Page{Records: []platform.Record{
			{Key: "version/other", Value: []byte("?")},
			{Key: "version/m", Offset: 1, Value: []byte(`{"Model":"m","Version":2}`)},
		}, End: 2}, true)
		if got, deadline := n.outdatedFor("missed"), route.DefaultPolicy().WeightsDeadline; got < deadline {
			t.Errorf("outdated for %v with weights superseded before this host started, want %v or more", got, deadline)
		}
		if got := n.outdatedFor("loaded"); got != 0 {
			t.Errorf("outdated for %v with weights superseded just now", got)
		}
	})
}
