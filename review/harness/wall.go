package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/briarlink/briarlink/platform"
)

type object = map[string]any

// limits are those of the pages' example.
var limits = object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}

const (
	reportPath = "/reports/"
	modelName  = "m"
	keyOfA     = "key-of-museum-a"
	keyOfB     = "key-of-museum-b"
)

// engineConfig returns a configuration with a streaming route to engines.
func engineConfig(version int, isolated bool) object {
	return object{
		"Version": version,
		"Routes": []object{{
			"Name": "reports", "Host": hostName, "PathPrefix": reportPath, "RouteType": "streaming", "TimeoutMs": 10000, "SloMs": 800,
			"Priority": 1, "Service": "writer", "Attempts": 2, "Sticky": true, "CanResume": true, "GapAimMs": 300, "Public": false,
		}},
		"Services": []object{{"Name": "writer", "HealthPath": "/healthz", "MaxConns": 370, "Engine": object{
			"Slots": 64, "KvCapacity": 165614, "KvTokenBytes": 163840, "LinkMbps": 550000.0, "MaxInflight": 12, "Models": []object{{"Name": modelName}},
		}}},
		"Limits": limits,
		"Tenants": []object{
			{"Name": "museum-a", "ApiKeys": []string{keyOfA}, "Priority": 1, "Isolated": isolated},
			{"Name": "museum-b", "ApiKeys": []string{keyOfB}, "Priority": 1, "Isolated": false},
		},
	}
}

// applyMargin is how long after the acknowledgement of a configuration, beyond ConfigApplyMs, requests are
// sent that it must govern.
const applyMargin = 2 * time.Second

// wall sets Isolated for an organisation whose prompts are cached, and checks that no other organisation's
// request uses what is cached of them afterwards.
func wall(rec *record, trouble bool) (outcome, error) {
	c, err := newCluster(rec)
	if err != nil {
		return outcome{}, err
	}
	defer c.stop()
	var mu sync.Mutex
	var runs []run
	onRun := func(r run) {
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, r)
		rec.note("server %s runs %s of %s; cached parts used: %+v", r.server, r.id, r.organisation, r.hits)
	}
	if err := c.put(platform.OperatorTopic, "config", engineConfig(3, !trouble)); err != nil {
		return outcome{}, err
	}
	rec.note("config 3 acknowledged: museum-a isolated: %t", !trouble)
	zones := []string{"heredia-a", "heredia-b"}
	for i := range 3 {
		s := &server{id: fmt.Sprintf("i-%d", i+1), service: "writer", zone: zones[i%2], model: modelName, slots: 64, pace: 10 * time.Millisecond, events: 8, cluster: c, onRun: onRun}
		if err := s.start(fmt.Sprintf("%s.%d", c.network, 100+i)); err != nil {
			return outcome{}, err
		}
		defer s.crash()
	}
	if err := c.startHosts(2, zones); err != nil {
		return outcome{}, err
	}
	time.Sleep(2 * time.Second)
	client := newClient()
	ask := func(key, own string, n int) {
		for i := range n {
			q := request{
				id: newID(), method: "POST", path: reportPath + "1", key: key, body: "the history of cabinet 7, " + own, model: modelName,
				prefix: fmt.Sprintf("5c1e07a2:9000,91bd3f06:4300,%s%02d:300", own, i), tokens: "13600,30", deadline: 10 * time.Second,
			}
			a := send(client, c.hosts[i%len(c.hosts)].front, q)
			rec.note("consumer with %s sent %s to %s: status %d, error %v, %d ms", key, q.id, c.hosts[i%len(c.hosts)].name, a.status, a.err, a.elapsed.Milliseconds())
		}
	}
	ask(keyOfA, "aaaa", 6)
	if err := c.put(platform.OperatorTopic, "config", engineConfig(5, true)); err != nil {
		return outcome{}, err
	}
	rec.note("config 5 acknowledged: museum-a isolated: true")
	time.Sleep(configApplyMs*time.Millisecond + applyMargin)
	mu.Lock()
	before := len(runs)
	mu.Unlock()
	ask(keyOfB, "bbbb", 6)
	mu.Lock()
	defer mu.Unlock()
	if len(runs) < 12 {
		return outcome{}, fmt.Errorf("only %d of 12 requests ran", len(runs))
	}
	foreign := 0
	for _, r := range runs[before:] {
		for _, h := range r.hits {
			if h.madeBy != r.organisation {
				foreign++
			}
		}
	}
	return outcome{foreign > 0, fmt.Sprintf("%d cached parts of isolated museum-a were used by requests of museum-b", foreign)}, nil
}
