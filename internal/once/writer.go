package once

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/platform"
)

// maxBatch bounds the records of one append.
const maxBatch = 500

// resendAfter is how long a record that was appended may stay unseen.
const resendAfter = time.Second

// queued is a record that is to be seen on the log.
type queued struct {
	rec  *pb.ClaimRecord
	sent time.Time
}

// enqueue hands a record to the writer. mu is held.
func (c *Claimer) enqueue(rec *pb.ClaimRecord) {
	c.queue = append(c.queue, &queued{rec: rec})
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// write appends what is queued, one append at a time, until ctx ends.
func (c *Claimer) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-time.After(resendAfter):
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.group()):
		}
		c.flush(ctx)
	}
}

// flush appends every record not yet seen on the log. Folding a record twice
// has no effect, so a record whose append had no answer is sent again.
func (c *Claimer) flush(ctx context.Context) {
	for {
		batch := c.due(time.Now())
		if len(batch.Records) == 0 {
			return
		}
		payload, err := proto.Marshal(batch)
		if err != nil {
			return
		}
		if _, err := c.log.Append(ctx, platform.ClaimStream, payload); err != nil {
			return
		}
	}
}

func (c *Claimer) due(now time.Time) *pb.ClaimBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := &pb.ClaimBatch{}
	keep := c.queue[:0]
	for _, q := range c.queue {
		if q.rec.GetClaim() != nil && c.dropped(q) {
			continue
		}
		keep = append(keep, q)
		if now.Sub(q.sent) >= resendAfter && len(batch.Records) < maxBatch {
			q.sent = now
			batch.Records = append(batch.Records, q.rec)
		}
	}
	c.queue = keep
	return batch
}

// dropped reports whether a queued claim need not be sent any more. One that
// was sent and then abandoned stays known, to be released if it turns up.
func (c *Claimer) dropped(q *queued) bool {
	w := c.waiting[q.rec.ClaimId]
	if w == nil {
		return true
	}
	if !w.machine.Is(StateAbandoned) {
		return false
	}
	if q.sent.IsZero() {
		delete(c.waiting, q.rec.ClaimId)
	}
	return true
}

func (c *Claimer) dequeue(rec *pb.ClaimRecord) {
	for i, q := range c.queue {
		if q.rec.ClaimId == rec.ClaimId && sameStep(q.rec, rec) {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

func sameStep(a, b *pb.ClaimRecord) bool {
	return (a.GetClaim() != nil) == (b.GetClaim() != nil) &&
		(a.GetRelease() != nil) == (b.GetRelease() != nil)
}
