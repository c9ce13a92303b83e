package once

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/platform"
	"github.com/briarlink/briarlink/internal/statemachine"
	"github.com/briarlink/briarlink/internal/uuid7"
)

func (c *Claimer) position() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Next()
}

// ingest folds one page of the claims stream.
func (c *Claimer) ingest(page platform.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if page.First > c.table.Next() {
		at := page.Now
		if len(page.Records) > 0 {
			at = page.Records[0].Time
		}
		c.table.Gap(page.First, at)
	}
	c.forget(page.Now)
	for _, rec := range page.Records {
		if rec.Offset != c.table.Next() {
			continue
		}
		batch := &pb.ClaimBatch{}
		if err := proto.Unmarshal(rec.Payload, batch); err != nil {
			batch = &pb.ClaimBatch{}
		}
		verdicts := c.table.Fold(batch, rec.Time)
		c.seen(batch, verdicts)
	}
	if len(page.Records) > 0 {
		close(c.folded)
		c.folded = make(chan struct{})
	}
}

// forget drops abandoned claims whose key can no longer be claimed.
func (c *Claimer) forget(now time.Time) {
	for id, w := range c.waiting {
		made, _ := uuid7.Time(w.rec.Key)
		if w.machine.Is(StateAbandoned) && now.Sub(made) > c.table.horizon {
			delete(c.waiting, id)
		}
	}
}

// seen takes records off the queue and answers the claims that wait.
func (c *Claimer) seen(batch *pb.ClaimBatch, verdicts map[string]Judgement) {
	for _, rec := range batch.Records {
		c.dequeue(rec)
	}
	for id, j := range verdicts {
		w := c.waiting[id]
		if w == nil {
			continue
		}
		delete(c.waiting, id)
		c.judge(w, j)
	}
}

func (c *Claimer) judge(w *waiter, j Judgement) {
	owns := j.Verdict == Won || j.Verdict == Untrusted
	if w.machine.Is(StateAbandoned) {
		if owns {
			c.release(w)
		}
		return
	}
	if j.Verdict == Won {
		statemachine.Fire(w.machine, eventWin)
	} else {
		statemachine.Fire(w.machine, eventLose)
	}
	if j.Verdict == Untrusted {
		c.sendRelease(w)
	}
	w.judgement <- j
}
