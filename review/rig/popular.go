package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// popularReport has many consumers ask for one report that nobody asked for before. While ten replicas work on it, three
// of them crash at the same moment and are back a second later. DENIED: more than five requests and one in 500 may not be
// ended with a 4xx of the system's own.
func popularReport(w *world, trouble bool) (bool, error) {
	const (
		replicas = 10
		crashing = 3
		downTime = time.Second
		work     = 1500 * time.Millisecond
		together = 60
		later    = 60
	)
	words := []string{"--service", "desk", "--slots", "4", "--work", work.String()}
	type running struct {
		p           *process
		id, address string
	}
	var all []running
	for range replicas {
		p, id, address, err := w.startReplica("", words...)
		if err != nil {
			return false, err
		}
		all = append(all, running{p, id, address})
	}
	err := w.put("config", map[string]any{
		"Version": 1,
		"Routes": []any{
			map[string]any{"Name": "reports", "Host": consumerFor, "PathPrefix": "/reports/", "RouteType": "safe", "TimeoutMs": 10000, "SloMs": 3000, "Priority": 1, "Service": "desk", "Attempts": 2},
		},
		"Services": []any{map[string]any{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 110}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "museum", "ApiKeys": []string{apiKey}, "Priority": 1}},
	})
	if err != nil {
		return false, err
	}
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	var total, denied int
	var mu sync.Mutex
	var wg sync.WaitGroup
	ask := func(n int, path string) {
		wg.Go(func() {
			for _, a := range w.ask(n, request{method: http.MethodGet, path: path, deadline: 10 * time.Second}) {
				mu.Lock()
				total++
				if a.denied() {
					denied++
				}
				mu.Unlock()
			}
		})
	}
	// Requests of other kinds come first, for longer than ContactMs.
	for n := range 40 {
		ask(n, fmt.Sprintf("/reports/visits-of-room-%d", n))
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	for n := range together {
		ask(n, "/reports/of-today")
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	// The busiest ones crash.
	runs := w.runsByReplica("/reports/of-today")
	slices.SortStableFunc(all, func(a, b running) int { return cmp.Compare(runs[b.id], runs[a.id]) })
	if trouble {
		for _, r := range all[:crashing] {
			_ = r.p.cmd.Process.Kill()
			w.note("replica %s crashes", r.id)
		}
		go func() {
			time.Sleep(3 * heartbeatInterval)
			for _, r := range all[:crashing] {
				w.removeEntry(r.id)
			}
		}()
	}
	time.Sleep(downTime)
	if trouble {
		for _, r := range all[:crashing] {
			if _, _, _, err := w.startReplica(r.address, words...); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(2 * time.Second)
	for n := range later {
		ask(n, "/reports/of-today")
		ask(n, fmt.Sprintf("/reports/visits-of-day-%d", n))
		time.Sleep(150 * time.Millisecond)
	}
	wg.Wait()
	return w.tooManyDenied(total, denied), nil
}
