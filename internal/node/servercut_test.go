package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/briarlink/briarlink/test/standin/wire"
)

// tally counts first tries at some hosts.
type tally struct {
	mu           sync.Mutex
	sent, served int
	// failed counts the others by kind, status and body.
	failed map[string]int
}

func (t *tally) add(served bool, kind, status int, body string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if served {
		t.served++
		return
	}
	if t.failed == nil {
		t.failed = map[string]int{}
	}
	t.failed[fmt.Sprintf("kind %d, status %d, %s", kind, status, body)]++
}

// brokenRecover states whether hosts that are cut off from the servers serve first tries less than
// two thirds as often as the others, and more than 10 and 1 in 50 of all fail there.
func brokenRecover(cut, others *tally) bool {
	if cut.sent == 0 || others.sent == 0 {
		return false
	}
	failed := cut.sent - cut.served
	return float64(cut.served)/float64(cut.sent) < 2.0/3*float64(others.served)/float64(others.sent) &&
		failed > 10+(cut.sent+others.sent)/50
}

// Kinds of requests: a stream, and requests that may and must not be repeated.
const (
	kindReport = iota
	kindView
	kindUpdate
	kinds
)

// sendFirstTry sends a request to a host itself, as a caller does that stays with it. It returns the
// status, 0 without an answer, the body, and whether the whole answer of a server arrived.
func sendFirstTry(c *http.Client, h *host, id string, kind int) (status int, body string, served bool) {
	method, path, body, events := http.MethodPost, "/updates/1", "wax", 0
	switch kind {
	case kindReport:
		path, body, events = "/reports/1", "", 6
	case kindView:
		method, path, body = http.MethodGet, "/views/1", ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.settings.Listen.Caller+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error(), false
	}
	r.Host = "museum.example"
	r.Header.Set(wire.Key, "key-of-museum-a")
	r.Header.Set(wire.Attempt, id)
	r.Header.Set(wire.Deadline, "2000")
	if events > 0 {
		r.Header.Set(wire.Model, "m")
		r.Header.Set(wire.Prefix, "a1:800,b2:40")
		r.Header.Set(wire.Tokens, "840,16")
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, err.Error(), false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get(wire.Seal) != "" && strings.Count(string(data), "id: ") == events
}

func newTestClient(t *testing.T) *http.Client {
	c := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// awaitDirectories waits until the directory of each host names all of them.
func awaitDirectories(t *testing.T, hosts []*host) {
	t.Helper()
	eventually(t, "all hosts in the directory", func() bool {
		for _, h := range hosts {
			if len(h.node.directory("z1")) != len(hosts) {
				return false
			}
		}
		return true
	})
}

// keepSending sends requests to a host from several callers until the context ends, and counts those
// that begin while counting returns a tally. It calls ended with the status of each request that
// must not be repeated.
func keepSending(ctx context.Context, wg *sync.WaitGroup, h *host, counting func() *tally, ended func(id string, status int)) {
	const callers, pause = 4, 25 * time.Millisecond
	for n := range callers {
		wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				count := counting()
				id := fmt.Sprintf("%s-%d-%d", h.settings.Host.Id, n, i)
				status, body, served := sendFirstTry(c, h, id, (i+n)%kinds)
				if (i+n)%kinds == kindUpdate {
					ended(id, status)
				}
				if count != nil && ctx.Err() == nil {
					count.add(served, (i+n)%kinds, status, body)
				}
				time.Sleep(pause)
			}
		})
	}
}

// TestCallersOfHostsCutOffFromServersAreServed guards against hosts that reject every request while
// they reach no server, although other hosts reach them: five of nine did so for as long as the cut
// lasted, and directories went on naming them.
func TestCallersOfHostsCutOffFromServersAreServed(t *testing.T) {
	for _, mode := range []cutMode{cutHangs, cutResets, cutRefusesNew, cutResetsAccepted, cutSwallows} {
		for _, cutHosts := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d of 3", mode, cutHosts), func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				s.configure(1)
				a := s.host("a", s.address)
				hosts := []*host{a, s.host("b", s.address, a), s.host("c", s.address, a)}
				awaitDirectories(t, hosts)
				cut, others := &tally{}, &tally{}
				var counting, updates sync.Map
				ctx, stop := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				for i, h := range hosts {
					keepSending(ctx, &wg, h, func() *tally {
						if _, on := counting.Load("on"); !on {
							return nil
						}
						if i < cutHosts {
							return cut
						}
						return others
					}, func(id string, status int) { updates.Store(id, status) })
				}
				time.Sleep(500 * time.Millisecond)
				for _, h := range hosts[:cutHosts] {
					h.link.cut(mode)
				}
				// The bound holds from 3 s after the cut began.
				time.Sleep(3 * time.Second)
				counting.Store("on", true)
				time.Sleep(2 * time.Second)
				counting.Delete("on")
				stop()
				wg.Wait()
				t.Logf("cut hosts served %d of %d, the others %d of %d; failed: %v, %v", cut.served, cut.sent, others.served, others.sent, cut.failed, others.failed)
				if cut.sent == 0 {
					t.Error("no request that began at a cut host within 2 s ended in that time")
				}
				if brokenRecover(cut, others) {
					t.Errorf("cut hosts served %d of %d first tries, the others %d of %d", cut.served, cut.sent, others.served, others.sent)
				}
				updates.Range(func(id, status any) bool {
					ran := s.jobs.Ran(id.(string))
					if ran > 1 || ran > 0 && status == http.StatusServiceUnavailable {
						t.Errorf("update %s ran %d times and was answered %d", id, ran, status)
					}
					return true
				})
			})
		}
	}
}

// TestCallersAreServedWhereOtherHostsAreIdle guards against a host that is cut off and passes nothing on, as no other
// host has sent a request to the service of late and knows that it reaches it.
func TestCallersAreServedWhereOtherHostsAreIdle(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	a := s.host("a", s.address)
	awaitDirectories(t, []*host{a, s.host("b", s.address, a)})
	count := &tally{}
	var counting sync.Map
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	keepSending(ctx, &wg, a, func() *tally {
		if _, on := counting.Load("on"); on {
			return count
		}
		return nil
	}, func(string, int) {})
	time.Sleep(500 * time.Millisecond)
	a.link.cut(cutSwallows)
	// Contact is lost after 4 s, and callers wait up to 2 s for the requests that they sent before.
	time.Sleep(6 * time.Second)
	counting.Store("on", true)
	time.Sleep(time.Second)
	stop()
	wg.Wait()
	t.Logf("%d of %d served; failed: %v", count.served, count.sent, count.failed)
	if count.served < count.sent*2/3 || count.served == 0 {
		t.Errorf("%d of %d served while another host reaches the servers", count.served, count.sent)
	}
}
