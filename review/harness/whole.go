package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/briarlink/briarlink/platform"
)

const (
	smallAnswer = 1 << 20
	largeAnswer = 17 << 20
)

// whole reads answers of plain servers, long ones with the disruption, and checks that a success has the
// replica's whole body.
func whole(rec *record, trouble bool) (outcome, error) {
	c, err := newCluster(rec)
	if err != nil {
		return outcome{}, err
	}
	defer c.stop()
	if err := c.put(platform.OperatorTopic, "config", plainConfig(3)); err != nil {
		return outcome{}, err
	}
	zones := []string{"heredia-a", "heredia-b"}
	for i := range 4 {
		s := &server{id: fmt.Sprintf("i-%d", i+1), service: "jobs", zone: zones[i%2], slots: 6, work: 30 * time.Millisecond, cluster: c, onRun: func(r run) { rec.note("server %s runs %s", r.server, r.id) }}
		if err := s.start(fmt.Sprintf("%s.%d", c.network, 100+i)); err != nil {
			return outcome{}, err
		}
		defer s.crash()
	}
	if err := c.startHosts(2, zones); err != nil {
		return outcome{}, err
	}
	time.Sleep(2 * time.Second)
	size := smallAnswer
	if trouble {
		size = largeAnswer
	}
	want := bodyText(size, 0)
	client := newClient()
	cut, served := 0, 0
	for i := range 10 {
		q := request{id: newID(), method: http.MethodGet, path: fmt.Sprintf("%s%d?bytes=%d", viewPath, i, size), key: keyOfA, deadline: 2 * time.Second}
		a := send(client, c.hosts[i%2].front, q)
		rec.note("consumer sent %s for %d bytes: status %d, seal %q, %d bytes, error %v", q.id, size, a.status, a.seal, len(a.body), a.err)
		if a.err != nil || a.status != http.StatusOK {
			continue
		}
		served++
		if a.body != want {
			cut++
		}
	}
	return outcome{cut > 0, fmt.Sprintf("%d of %d successes lacked a part of the replica's body of %d bytes", cut, served, size)}, nil
}
