package schedule

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/platform"
)

// TestConcurrentRequestsShareTheRoomOfBrittleServers guards against concurrent requests that all use the same free
// slot of a brittle server, and against a request that is not sent there later because another took the slot.
func TestConcurrentRequestsShareTheRoomOfBrittleServers(t *testing.T) {
	const hosts, own, requests, rounds = 32, 2, 16, 200
	s, _, table := newScheduler("a")
	table.SetSlotShare(replica.SlotShare{Hosts: hosts})
	now := time.Now()
	f := table.Begin("a", replica.Work{}, now)
	f.RecordNotice(platform.ReplicaAnswer{Brittle: true, MaxRejections: 5, Sealed: true}, now)
	f.Rejected(now)
	f.End(replica.Refused, now)
	now = now.Add(2 * time.Second)
	for range rounds {
		var sent, excluded atomic.Int32
		var mu sync.Mutex
		var choices []*Choice
		var wg sync.WaitGroup
		start := make(chan struct{})
		for range requests {
			wg.Go(func() {
				req := request(open, "shared")
				req.Blocks, req.PromptTokens = nil, 10
				<-start
				c, err := s.Pick(req, now)
				if err == nil {
					sent.Add(1)
					mu.Lock()
					defer mu.Unlock()
					choices = append(choices, c)
				} else if !errors.Is(err, route.ErrNoRoom) || len(req.Exclude) > 0 {
					excluded.Add(1)
				}
			})
		}
		close(start)
		wg.Wait()
		if sent.Load() != own || excluded.Load() > 0 {
			t.Fatalf("%d requests sent, %d slots belong to this host; %d of the others may not be sent there later", sent.Load(), own, excluded.Load())
		}
		for _, c := range choices {
			c.Flight.End(replica.Answered, now)
		}
	}
}
