package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/quarantine"
)

// crashUnder records crashes of so many servers under a request.
func crashUnder(d *Dispatcher, req *Request, first, servers int) {
	for i := range servers {
		d.crashes.Crashed(quarantine.Server(first+i), []quarantine.Digest{req.digest()}, time.Now())
	}
}

// TestPoisonRequestIsSentToNobody: once three servers crashed under a request, whichever
// hosts saw it, other attempts at it are denied at once, and other requests are served.
func TestPoisonRequestIsSentToNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		req := resumable()
		crashUnder(d, req, 1, 2)
		if _, err := d.Run(context.Background(), req, &recorder{}); err != nil || f.runs != 1 {
			t.Errorf("after two crashes: %v, ran %d times", err, f.runs)
		}
		// That answer cleared it.
		time.Sleep(time.Second)
		crashUnder(d, req, 10, 3)
		again := resumable()
		again.ID = "r-2"
		report, err := d.Run(context.Background(), again, &recorder{})
		if !errkind.Is(err, errkind.Quarantined) || errkind.From(err).Retry() != 0 || report.Sends != 0 {
			t.Errorf("after three crashes: %v, %+v", err, report)
		}
		other := resumable()
		other.Body = []byte("another body")
		if _, err := d.Run(context.Background(), other, &recorder{}); err != nil {
			t.Errorf("another request: %v", err)
		}
	})
}

// TestPoisonRequestIsNotSentOn: the third crash is seen while the host has the request under
// way, and then its stream is cut. The caller is told that the request may have run, which is true, and no other server gets it.
func TestPoisonRequestIsNotSentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{cutsStream}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		req := resumable()
		crashUnder(d, req, 1, 2)
		req.Route.Attempts = 3
		// Another host sees the third crash while this one passes the first event on.
		out := &crashOnEvent{recorder: &recorder{}, crash: func() { crashUnder(d, req, 10, 1) }}
		_, err := d.Run(context.Background(), req, out)
		if !errkind.Is(err, errkind.BackendLost) || f.runs != 1 {
			t.Errorf("%v, ran %d times", err, f.runs)
		}
	})
}

// crashOnEvent is a caller at whose first event a host learns of a crash.
type crashOnEvent struct {
	*recorder
	crash func()
}

// Event implements Answer.
func (c *crashOnEvent) Event(data []byte) error {
	if c.crash != nil {
		c.crash()
		c.crash = nil
	}
	return c.recorder.Event(data)
}

// TestAttemptsUnderWayEndWithTheRefusal: copies of a request that wait at other servers when
// it is refused are ended, and nothing else is; one whose answer has begun goes on.
func TestAttemptsUnderWayEndWithTheRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{hangs, hangs}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		other := nonIdempotent()
		other.Body = []byte("another body")
		type end struct {
			err   error
			after time.Duration
		}
		run := func(req *Request) chan end {
			out := make(chan end, 1)
			ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
			began := time.Now()
			go func() {
				defer cancel()
				_, err := d.Run(ctx, req, &recorder{})
				out <- end{err, time.Since(began)}
			}()
			return out
		}
		waiting, beside := run(nonIdempotent()), run(other)
		time.Sleep(100 * time.Millisecond)
		crashUnder(d, nonIdempotent(), 1, 3)
		if got := <-waiting; !errkind.Is(got.err, errkind.BackendLost) || got.after > 101*time.Millisecond {
			t.Errorf("the attempt under way ended with %v after %v", got.err, got.after)
		}
		if got := <-beside; !errkind.Is(got.err, errkind.DeadlineExceeded) {
			t.Errorf("the other one ended with %v after %v", got.err, got.after)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{streams}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		req := resumable()
		out := &crashOnEvent{recorder: &recorder{}, crash: func() { crashUnder(d, req, 1, 3) }}
		if _, err := d.Run(context.Background(), req, out); err != nil {
			t.Errorf("an answer that had begun was ended: %v", err)
		}
	})
}
