package fairshare

import (
	"fmt"
	"testing"
	"time"
)

// TestRequestsBelowTheirShareFindRoom guards against a shortage that hits all organisations alike, with
// callers that come back once only, and against its reverse: a storm that gets less than the others
// leave, requests that wait in vain, and servers that must reject more than without waits. Without them
// 0.945 to 0.954 are served, and servers reject 0.39 to 0.40 of what is sent.
func TestRequestsBelowTheirShareFindRoom(t *testing.T) {
	const maxInVain, maxRejected = 0.4, 0.39
	for _, hosts := range []int{1, 3, 9, 24} {
		s, others, storming := newStorm(t, hosts)
		s.callerRetries = 1
		s.measure(3*time.Second, 23*time.Second)
		s.check(fmt.Sprint(hosts, " hosts"), simCapacity, others...)
		left := float64(storming.inTime) / 20 / (simCapacity - 105)
		inVain, rejected := float64(s.inVain)/float64(s.waited), float64(s.rejected)/float64(s.sends)
		if !(left > minUsed && inVain < maxInVain && rejected < maxRejected) {
			t.Errorf("the storm gets %.2f of what is left, %.2f waited in vain, servers rejected %.2f", left, inVain, rejected)
		}
	}
}

// TestWaitsEndWithServers guards against requests that wait on, and keep the places of others, when all
// servers are lost or reject everything, or when the host is cut off from the other hosts.
func TestWaitsEndWithServers(t *testing.T) {
	for _, failure := range []string{"down", "rejects", "cut"} {
		s, others, _ := newStorm(t, 3)
		s.run(6 * time.Second)
		s.hosts[0].cut = failure == "cut"
		for _, server := range s.servers {
			server.down, server.rejects = failure == "down", failure == "rejects"
		}
		s.measure(7*time.Second, 9*time.Second)
		if s.longestWait > simTarget {
			t.Errorf("%s: a request waited %v", failure, s.longestWait)
		}
		for _, server := range s.servers {
			server.down, server.rejects = false, false
		}
		s.measure(12*time.Second, 17*time.Second)
		s.check(failure+", and back", simCapacity, others...)
		for _, tr := range s.traffics {
			tr.to = s.now.Sub(s.start)
		}
		s.run(20 * time.Second)
		for _, h := range s.hosts {
			if n := h.table.services[serviceKey("s")].waiting; n != 0 {
				t.Errorf("%s: %d still wait at %s", failure, n, h.name)
			}
		}
	}
}

// TestWaitIsBounded guards against waits that end too late for an answer, against more waiting requests
// than servers answer within a latency target, and against waits of what is above its share.
func TestWaitIsBounded(t *testing.T) {
	const target, expected = 300 * time.Millisecond, 200 * time.Millisecond
	table, request, now := shortTable(1)
	r := request(1)
	r.LatencyTarget, r.Target, r.Expected = target, now.Add(target), expected
	const places = 6 // 20 answers a second for 0.3 s.
	for i := range places + 2 {
		pause, wait := table.AwaitRoom(r, false, now)
		if wait != (i < places) || pause > target-expected {
			t.Errorf("request %d: %v, %v", i, pause, wait)
		}
	}
	table.EndWait("s")
	for what, change := range map[string]func(*Request, *time.Time){
		"above its share": func(r *Request, _ *time.Time) { r.Above = true },
		"late":            func(_ *Request, at *time.Time) { *at = now.Add(target - expected) },
		"not short":       func(r *Request, at *time.Time) { *at = now.Add(shortTime); r.Target = at.Add(target) },
	} {
		changed, at := r, now
		change(&changed, &at)
		if _, wait := table.AwaitRoom(changed, false, at); wait {
			t.Errorf("%s: waits", what)
		}
	}
	above := Request{Service: "s", Above: true}
	if table.MayRetry(above, now) || !table.MayRetry(r, now) || !table.MayRetry(above, now.Add(shortTime)) {
		t.Error("a request above its share gets retries for which others wait, or no other gets any")
	}
	if _, wait := table.AwaitRoom(r, false, now); !wait {
		t.Error("the place was not returned")
	}
}

// TestFullServersAreLeftOutBriefly guards against waiting requests that are all sent to a server that has
// just rejected one, and against a server that is left out for good.
func TestFullServersAreLeftOutBriefly(t *testing.T) {
	table, request, now := shortTable(1)
	table.Rejected(request(1), "x", 1, 2, now)
	// Two servers that answer 20 a second together have a place each 100 ms.
	for after, full := range map[time.Duration]bool{0: true, 80 * time.Millisecond: true, maxNoRoom: false} {
		if got := table.Full("s", now.Add(after))["x"]; got != full || table.ExpectsRoom("s", "x", now.Add(after)) == full {
			t.Errorf("full after %v: %v", after, got)
		}
	}
	table.Report(now.Add(maxNoRoom))
	if n := len(table.services[serviceKey("s")].fullUntil); n != 0 {
		t.Errorf("%d servers are remembered", n)
	}
}
