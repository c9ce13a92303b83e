package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// rejectBeyond answers like a server that rejects requests for want of room when it runs as many as slots.
func rejectBeyond(slots int64, h http.Handler) http.Handler {
	var running atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/-/") {
			h.ServeHTTP(w, r)
			return
		}
		defer running.Add(-1)
		if running.Add(1) <= slots {
			h.ServeHTTP(w, r)
			return
		}
		w.Header().Set(wire.Attempt, r.Header.Get(wire.Attempt))
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// TestOrganisationsShareCapacity guards against parts that decide well, but are not connected: three
// hosts exchange reports while one organisation sends one and a half times what servers can run, and
// another a quarter of it. Without fair shares, both are served alike.
func TestOrganisationsShareCapacity(t *testing.T) {
	const servers, slots, work, length = 4, 2, 100 * time.Millisecond, 6 * time.Second
	s := newSite(t)
	for i := range servers {
		var handler http.Handler
		address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }))
		e := engine.New(engine.Options{ID: fmt.Sprint("i-few-", i), Service: "jobs", Work: work, Zone: "z1", Slots: slots, Address: address})
		handler = rejectBeyond(slots, e.Handler())
		if err := e.Register(func(key string, entry any) error { return s.store.PutJSON(platform.ReplicaTopic, key, entry) }, false); err != nil {
			t.Fatal(err)
		}
	}
	s.store.Put(platform.ReplicaTopic, s.jobs.ID, nil)
	s.configure(1)
	shared := func(set *pb.Settings) { set.Overload.FairShare = true }
	a := s.hostWith("a", s.address, shared)
	hosts := []*host{a, s.hostWith("b", s.address, shared, a), s.hostWith("c", s.address, shared, a)}
	awaitDirectories(t, hosts)
	var wg sync.WaitGroup
	var asked, few, many tally
	send := func(key string, perSecond int, counted *tally) {
		client := newTestClient(t)
		for n := range perSecond * int(length/time.Second) {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * time.Second / time.Duration(perSecond))
				status, served := callWithRetries(client, hosts, key, fmt.Sprint(key, n), &asked)
				counted.add(served, kindView, status, "")
			})
		}
	}
	send("key-of-museum-a", 20, &few)
	send("key-of-museum-b", 120, &many)
	wg.Wait()
	t.Logf("few: %d of %d served, many: %d of %d; refused attempts: %v", few.served, few.sent, many.served, many.sent, asked.failed)
	if few.served*100 < few.sent*90 {
		t.Errorf("an organisation below its share: %d of %d served, failed: %v", few.served, few.sent, few.failed)
	}
	if possible := int(servers * slots * length / work); (few.served+many.served)*10 < possible*6 {
		t.Errorf("%d served of %d possible", few.served+many.served, possible)
	}
	if asked.sent == 0 || asked.served < asked.sent {
		t.Errorf("of %d refused attempts %d were overloaded with a Retry-After: %v", asked.sent, asked.served, asked.failed)
	}
}

// callWithRetries sends a request to a random host and twice again when it is told to. Refused attempts
// are counted; those that count as served are refusals as they should be.
func callWithRetries(c *http.Client, hosts []*host, key, id string, refused *tally) (status int, served bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for range 3 {
		h := hosts[rand.IntN(len(hosts))]
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.settings.Listen.Caller+"/views/"+id, nil)
		if err != nil {
			return 0, false
		}
		deadline, _ := ctx.Deadline()
		r.Host = "museum.example"
		r.Header.Set(wire.Key, key)
		r.Header.Set(wire.Deadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
		resp, err := c.Do(r)
		if err != nil {
			return 0, false
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return resp.StatusCode, true
		}
		status = resp.StatusCode
		wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		refused.add(err == nil && wait > 0 && status == http.StatusServiceUnavailable, kindView, status, "")
		time.Sleep(time.Duration(wait * float64(time.Second)))
	}
	return status, false
}
