package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	_ "github.com/briarlink/briarlink/test/fixedseed"
)

var testStart = time.Unix(1_800_000_000, 0)

// shortTable returns a table of a service that has been short of capacity for a second, in which servers
// answered 20 requests of "a" and "b" sends as many. Its requests have 6 s.
func shortTable(seed uint64) (t *Table, request func(digest uint64) Request, now time.Time) {
	t = NewTable(seed)
	request = func(digest uint64) Request {
		return Request{Service: "s", Organisation: "a", Cost: 1, Urgent: true, Digest: digest, Deadline: testStart.Add(7 * time.Second)}
	}
	for i := range 20 {
		now = testStart.Add(time.Duration(i) * 50 * time.Millisecond)
		t.Arrived(request(0), now)
		t.Arrived(Request{Service: "s", Organisation: "b", Cost: 1}, now)
		t.Answered("s", 1, now)
	}
	t.MarkShort("s", now)
	return t, request, now
}

// TestReturnedRequestsArePreferred guards against callers that are refused again while new ones are
// served, also if they come back to another host.
func TestReturnedRequestsArePreferred(t *testing.T) {
	first, request, now := shortTable(1)
	second, _, _ := shortTable(2)
	digest := uint64(1)
	for first.Admit(request(digest), now).Admitted {
		digest++
	}
	for second.Admit(request(1000+digest), now).Admitted {
		digest++
	}
	demands, refused := first.Report(now)
	second.Apply("first", demands, refused, now)
	for _, host := range []*Table{first, second} {
		if host.Admit(request(2000), now).Admitted {
			t.Error("a new request was admitted")
		}
		if d := host.Admit(request(refused[0]), now); !d.Admitted || !d.Returned {
			t.Errorf("a request that came back was not: %+v", d)
		}
	}
	later := now.Add(refusalTime)
	if d := first.Admit(request(2000), later); d.Returned {
		t.Error("a refused request is still remembered")
	}
}

// TestReturnsAreSpread guards against refused callers that all come back in the same moment, and against
// a Retry-After that callers do not honour.
func TestReturnsAreSpread(t *testing.T) {
	for _, left := range []time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 60 * time.Second} {
		perSlot := map[time.Duration]int{}
		for seed := range uint64(3) {
			table, request, now := shortTable(seed)
			for i := range uint64(40) {
				r := request(i)
				r.Deadline = now.Add(left)
				wait := table.Refuse(r, now)
				if wait > left/3 || wait < min(minRetryAfter, left/6) {
					t.Fatalf("Retry-After %v with %v left", wait, left)
				}
				perSlot[wait/(10*time.Millisecond)]++
			}
		}
		for slot, n := range perSlot {
			if n > 30 {
				t.Errorf("%d of 120 come back at %v", n, slot*10*time.Millisecond)
			}
		}
	}
}

// TestIsolatedHostKeepsItsPart guards against a host that takes the whole capacity as soon as it hears
// nobody, and against one that keeps to its part for good.
func TestIsolatedHostKeepsItsPart(t *testing.T) {
	table, request, now := shortTable(1)
	other, _, _ := shortTable(2)
	for i := range uint64(60) {
		other.Arrived(request(i), now)
	}
	demands, _ := other.Report(now)
	table.Apply("other", demands, nil, now)
	// admitted counts a second of 100 requests, of which servers answer those that are admitted and 50 of
	// another organisation.
	admitted := func(from time.Time) (n int) {
		for i := range 100 {
			at := from.Add(time.Duration(i) * 10 * time.Millisecond)
			if table.Admit(request(uint64(i)+uint64(at.UnixNano())), at).Admitted {
				table.Answered("s", 1, at)
				n++
			}
			if i%2 == 0 {
				table.Arrived(Request{Service: "s", Organisation: "b", Cost: 1}, at)
				table.Answered("s", 1, at)
			}
			table.MarkShort("s", at)
		}
		return n
	}
	var perSecond []int
	for i := range 9 {
		perSecond = append(perSecond, admitted(now.Add(time.Duration(i)*time.Second)))
	}
	t.Logf("admitted each second, of which the first has reports: %v", perSecond)
	if perSecond[4] > perSecond[1]*11/10 || perSecond[8] < perSecond[4]*3/2 {
		t.Error("the part was not kept, or kept for good")
	}
}

// TestWrongReportsAreIgnored guards against another host's figures that stop admission for good, or make
// a service short for ever.
func TestWrongReportsAreIgnored(t *testing.T) {
	table, request, now := shortTable(1)
	for i, figure := range []float64{math.NaN(), math.Inf(1), -1e300} {
		table.Apply(fmt.Sprint(i), []*pb.ServiceDemand{{
			Service: serviceKey("s"), ShortMs: proto.Int64(math.MaxInt64 - int64(i)), Served: figure,
			Organisations: []*pb.OrganisationDemand{{Organisation: organisationKey("a"), Offered: figure}},
		}}, nil, now)
	}
	if d := table.Admit(request(1), now); !d.Admitted || !(d.Capacity > 0 && d.Capacity < 1e6) {
		t.Errorf("%+v", d)
	}
	if table.TakeStatuses(now.Add(shortTime))[0].Short {
		t.Error("still short")
	}
}

// TestRefusalsAreBounded guards against memory that grows with what is refused.
func TestRefusalsAreBounded(t *testing.T) {
	r := newRefusals()
	for i := range uint64(100_000) {
		r.add(i, 1, testStart.Add(time.Duration(i)*time.Microsecond))
		r.take(i/2, testStart)
	}
	if len(r.byDigest) > maxRefusals || len(r.order) > 2*maxRefusals {
		t.Errorf("%d and %d remembered", len(r.byDigest), len(r.order))
	}
	if reported := r.report(testStart.Add(time.Second)); len(reported) != maxReportedRefusals || reported[0] != 99_999 {
		t.Errorf("%d reported, not the newest first", len(reported))
	}
}

// TestFairLevelDividesAll guards against shares whose sum is not the capacity.
func TestFairLevelDividesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands, sum := map[uint64]float64{}, 0.0
		for i, d := range rapid.SliceOf(rapid.Float64Range(0, 1000)).Draw(t, "demands") {
			demands[uint64(i)] = d
			sum += d
		}
		capacity := rapid.Float64Range(0, 5000).Draw(t, "capacity")
		level, used := fairLevel(capacity, demands), 0.0
		for _, d := range demands {
			used += min(d, level)
		}
		if want := min(capacity, sum); used < want-1e-6 || used > want+1e-6 {
			t.Fatal(fmt.Sprint("used ", used, " of ", want))
		}
	})
}
