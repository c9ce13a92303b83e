package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// preemptedStream has an engine preempt streams for a while. TWICE: a request that goes on at another replica may not be
// worked on by the one before 400 ms later.
func preemptedStream(w *world, trouble bool) (bool, error) {
	const (
		streams   = 12
		allowedMs = 400
	)
	// 29,760 tokens are read in 600 ms, and six prompts don't fit the memory of an engine.
	words := []string{"--service", "writer", "--model", "m", "--slots", "16", "--events", "40", "--pace", "50ms", "--work", "600ms"}
	if trouble {
		words = append(words, "--stall-after", "8", "--stall", "1400ms")
	}
	for range 2 {
		if _, _, _, err := w.startReplica("", words...); err != nil {
			return false, err
		}
	}
	err := w.put("config", map[string]any{
		"Version": 1,
		"Routes": []any{
			map[string]any{"Name": "stories", "Host": consumerFor, "PathPrefix": "/stories/", "RouteType": "streaming", "TimeoutMs": 15000, "SloMs": 2000, "Priority": 0, "Service": "writer", "Attempts": 2, "Sticky": true, "CanResume": true, "GapAimMs": 300},
		},
		"Services": []any{map[string]any{"Name": "writer", "HealthPath": "/healthz", "MaxConns": 370, "Engine": map[string]any{"Slots": 16, "KvCapacity": 165614, "KvTokenBytes": 163840, "LinkMbps": 550000, "MaxInflight": 12}}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "museum", "ApiKeys": []string{apiKey}, "Priority": 1}},
	})
	if err != nil {
		return false, err
	}
	if err := w.startHosts(2); err != nil {
		return false, err
	}
	// In its first window a host has no slack for retries.
	time.Sleep(14 * time.Second)
	done := make(chan *answer)
	for n := range streams {
		go func() {
			done <- w.send(context.Background(), w.hosts[n%len(w.hosts)], request{
				method: http.MethodPost, path: fmt.Sprintf("/stories/%d", n), body: fmt.Sprintf("story %d", n), deadline: 15 * time.Second,
				header: http.Header{"X-Briarlink-Model": {"m"}, "X-Briarlink-Token-Count": {"29760,40"}, "X-Briarlink-Prefix-Hash": {fmt.Sprintf("%08x:29760", n+1)}},
			})
		}()
		time.Sleep(150 * time.Millisecond)
	}
	complete := 0
	for range streams {
		if a := <-done; a.err == nil && a.status == http.StatusOK && strings.Contains(string(a.body), "id: 40\n") {
			complete++
		}
	}
	time.Sleep(200 * time.Millisecond)
	twice := w.workedOnAt(allowedMs)
	for _, line := range twice {
		w.note("%s", line)
	}
	fmt.Printf("%d of %d streams complete; %d requests that went on at another replica were worked on by the one before %d ms later\n", complete, streams, len(twice), allowedMs)
	return len(twice) > 0, nil
}

// run is what a replica did for a request, in milliseconds: it works from begin to end, but for the time between preempted and
// readAgain.
type run struct {
	replica                          string
	begin, end, preempted, readAgain int64
}

func (r *run) worksAt(at int64) bool {
	waits := r.preempted > 0 && at >= r.preempted && (r.readAgain == 0 || at < r.readAgain)
	return at >= r.begin && (r.end == 0 || at < r.end) && !waits
}

// workedOnAt returns the requests that two replicas were working on the given time after the second had begun.
func (w *world) workedOnAt(afterMs int64) []string {
	runs := map[string][]*run{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, line := range w.said {
		// A line has the time, the replica, what it does, and the request's ID.
		f := strings.Fields(line)
		if len(f) < 4 {
			continue
		}
		at, _ := strconv.ParseInt(f[0], 10, 64)
		id := strings.TrimSuffix(f[3], ":")
		if f[2] == "runs" {
			runs[id] = append(runs[id], &run{replica: f[1], begin: at})
			continue
		}
		for _, r := range runs[id] {
			switch {
			case r.replica != f[1]:
			case f[2] == "ends" || f[2] == "stops":
				r.end = at
			case f[2] == "preempts":
				r.preempted = at
			case f[2] == "reads":
				r.readAgain = at
			}
		}
	}
	var out []string
	for id, all := range runs {
		for i, later := range all {
			for _, before := range all[:i] {
				if at := later.begin + afterMs; before.worksAt(at) && later.worksAt(at) {
					out = append(out, fmt.Sprintf("request %s began at %s, and %s still worked on it %d ms later, until %d ms", id, later.replica, before.replica, afterMs, before.end-later.begin))
				}
			}
		}
	}
	return out
}
