package node

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/engine"
)

// serverState returns a server's state at a host, "" if the host does not know it.
func (h *host) serverState(id string) string {
	for _, r := range h.node.replicas.Status(time.Now()) {
		if r.Id == id {
			return r.State
		}
	}
	return ""
}

// TestRemovalReachesHostsThatFetchFromAStartedHost guards against removals that are skipped for good. A host that
// starts lists the entries, and so knows no removal that came before; others that had not read it yet took over its
// position, and went on sending requests to the server until it exited.
func TestRemovalReachesHostsThatFetchFromAStartedHost(t *testing.T) {
	for name, storeReturns := range map[string]bool{"the host reads the store again": true, "the store goes on turning it away": false} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.configure(1)
			var turnedAway atomic.Bool
			storeOfA := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if turnedAway.Load() {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				s.store.Handler().ServeHTTP(w, r)
			}))
			a := s.host("a", storeOfA)
			eventually(t, "readiness", a.ready)
			eventually(t, "the server", func() bool { return a.serverState("i-jobs") == replica.StateServing })
			turnedAway.Store(true)
			eventually(t, "the outage", func() bool { return !a.node.access.Stable(time.Now()) })
			s.store.Put(platform.ReplicaTopic, "i-jobs", nil)
			s.backend(engine.Options{ID: "i-jobs-2", Service: "jobs"})
			b := s.host("b", s.address, a)
			eventually(t, "readiness of the host that starts", b.ready)
			eventually(t, "the entry after the removal", func() bool { return a.serverState("i-jobs-2") != "" })
			if storeReturns {
				turnedAway.Store(false)
			}
			eventually(t, "the removal", func() bool { return a.serverState("i-jobs") != replica.StateServing })
		})
	}
}
