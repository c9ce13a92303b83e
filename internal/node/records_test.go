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

// TestFetchesAreRateLimitedInTheLog guards against a log filled by fetches. While the store is
// unreachable, a host without the latest records fetches at each heartbeat of a host with more
// records, 174 times a second with 300 hosts. If these hosts were unreachable too, each fetch
// logged a failure: half of the log's capacity, when it is needed most. Each topic has its own
// limit, as entries change more often than the configuration.
func TestFetchesAreRateLimitedInTheLog(t *testing.T) {
	const (
		heartbeatRate = 174
		seconds       = 10
	)
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		n := newIdleNode(t, "a")
		n.log.SetOutput(&out)
		for range heartbeatRate * seconds {
			_ = n.fetch(n.servers, false, "b", "nowhere")
			time.Sleep(time.Second / heartbeatRate)
		}
		_ = n.fetch(n.operators, false, "b", "nowhere")
		if got := strings.Count(out.String(), "records not fetched from another host"); got < seconds || got > seconds+1 {
			t.Errorf("%d lines in %d s", got, seconds)
		}
		if !strings.Contains(out.String(), n.operators.Name()) {
			t.Error("the other topic's line is missing")
		}
		out.Reset()
		for i := range heartbeatRate * seconds {
			n.logFetched(n.servers, "b", 1, topic.Position{Offset: int64(i)})
			time.Sleep(time.Second / heartbeatRate)
		}
		if got := strings.Count(out.String(), "records taken from another host"); got < seconds-1 || got > seconds {
			t.Errorf("%d lines of records taken in %d s", got, seconds)
		}
	})
}

// entries returns entries of n servers.
func entries(n int) []platform.Record {
	var records []platform.Record
	for i := range n {
		id := fmt.Sprintf("i-%08x", uint32(i)*2654435761)
		value := fmt.Sprintf(`{"Service":"redactor","Addr":"10.%d.%d.%d:8080","Zone":"heredia-a","Version":"v3","Slots":16,"State":"ready","ColdLeftMs":0,"Seq":7,"Stage":"colocated","Models":[{"Name":"daka510000","Version":1,"Adapters":[]}]}`, i>>16, i>>8&255, i&255)
		records = append(records, platform.Record{Key: id, Value: []byte(value), Offset: int64(i)})
	}
	return records
}

