package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// newInstructions has consumers send prompts that begin with a part that no prompt had before. Six of twenty engines crash at
// the same moment and are back a second later. DENIED: more than five requests and one in 500 may not be ended with a 4xx of
// the system's own.
func newInstructions(w *world, trouble bool) (bool, error) {
	const (
		replicas = 20
		crashing = 6
		downTime = time.Second
		together = 40
		later    = 60
	)
	words := []string{"--service", "writer", "--model", "m", "--slots", "4", "--events", "20", "--pace", "30ms", "--work", "4s"}
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
			map[string]any{"Name": "stories", "Host": consumerFor, "PathPrefix": "/stories/", "RouteType": "streaming", "TimeoutMs": 20000, "SloMs": 5000, "Priority": 0, "Service": "writer", "Attempts": 2, "Sticky": true, "CanResume": true, "GapAimMs": 300},
		},
		"Services": []any{map[string]any{"Name": "writer", "HealthPath": "/healthz", "MaxConns": 370, "Engine": map[string]any{"Slots": 4, "KvCapacity": 800000, "KvTokenBytes": 163840, "LinkMbps": 550000, "MaxInflight": 12}}},
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
	ask := func(n int, instructions, own string) {
		wg.Go(func() {
			answers := w.ask(n, request{
				method: http.MethodPost, path: "/stories/" + own, body: "story " + own, deadline: 20 * time.Second,
				header: http.Header{"X-Briarlink-Model": {"m"}, "X-Briarlink-Token-Count": {"198400,20"}, "X-Briarlink-Prefix-Hash": {instructions + ":100," + own + ":198300"}},
			})
			for _, a := range answers {
				mu.Lock()
				total++
				if a.denied() {
					denied++
				}
				mu.Unlock()
			}
		})
	}
	for n := range 60 {
		ask(n, "aaaa0001", fmt.Sprintf("1%07x", n))
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	for n := range together {
		ask(n, "aaaa0002", fmt.Sprintf("2%07x", n))
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
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
	for n := range later {
		ask(n, "aaaa0002", fmt.Sprintf("3%07x", n))
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	return w.tooManyDenied(total, denied), nil
}
