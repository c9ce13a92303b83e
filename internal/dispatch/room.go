package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/briarlink/briarlink/internal/clock"
)

const (
	// roomPollInterval is how often a request that waits for room at brittle replicas is scheduled again.
	roomPollInterval = 5 * time.Millisecond
	// maxRoomWaitShare limits that wait, as a share of the time left until the deadline. The route's
	// latency target limits it too.
	maxRoomWaitShare = 0.3
	// maxRoomWaiters limits how many requests of a service wait at this host. Those behind them would be
	// served too late.
	maxRoomWaiters = 8
)

// roomQueue counts waiting requests by service. It is safe for concurrent use.
type roomQueue struct {
	mu      sync.Mutex
	waiting map[string]int
}

// enter counts a waiting request, unless there are too many.
func (q *roomQueue) enter(service string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = map[string]int{}
	}
	if q.waiting[service] >= maxRoomWaiters {
		return false
	}
	q.waiting[service]++
	return true
}

func (q *roomQueue) leave(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[service]--
}

// waitForRoom waits a moment for room at brittle replicas, and reports whether to try again. Each
// rejection by a brittle replica counts towards its fall, so that the request is not sent there instead.
func (r *run) waitForRoom(ctx context.Context) bool {
	limit := time.Duration(maxRoomWaitShare * float64(r.req.Deadline.Sub(r.began)))
	if target := r.req.Route.LatencyTarget; target > 0 {
		limit = min(limit, target)
	}
	service := r.req.Service.Name
	if r.roomWait >= limit || !r.d.rooms.enter(service) {
		return false
	}
	defer r.d.rooms.leave(service)
	clock.Sleep(ctx, roomPollInterval)
	r.roomWait += roomPollInterval
	return true
}