// TestRecordsAreCompressed guards against large transfers. 10,004 entries took 3 MB per starting
// host: a second or more of a small host's link, after which fetches timed out, and near the
// maximum size of a message.
func TestRecordsAreCompressed(t *testing.T) {
	size := func(n int) (plain, sent int) {
		table := topic.NewTable("entries", func(platform.Record, topic.Origin) {})
		records := entries(n)
		for _, r := range records {
			plain += len(r.Key) + len(r.Value)
		}
		table.MergeFetched(topic.Fetched{Records: records, At: topic.Position{Offset: int64(n)}, Extent: topic.Changes, Since: table.Position(), Trusted: true})
		p := responseCache{deflated: map[recordRange][]byte{}}
		answer, err := p.response(table, topic.Position{})
		if err != nil {
			t.Fatal(err)
		}
		again, err := p.response(table, topic.Position{})
		if err != nil || &again.Packed[0] != &answer.Packed[0] {
			t.Error("the same answer is compressed twice")
		}
		got, err := peer.Unpack(answer)
		if err != nil || len(got) != n || string(got[n-1].Value) != string(records[n-1].Value) {
			t.Fatalf("got %d of %d records, %v", len(got), n, err)
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

// TestWholeTopicTransfersAreBounded guards against whole topics filling the link when many hosts
// start. The limit of eight fetches at once counts answers only until they are written, not
// until they are sent: a small host sent 5 MB to 40 others, two seconds of its link, which
// delayed its heartbeats.
func TestWholeTopicTransfersAreBounded(t *testing.T) {
	const (
		mbps      = 20
		maxQueued = 250 * time.Millisecond
	)
	n := newIdleNode(t, "serves")
	n.bulkSends = bandwidth.NewBudget(mbps)
	metrics, _, closer := obs.NewMetrics()
	defer closer.Close()
	n.metrics = metrics
	n.servers.MergeFetched(topic.Fetched{Records: entries(10_000), At: topic.Position{Offset: 10_000}, Extent: topic.Changes, Since: n.servers.Position(), Trusted: true})
	p := &peerService{n: n}
	sent, served := 0, 0
	for range 40 {
		out, err := p.FetchRecords(t.Context(), &pb.FetchRecordsRequest{Topic: n.servers.Name()})
		if err == nil {
			sent += proto.Size(out)
			served++
		}
	}
	if queued := time.Duration(float64(sent) * 8e3 / mbps); served == 0 || queued > maxQueued {
		t.Errorf("%d hosts were sent %d bytes, %v of the link; at most %v allowed", served, sent, queued, maxQueued)
	}
	if _, err := p.FetchRecords(t.Context(), &pb.FetchRecordsRequest{Topic: n.servers.Name(), From: 9_990}); err != nil {
		t.Errorf("a host that misses ten records is rejected: %v", err)
	}
}

// TestSlowFetchAllowsSecondHost guards against one slow host delaying records: a host that was
// stopping held up the fetch of a configuration for 0.8 s while other hosts offered it.
func TestSlowFetchAllowsSecondHost(t *testing.T) {
	f := &fetches{retryAfter: map[string]time.Time{}}
	now := time.Unix(1000, 0)
	if !f.begin("stops", false, now) || f.begin("other", false, now.Add(secondFetchDelay/2)) {
		t.Error("want exactly one fetch at first")
	}
	later := now.Add(secondFetchDelay)
	if !f.begin("other", false, later) || f.begin("third", false, later.Add(2*secondFetchDelay)) {
		t.Error("want a second fetch from another host once the first is slow, and no third")
	}
	f.end("other", true, later)
	f.end("stops", false, later)
	if f.begin("stops", false, later.Add(refusedBackoff/4)) {
		t.Error("a host that did not serve is asked again at once")
	}
	if !f.begin("other", true, later) || f.begin("third", true, later.Add(time.Second)) {
		t.Error("want the whole topic from one host at a time")
	}
}

// TestStartingHostsWaitForPeersRecords guards against a starting fleet overloading the store.
// Each of 985 hosts that started at once read the store after 1.5 s, 21 calls and 3 MB per host,
// while the first host with the records served eight at a time.
func TestStartingHostsWaitForPeersRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newIdleNode(t, "starts")
		n.firstReadDelay = minFirstReadDelay
		time.Sleep(time.Second)
		if n.delaysFirstRead() {
			t.Error("waits although no host offers records")
		}
		offer := &pb.Heartbeat{Host: "knows", PeerAddress: "nowhere", Positions: []*pb.TopicPosition{{Topic: n.servers.Name(), End: 9}}}
		for i := range 40 {
			offer.Sequence++
			n.catchUp(offer)
			time.Sleep(recentOfferAge / 4)
			if since := time.Since(n.started); n.delaysFirstRead() != (since < maxFirstReadDelay) {
				t.Fatalf("heartbeat %d, %v after the start: waits %v", i, since, n.delaysFirstRead())
			}
		}
		n.servers.Snapshot(platform.Page{}, true)
		if n.delaysFirstRead() {
			t.Error("waits although it is synced")
		}
	})
}

// TestEmptyTopicsAreOffered guards against an empty topic looking like one that is not synced:
// before operators wrote anything, each of 985 hosts read their records from the store.
func TestEmptyTopicsAreOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		synced, starting := newIdleNode(t, "knows"), newIdleNode(t, "starts")
		unsynced := synced.fullHeartbeat()
		starting.catchUp(unsynced)
		if starting.recordsOffered.Age(time.Now()) != topic.NeverFresh {
			t.Error("waits for a host that is not synced")
		}
		synced.operators.Snapshot(platform.Page{}, true)
		starting.catchUp(synced.fullHeartbeat())
		if starting.recordsOffered.Age(time.Now()) == topic.NeverFresh {
			t.Error("does not ask a host that has synced the empty topic")
		}
	})
}
