package node

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/bandwidth"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/peer"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
)

// TestFetchesAreALineASecond: while the store is lost, each heartbeat of a host that knows
// more makes one that lags fetch from it, 174 a second at 300 hosts. Where the other host
// cannot be reached either, each fetch ended in a line: half of what the log takes, when
// it is needed most. Topics are told apart, as entries change more often than the
// configuration.
func TestFetchesAreALineASecond(t *testing.T) {
	const (
		heard   = 174
		seconds = 10
	)
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		n := idle(t, "a")
		n.log.SetOutput(&out)
		for range heard * seconds {
			_ = n.fetch(n.servers, "b", "nowhere")
			time.Sleep(time.Second / heard)
		}
		_ = n.fetch(n.operators, "b", "nowhere")
		if got := strings.Count(out.String(), "records not fetched from another host"); got < seconds || got > seconds+1 {
			t.Errorf("%d lines in %d s", got, seconds)
		}
		if !strings.Contains(out.String(), n.operators.Name()) {
			t.Error("the other topic's line is missing")
		}
		out.Reset()
		for i := range heard * seconds {
			n.fetched(n.servers, "b", 1, int64(i))
			time.Sleep(time.Second / heard)
		}
		if got := strings.Count(out.String(), "records taken from another host"); got < seconds-1 || got > seconds {
			t.Errorf("%d lines of records taken in %d s", got, seconds)
		}
	})
}

// entries returns the entries of so many servers.
func entries(n int) []platform.Record {
	var records []platform.Record
	for i := range n {
		id := fmt.Sprintf("i-%08x", uint32(i)*2654435761)
		value := fmt.Sprintf(`{"Service":"redactor","Addr":"10.%d.%d.%d:8080","Zone":"heredia-a","Version":"v3","Slots":16,"State":"ready","ColdLeftMs":0,"Seq":7,"Stage":"colocated","Models":[{"Name":"daka510000","Version":1,"Adapters":[]}]}`, i>>16, i>>8&255, i&255)
		records = append(records, platform.Record{Key: id, Value: []byte(value), Offset: int64(i)})
	}
	return records
}

// TestManyRecordsAreFewBytes: 10,004 entries took 3 MB for each host that starts, a second and
// more of a small host's link, beyond which fetches were given up, and near what one message
// may hold.
func TestManyRecordsAreFewBytes(t *testing.T) {
	size := func(n int) (plain, sent int) {
		table := topic.NewTable("entries", func(platform.Record, topic.Origin) {})
		records := entries(n)
		for _, r := range records {
			plain += len(r.Key) + len(r.Value)
		}
		table.MergeAll(records, int64(n), true)
		p := packed{last: map[span][]byte{}}
		answer, err := p.answer(table, 0)
		if err != nil {
			t.Fatal(err)
		}
		again, err := p.answer(table, 0)
		if err != nil || &again.Packed[0] != &answer.Packed[0] {
			t.Error("the same answer is packed twice")
		}
		got, err := peer.Unpack(answer)
		if err != nil || len(got) != n || string(got[n-1].Value) != string(records[n-1].Value) {
			t.Fatalf("%d of %d records come out, %v", len(got), n, err)
		}
		return plain, proto.Size(answer)
	}
	for _, n := range []int{2500, 10_000} {
		plain, sent := size(n)
		t.Logf("%d entries of %d bytes are sent in %d", n, plain, sent)
		if sent*5 > plain {
			t.Errorf("%d entries of %d bytes are sent in %d", n, plain, sent)
		}
	}
}

