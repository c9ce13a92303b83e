package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/briarlink/briarlink/test/standin/caller"
	"github.com/briarlink/briarlink/test/standin/engine"
)

// TestServersThatTurnUploadsAwayStayInUse guards against sound requests that are refused or denied, and servers that are
// avoided, because connections broke on which servers turned long uploads away.
func TestServersThatTurnUploadsAwayStayInUse(t *testing.T) {
	const servers, uploaders, rounds, maxBody = 4, 8, 40, 10 << 10
	s := newSite(t)
	s.jobs.TurnAwayOver = maxBody
	for i := range servers - 1 {
		s.backend(engine.Options{ID: fmt.Sprint("i-jobs-", i), Service: "jobs", TurnAwayOver: maxBody})
	}
	s.configure(1)
	h := s.host("a", s.address)
	eventually(t, "a ready host", h.ready)
	upload := strings.Repeat("x", 3<<20)
	sendTo := func(c *caller.Caller, id, path, body string) int {
		a, err := c.SendTo(context.Background(), h.settings.Listen.Caller, caller.Request{ID: id, Method: http.MethodPost, Path: path, Body: body, Deadline: 20 * time.Second})
		if err != nil || !a.Whole {
			return 0
		}
		return a.Status
	}
	for _, path := range []string{"/updates/1", "/views/1"} {
		var wg sync.WaitGroup
		for n := range uploaders {
			wg.Go(func() {
				c := h.caller()
				c.KeepConnections()
				for i := range rounds {
					// A retry that the budget does not allow is no promise either.
					if status := sendTo(c, fmt.Sprintf("upload-%s-%d-%d", path, n, i), path, upload); status != http.StatusBadGateway {
						t.Errorf("%s: upload %d of caller %d: %d", path, i, n, status)
					}
				}
			})
		}
		c := h.caller()
		c.KeepConnections()
		for i := range rounds {
			if status := sendTo(c, fmt.Sprintf("small-%s-%d", path, i), path, "wax"); status != http.StatusOK {
				t.Errorf("%s: small request %d: %d", path, i, status)
			}
		}
		wg.Wait()
		if h.node.replicas.LostContact("jobs") {
			t.Errorf("%s: the host counts as cut off", path)
		}
	}
}
