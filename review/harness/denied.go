package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/briarlink/briarlink/platform"
)

const (
	viewPath   = "/views/"
	updatePath = "/updates/"
	hotPath    = viewPath + "hot"
)

// plainConfig returns a configuration with a safe and an unsafe route to a plain service.
func plainConfig(version int) object {
	return object{
		"Version": version,
		"Routes": []object{
			{
				"Name": "views", "Host": hostName, "PathPrefix": viewPath, "RouteType": "safe", "TimeoutMs": 2000, "SloMs": 600,
				"Priority": 2, "Service": "jobs", "Attempts": 2, "Sticky": false, "CanResume": false, "Public": false,
			},
			{
				"Name": "updates", "Host": hostName, "PathPrefix": updatePath, "RouteType": "unsafe", "TimeoutMs": 2000, "SloMs": 600,
				"Priority": 2, "Service": "jobs", "Attempts": 1, "Sticky": false, "CanResume": false, "Public": false,
			},
		},
		"Services": []object{{"Name": "jobs", "HealthPath": "/healthz", "MaxConns": 110}},
		"Limits":   limits,
		"Tenants":  []object{{"Name": "museum-a", "ApiKeys": []string{keyOfA}, "Priority": 1, "Isolated": false}},
	}
}

const (
	plainServers = 20
	// crashedServers is 0.15 of the servers.
	crashedServers = 3
	crashTime      = 3 * time.Second
	// hotShare of the requests are for one page.
	hotShare   = 0.28
	viewWork   = 400 * time.Millisecond
	viewRate   = 150
	viewBefore = 4 * time.Second
	viewAfter  = 20 * time.Second
)

// tally counts the answers to consumers.
type tally struct {
	mu       sync.Mutex
	requests int
	// denied are the requests that ended with a 4xx without a replica's seal.
	denied   int
	statuses map[int]int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	t.statuses[a.status]++
	if a.seal == "" && a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
		t.denied++
	}
}

// denied crashes three of twenty servers at once while consumers read one page more than others.
func denied(rec *record, trouble bool) (outcome, error) {
	c, err := newCluster(rec)
	if err != nil {
		return outcome{}, err
	}
	defer c.stop()
	if err := c.put(platform.OperatorTopic, "config", plainConfig(3)); err != nil {
		return outcome{}, err
	}
	zones := []string{"heredia-a", "heredia-b", "cartago-a"}
	onRun := func(r run) { rec.note("server %s runs %s for %s", r.server, r.id, r.path) }
	var servers []*server
	boot := func(i, n int) (*server, error) {
		s := &server{id: fmt.Sprintf("i-%d-%d", i, n), service: "jobs", zone: zones[i%3], slots: 6, work: viewWork, cluster: c, onRun: onRun}
		return s, s.start(fmt.Sprintf("%s.%d", c.network, 100+i))
	}
	for i := range plainServers {
		s, err := boot(i, 1)
		if err != nil {
			return outcome{}, err
		}
		servers = append(servers, s)
	}
	if err := c.startHosts(3, zones); err != nil {
		return outcome{}, err
	}
	time.Sleep(2 * time.Second)
	counts := &tally{statuses: map[int]int{}}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { sendViews(rec, c, counts, done, &wg) })
	time.Sleep(viewBefore)
	if trouble {
		crashed := pickBusy(servers)
		for _, i := range crashed {
			rec.note("server %s crashes with %d requests for the hot page in progress", servers[i].id, servers[i].inProgress(hotPath))
			servers[i].crash()
		}
		time.AfterFunc(crashTime, func() {
			for _, i := range crashed {
				s, err := boot(i, 2)
				rec.note("server %s started: %v", s.id, err)
			}
		})
	}
	time.Sleep(viewAfter)
	close(done)
	wg.Wait()
	counts.mu.Lock()
	defer counts.mu.Unlock()
	allowed := 5 + counts.requests/500
	return outcome{counts.denied > allowed, fmt.Sprintf("of %d proper requests, %d were denied with a 4xx of the system's own, %d are allowed; statuses %v",
		counts.requests, counts.denied, allowed, counts.statuses)}, nil
}

// pickBusy returns the indexes of the crashedServers with most requests for the hot page in progress, at a
// moment at which each has two or more, or after crashTime.
func pickBusy(servers []*server) []int {
	order := make([]int, len(servers))
	for i := range order {
		order[i] = i
	}
	for until := time.Now().Add(crashTime); ; time.Sleep(time.Millisecond) {
		slices.SortFunc(order, func(a, b int) int { return servers[b].inProgress(hotPath) - servers[a].inProgress(hotPath) })
		if servers[order[crashedServers-1]].inProgress(hotPath) >= 2 || time.Now().After(until) {
			return order[:crashedServers]
		}
	}
}

// sendViews sends requests for pages, evenly to all hosts, until done is closed.
func sendViews(rec *record, c *cluster, counts *tally, done chan struct{}, wg *sync.WaitGroup) {
	client := newClient()
	random := rand.New(rand.NewPCG(1, 2))
	ticker := time.NewTicker(time.Second / viewRate)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		path := fmt.Sprintf("%sjob-%d", viewPath, n)
		if random.Float64() < hotShare {
			path = hotPath
		}
		h := c.hosts[n%len(c.hosts)]
		q := request{id: newID(), method: http.MethodGet, path: path, key: keyOfA, deadline: 2 * time.Second}
		wg.Go(func() {
			a := send(client, h.front, q)
			counts.add(a)
			rec.note("consumer sent %s for %s to %s: status %d, seal %q, error %v, %d ms", q.id, q.path, h.name, a.status, a.seal, a.err, a.elapsed.Milliseconds())
		})
	}
}
