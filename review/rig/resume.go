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
	words := []string{"--service", "writer", "--model", "m", "--slots", "16", "--events", "40", "--pace", "50ms", "--work", "1s"}
	if trouble {
		words = append(words, "--stall-after", "8", "--stall", "3s")
	}
	for range 3 {
		if _, _, _, err := w.startReplica("", words...); err != nil {
			return false, err
		}
	}
	err := w.put("config", map[string]any{
		"Version": 1,
		"Routes": []any{
			map[string]any{"Name": "stories", "Host": consumerFor, "PathPrefix": "/stories/", "RouteType": "streaming", "TimeoutMs": 15000, "SloMs": 2000, "Priority": 0, "Service": "writer", "Attempts": 2, "Sticky": true, "CanResume": true, "GapAimMs": 300},
		},
		"Services": []any{map[string]any{"Name": "writer", "HealthPath": "/healthz", "MaxConns": 370, "Engine": map[string]any{"Slots": 16, "KvCapacity": 100000, "KvTokenBytes": 163840, "LinkMbps": 550000, "MaxInflight": 12}}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "museum", "ApiKeys": []string{apiKey}, "Priority": 1}},
	})
	if err != nil {
		return false, err
	}
	if err := w.startHosts(2); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond)
	done := make(chan *answer)
	for n := range streams {
		go func() {
			done <- w.send(context.Background(), w.hosts[n%len(w.hosts)], request{
				method: http.MethodPost, path: fmt.Sprintf("/stories/%d", n), body: fmt.Sprintf("story %d", n), deadline: 15 * time.Second,
				header: http.Header{"X-Briarlink-Model": {"m"}, "X-Briarlink-Token-Count": {"500,40"}, "X-Briarlink-Prefix-Hash": {fmt.Sprintf("%08x:500", n+1)}},
			})
		}()
		time.Sleep(300 * time.Millisecond)
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

// workedOnAt returns the requests that a replica was still working on the given time after another one began to run them.
func (w *world) workedOnAt(afterMs int64) []string {
	type span struct {
		replica    string
		begin, end int64
	}
	spans := map[string][]*span{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, line := range w.said {
		f := strings.Fields(line)
		if len(f) < 4 {
			continue
		}
		at, _ := strconv.ParseInt(f[0], 10, 64)
		id := strings.TrimSuffix(f[3], ":")
		switch f[2] {
		case "runs":
			spans[id] = append(spans[id], &span{f[1], at, 0})
		case "ends", "stops":
			for _, s := range spans[id] {
				if s.replica == f[1] {
					s.end = at
				}
			}
		}
	}
	var out []string
	for id, runs := range spans {
		for i, later := range runs {
			for _, before := range runs[:i] {
				if before.end == 0 || before.end > later.begin+afterMs {
					out = append(out, fmt.Sprintf("request %s began at %s, and %s worked on it for %d ms more", id, later.replica, before.replica, before.end-later.begin))
				}
			}
		}
	}
	return out
}