// TestWholeTopicsLeaveRoomOnTheLink: hosts that start all ask those that know. The limit of
// eight at once counted answers until they were written, not until they were sent: one small
// host sent 40 others 5 MB, two seconds of its link, and its heartbeats waited behind that.
func TestWholeTopicsLeaveRoomOnTheLink(t *testing.T) {
	const (
		mbps    = 20
		longest = 250 * time.Millisecond
	)
	n := idle(t, "serves")
	n.bulkSent = bandwidth.NewBudget(mbps)
	metrics, _, closer := obs.NewMetrics()
	defer closer.Close()
	n.metrics = metrics
	n.servers.MergeAll(entries(10_000), 10_000, true)
	p := &peerService{n: n}
	sent, served := 0, 0
	for range 40 {
		out, err := p.FetchRecords(t.Context(), &pb.FetchRecordsRequest{Topic: n.servers.Name()})
		if err == nil {
			sent += proto.Size(out)
			served++
		}
	}
	if queued := time.Duration(float64(sent) * 8e3 / mbps); served == 0 || queued > longest {
		t.Errorf("%d hosts were sent %d bytes, %v of the link; at most %v allowed", served, sent, queued, longest)
	}
	if _, err := p.FetchRecords(t.Context(), &pb.FetchRecordsRequest{Topic: n.servers.Name(), From: 9_990}); err != nil {
		t.Errorf("a host that lacks ten records waits: %v", err)
	}
}

// TestSlowFetchKeepsNobodyWaiting: a host that stopped held up the fetch of a configuration for
// 0.8 s, in which other hosts told of it in vain.
func TestSlowFetchKeepsNobodyWaiting(t *testing.T) {
	f := &fetches{refused: map[string]time.Time{}}
	now := time.Unix(1000, 0)
	if !f.begin("stops", false, now) || f.begin("other", false, now.Add(fetchElsewhere/2)) {
		t.Error("want one fetch at first")
	}
	later := now.Add(fetchElsewhere)
	if !f.begin("other", false, later) || f.begin("third", false, later.Add(2*fetchElsewhere)) {
		t.Error("want a second fetch from another host once the first is late, and no third")
	}
	f.end("other", true, later)
	f.end("stops", false, later)
	if f.begin("stops", false, later.Add(refusedPause/4)) {
		t.Error("a host that did not serve is asked again at once")
	}
	if !f.begin("other", true, later) || f.begin("third", true, later.Add(time.Second)) {
		t.Error("want the whole topic from one host at a time")
	}
}

// TestStartingHostsWaitForEachOther: 985 hosts that start at once read the store each by itself
// after 1.5 s, 21 calls and 3 MB a host, while the first that knew served eight at a time.
func TestStartingHostsWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := idle(t, "starts")
		n.holdFor = leastHold
		time.Sleep(time.Second)
		if n.holdFirst() {
			t.Error("waits though nobody tells of records")
		}
		knows := &pb.Heartbeat{Host: "knows", PeerAddress: "nowhere", Positions: []*pb.TopicPosition{{Topic: n.servers.Name(), End: 9}}}
		for i := range 40 {
			knows.Sequence++
			n.catchUp(knows)
			time.Sleep(offeredLately / 4)
			if since := time.Since(n.started); n.holdFirst() != (since < longestHold) {
				t.Fatalf("heartbeat %d, %v after the start: waits %v", i, since, n.holdFirst())
			}
		}
		n.servers.Snapshot(platform.Page{}, true)
		if n.holdFirst() {
			t.Error("waits though it knows")
		}
	})
}

// TestEmptyTopicsAreToldOf: before operators write anything, each of 985 hosts asked the store
// for their records, as what others knew of an empty topic looked like nothing.
func TestEmptyTopicsAreToldOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		knows, starts := idle(t, "knows"), idle(t, "starts")
		tells := knows.work()
		starts.catchUp(tells)
		if starts.recordsOffered.Age(time.Now()) != topic.NeverFresh {
			t.Error("waits for a host that knows nothing")
		}
		knows.operators.Snapshot(platform.Page{}, true)
		starts.catchUp(knows.work())
		if starts.recordsOffered.Age(time.Now()) == topic.NeverFresh {
			t.Error("does not ask a host that knows the empty topic")
		}
	})
}
