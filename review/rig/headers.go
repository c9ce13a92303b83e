package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// largerHeads has the operator raise the limit on heads, after which consumers send larger ones. DENIED: more than five
// requests and one in 500 may not be ended with a 4xx of the system's own.
func largerHeads(w *world, trouble bool) (bool, error) {
	const (
		replicas  = 3
		requests  = 60
		firstHead = 16384
		laterHead = 65536
		// A part of a prompt takes some 16 bytes of the head.
		parts = 4000
	)
	words := []string{"--service", "writer", "--model", "m", "--slots", "16", "--events", "5", "--pace", "20ms", "--work", "50ms"}
	for range replicas {
		if _, _, _, err := w.startReplica("", words...); err != nil {
			return false, err
		}
	}
	config := func(version, head int) map[string]any {
		return map[string]any{
			"Version": version,
			"Routes": []any{
				map[string]any{"Name": "stories", "Host": consumerFor, "PathPrefix": "/stories/", "RouteType": "streaming", "TimeoutMs": 10000, "SloMs": 800, "Priority": 0, "Service": "writer", "Attempts": 2, "Sticky": true, "CanResume": true, "GapAimMs": 300},
			},
			"Services": []any{map[string]any{"Name": "writer", "HealthPath": "/healthz", "MaxConns": 370, "Engine": map[string]any{"Slots": 16, "KvCapacity": 100000, "KvTokenBytes": 163840, "LinkMbps": 550000, "MaxInflight": 12}}},
			"Limits":   map[string]any{"MaxHeaderBytes": head, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
			"Tenants":  []any{map[string]any{"Name": "museum", "ApiKeys": []string{apiKey}, "Priority": 1}},
		}
	}
	if err := w.put("config", config(1, firstHead)); err != nil {
		return false, err
	}
	if err := w.startHosts(2); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond)
	count := 40
	if trouble {
		if err := w.put("config", config(3, laterHead)); err != nil {
			return false, err
		}
		count = parts
	}
	// ConfigApplyMs.
	time.Sleep(2500 * time.Millisecond)
	total, denied := 0, 0
	for n := range requests {
		var prefix []string
		for i := range count {
			prefix = append(prefix, fmt.Sprintf("%08x:16", i+1))
		}
		prefix = append(prefix, fmt.Sprintf("ff%06x:100", n))
		a := w.send(context.Background(), w.hosts[n%len(w.hosts)], request{
			method: http.MethodPost, path: fmt.Sprintf("/stories/%d", n), body: "go on", deadline: 10 * time.Second,
			header: http.Header{"X-Briarlink-Model": {"m"}, "X-Briarlink-Token-Count": {fmt.Sprintf("%d,5", 16*count+100)}, "X-Briarlink-Prefix-Hash": {strings.Join(prefix, ",")}},
		})
		total++
		if a.denied() {
			denied++
		}
	}
	return w.tooManyDenied(total, denied), nil
}
