package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/briarlink/briarlink/platform"
)

const (
	drainServers = 8
	drainRounds  = 5
	drainTime    = 2 * time.Second
	// linger is how long a replica that leaves serves after its entry was removed.
	linger    = 6 * time.Second
	drainRate = 200
	drainWork = 150 * time.Millisecond
)

// drain restarts a host, as the platform does in planned work, while replicas leave, and checks that none of
// them gets a request later than DrainMs after the store acknowledged that it is gone.
func drain(rec *record, trouble bool) (outcome, error) {
	c, err := newCluster(rec)
	if err != nil {
		return outcome{}, err
	}
	defer c.stop()
	if err := c.put(platform.OperatorTopic, "config", plainConfig(3)); err != nil {
		return outcome{}, err
	}
	d := &drainCase{rec: rec, cluster: c, zones: []string{"heredia-a", "heredia-b", "cartago-a"}, gone: map[string]time.Time{}, inTouch: map[string]bool{}}
	for range drainServers {
		if _, err := d.boot(); err != nil {
			return outcome{}, err
		}
	}
	if err := c.startHosts(3, d.zones); err != nil {
		return outcome{}, err
	}
	time.Sleep(2 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { d.sendRequests(ctx, &wg) })
	for round := range drainRounds {
		if err := d.round(c.hosts[round%len(c.hosts)], trouble); err != nil {
			stop()
			wg.Wait()
			return outcome{}, err
		}
	}
	stop()
	wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	return outcome{d.late > 0, fmt.Sprintf("%d of %d requests that ran were sent on by hosts in touch and reached a replica later than %v after the store acknowledged that it is gone; %d requests were lost with a 502; %d were served",
		d.late, d.ran, drainTime, d.cut, d.served)}, nil
}

type drainCase struct {
	rec     *record
	cluster *cluster
	zones   []string

	mu sync.Mutex
	// servers are those that have not left, and gone has the times at which the store acknowledged that others are.
	servers   []*server
	gone      map[string]time.Time
	booted    int
	late, ran int
	// inTouch has the requests that were sent to hosts in touch, by ID.
	inTouch map[string]bool
	// cut and served count the answers to consumers: 502 and 200.
	cut, served int
}

func (d *drainCase) boot() (*server, error) {
	d.mu.Lock()
	n := d.booted
	d.booted++
	d.mu.Unlock()
	s := &server{id: fmt.Sprintf("i-%d", n), service: "jobs", zone: d.zones[n%3], slots: 6, work: drainWork, cluster: d.cluster, onRun: d.onRun}
	if err := s.start(fmt.Sprintf("%s.%d", d.cluster.network, 100+n)); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = append(d.servers, s)
	return s, nil
}

func (d *drainCase) onRun(r run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ran++
	after := time.Duration(0)
	if at, left := d.gone[r.server]; left {
		after = r.at.Sub(at)
	}
	if after > drainTime && d.inTouch[r.id] {
		d.late++
	}
	d.rec.note("server %s runs %s, %d ms after its entry was removed", r.server, r.id, after.Milliseconds())
}

// round replaces one replica: a new one starts, and the old one leaves without a word of draining. With trouble, a
// host was stopped before and starts at that moment.
func (d *drainCase) round(h *host, trouble bool) error {
	if _, err := d.boot(); err != nil {
		return err
	}
	if trouble {
		d.rec.note("SIGTERM to %s", h.name)
		d.mu.Lock()
		h.startedAt = time.Time{}
		d.mu.Unlock()
		if err := h.process.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		<-h.exited
		d.rec.note("%s has ended", h.name)
	}
	d.mu.Lock()
	old := d.servers[0]
	d.servers = d.servers[1:]
	d.mu.Unlock()
	if err := old.leave(); err != nil {
		return err
	}
	d.mu.Lock()
	d.gone[old.id] = time.Now()
	d.mu.Unlock()
	d.rec.note("server %s leaves: the store acknowledged the removal of its entry", old.id)
	if trouble {
		d.mu.Lock()
		err := d.cluster.startHost(h)
		d.mu.Unlock()
		if err != nil {
			return err
		}
	}
	time.Sleep(linger)
	old.crash()
	d.rec.note("server %s has ended", old.id)
	return d.cluster.awaitReady()
}

// sendRequests sends requests for pages and updates to the hosts that are ready until ctx ends.
func (d *drainCase) sendRequests(ctx context.Context, wg *sync.WaitGroup) {
	client := newClient()
	// Two of four requests are updates, which must not be repeated.
	ticker := time.NewTicker(time.Second / drainRate)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h := d.cluster.hosts[n%len(d.cluster.hosts)]
		q := request{id: newID(), method: http.MethodGet, path: fmt.Sprintf("%sjob-%d", viewPath, n), key: keyOfA, deadline: 2 * time.Second}
		if n%4 < 2 {
			q.method, q.path, q.body = http.MethodPost, fmt.Sprintf("%sjob-%d", updatePath, n), "treated with wax"
		}
		d.mu.Lock()
		d.inTouch[q.id] = h.inTouch(time.Now())
		d.mu.Unlock()
		wg.Go(func() {
			a := send(client, h.front, q)
			d.rec.note("consumer sent %s to %s: status %d, seal %q, error %v", q.id, h.name, a.status, a.seal, a.err)
			d.mu.Lock()
			defer d.mu.Unlock()
			switch a.status {
			case http.StatusOK:
				d.served++
			case http.StatusBadGateway:
				// A replica that ends takes with it what it was given too late.
				d.cut++
			}
		})
	}
}
