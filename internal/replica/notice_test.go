package replica

import (
	"testing"
	"time"

	"github.com/briarlink/briarlink/platform"
)

var leaveNotice = platform.ReplicaAnswer{Leaving: true}

// accepts reports whether server a may be given requests and commands.
func accepts(t *testing.T, table *Table) (requests, commands bool) {
	t.Helper()
	now := time.Now()
	snapshot := table.Snapshot(testService, testModel, 1000, now)
	if len(snapshot) != 1 {
		t.Fatalf("%d servers", len(snapshot))
	}
	flight := table.Begin("a", Work{}, now)
	if flight != nil {
		flight.End(Cancelled, now)
	}
	if snapshot[0].Usable != (flight != nil) {
		t.Errorf("usable: %v, accepts requests: %v", snapshot[0].Usable, flight != nil)
	}
	return snapshot[0].Usable, len(table.Servers(now)) == 1
}

// TestLeaveNoticeInAnswerTakesEffect checks that a server counts as leaving from the answer
// that says so, whatever its entry says: the store may show it minutes later. A later
// incarnation of the ID is not affected.
func TestLeaveNoticeInAnswerTakesEffect(t *testing.T) {
	table := NewTable(quietLog(), func(string, string) {})
	table.Register(registrationOf(1000, 1), 0)
	earlier := table.Begin("a", Work{}, time.Now())
	flight := table.Begin("a", Work{}, time.Now())
	flight.RecordNotice(platform.ReplicaAnswer{}, time.Now())
	if requests, commands := accepts(t, table); !requests || !commands {
		t.Error("counted as leaving without a notice")
	}
	flight.RecordNotice(leaveNotice, time.Now())
	table.Register(registrationOf(1000, 1), 1)
	if requests, commands := accepts(t, table); requests || commands {
		t.Errorf("after the leave notice: requests %v, commands %v", requests, commands)
	}
	table.Register(registrationOf(2000, 1), 2)
	earlier.RecordNotice(leaveNotice, time.Now())
	if requests, commands := accepts(t, table); !requests || !commands {
		t.Error("a later incarnation counts as leaving because of a notice of the earlier one")
	}
}

// TestNoticeOfAnotherServerIsIgnored checks that a notice only counts for the server that
// sent it: an answer may come from another server at the same address, or belong to a call
// that began before the server registered.
func TestNoticeOfAnotherServerIsIgnored(t *testing.T) {
	table := NewTable(quietLog(), func(string, string) {})
	before := time.Now()
	table.Register(registrationOf(1000, 1), 0)
	otherServer := leaveNotice
	otherServer.Instance = "b"
	table.Begin("a", Work{}, time.Now()).RecordNotice(otherServer, time.Now())
	table.RecordNoticeAt(crashAddress, leaveNotice, before)
	table.RecordNoticeAt("10.0.0.9:1", leaveNotice, time.Now())
	table.RecordNoticeAt(crashAddress, platform.ReplicaAnswer{}, time.Now())
	if requests, _ := accepts(t, table); !requests {
		t.Error("counted as leaving because of another server's notice")
	}
	own := leaveNotice
	own.Instance = "a"
	table.RecordNoticeAt(crashAddress, own, time.Now())
	if requests, _ := accepts(t, table); requests {
		t.Error("its notice in an answer to another call than a request was ignored")
	}
}

// TestBackoff checks that a server gets no requests during its backoff, and no commands
// unless newer weights have been wanted for long. The longest requested backoff counts.
func TestBackoff(t *testing.T) {
	table := NewTable(quietLog(), func(string, string) {})
	table.Register(registrationOf(1000, 1), 0)
	now := time.Now()
	table.Begin("a", Work{}, now).RecordNotice(platform.ReplicaAnswer{RetryAfter: 5 * time.Second}, now)
	table.Begin("a", Work{}, now).RecordNotice(platform.ReplicaAnswer{RetryAfter: time.Second}, now)
	table.Begin("a", Work{}, now).RecordNotice(platform.ReplicaAnswer{}, now)
	for after, want := range map[time.Duration]time.Duration{0: 5 * time.Second, 4 * time.Second: time.Second, 5 * time.Second: 0, time.Minute: 0} {
		at := now.Add(after)
		if got := table.Snapshot(testService, testModel, 1000, at)[0].Backoff; got != want || table.Backoff("a", at) != want {
			t.Errorf("after %v: %v left, want %v", after, got, want)
		}
		if commands := len(table.Servers(at)) == 1; commands != (want == 0) {
			t.Errorf("after %v: accepts commands: %v", after, commands)
		}
	}
	table.Want(testModel, 2, now)
	for after, want := range map[time.Duration]int{backoffOverrideThreshold - time.Millisecond: 0, backoffOverrideThreshold: 1} {
		if got := len(table.Outdated(now.Add(after))); got != want {
			t.Errorf("%v after newer weights were named: %d servers to be given commands, want %d", after, got, want)
		}
	}
	table.Register(registrationOf(2000, 1), 1)
	if table.Backoff("a", now) != 0 || table.Backoff("gone", now) != 0 {
		t.Error("the backoff of an earlier incarnation still counts")
	}
}
