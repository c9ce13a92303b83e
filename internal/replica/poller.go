package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/api/briarlink/v1/briarlinkv1connect"
)

const (
	pollWorkers   = 16
	pollTimeLimit = time.Second
)

// Poller asks every backend server for its load and cache events.
type Poller struct {
	table    *Table
	interval time.Duration
	client   connect.HTTPClient
	kick     chan struct{}
}

// NewPoller returns a poller that asks each backend server once an interval.
func NewPoller(table *Table, interval time.Duration) *Poller {
	return &Poller{table: table, interval: interval, client: http.DefaultClient, kick: make(chan struct{}, 1)}
}

// Kick starts the next round at once.
func (p *Poller) Kick() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.kick:
		}
	}
}

// round polls all backend servers once with a bounded number of workers.
func (p *Poller) round(ctx context.Context) {
	work := make(chan Target)
	var wg sync.WaitGroup
	for range pollWorkers {
		wg.Go(func() {
			for target := range work {
				p.poll(ctx, target)
			}
		})
	}
	for _, target := range p.table.Targets() {
		work <- target
	}
	close(work)
	wg.Wait()
	p.table.Expire(time.Now())
}

func (p *Poller) poll(ctx context.Context, target Target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeLimit)
	defer cancel()
	engine := briarlinkv1connect.NewEngineServiceClient(p.client, "http://"+target.Address)
	resp, err := engine.Poll(ctx, connect.NewRequest(&pb.PollRequest{FromSequence: target.Sequence}))
	if err != nil {
		return
	}
	p.table.Report(target.ID, resp.Msg, time.Now())
}
