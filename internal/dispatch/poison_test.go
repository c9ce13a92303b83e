package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/quarantine"
)

// recordCrashes records that servers, numbered from first, crashed while running the request.
func recordCrashes(d *Dispatcher, req *Request, first, servers int) {
	for i := range servers {
		d.crashes.Crashed(quarantine.Server(first+i), []quarantine.Fingerprint{{Request: req.digest()}}, time.Now(), time.Now())
	}
}

// TestPoisonRequestIsDenied: once three servers crashed while running a request, further
// attempts at it are rejected at once, and other requests are served. A request that was answered
// before is only rejected if the servers did not crash at the same time.
func TestPoisonRequestIsDenied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		req := resumable()
		recordCrashes(d, req, 1, 2)
		if _, err := d.Run(context.Background(), req, &recorder{}); err != nil || f.runs != 1 {
			t.Errorf("after two crashes: %v, ran %d times", err, f.runs)
		}
		// The answer has cleared the two crashes.
		again := resumable()
		again.ID = "r-2"
		for i := range 3 {
			time.Sleep(time.Second)
			recordCrashes(d, req, 10+i, 1)
		}
		report, err := d.Run(context.Background(), again, &recorder{})
		if !errkind.Is(err, errkind.Quarantined) || errkind.From(err).Retry() != 0 || report.Sends != 0 {
			t.Errorf("after three crashes: %v, %+v", err, report)
		}
		unanswered := resumable()
		unanswered.ID, unanswered.Body = "r-3", []byte("never answered")
		recordCrashes(d, unanswered, 20, 3)
		report, err = d.Run(context.Background(), unanswered, &recorder{})
		if !errkind.Is(err, errkind.Quarantined) || errkind.From(err).Retry() != 0 || report.Sends != 0 {
			t.Errorf("after three crashes at once, without an answer before: %v, %+v", err, report)
		}
		other := resumable()
		other.Body = []byte("another body")
		if _, err := d.Run(context.Background(), other, &recorder{}); err != nil {
			t.Errorf("another request: %v", err)
		}
	})
}

// TestPoisonRequestIsNotRetried: the third crash is reported while the request is running on
// this host, and then its stream breaks. The request must not be sent to another server, and
// the error must say that it may have run.
func TestPoisonRequestIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{cutsStream}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		req := resumable()
		recordCrashes(d, req, 1, 2)
		req.Route.Attempts = 3
		// Another host reports the third crash while this one forwards the first event.
		out := &crashOnEvent{recorder: &recorder{}, crash: func() { recordCrashes(d, req, 10, 1) }}
		_, err := d.Run(context.Background(), req, out)
		if !errkind.Is(err, errkind.BackendLost) || f.runs != 1 {
			t.Errorf("%v, ran %d times", err, f.runs)
		}
	})
}

// crashOnEvent is a caller that triggers a crash report when it receives the first event.
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

// TestQuarantineCancelsWaitingAttempts: when a request is quarantined, attempts at it that
// wait at other servers are cancelled. Attempts at other requests, and those whose answer has
// started, go on.
func TestQuarantineCancelsWaitingAttempts(t *testing.T) {
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
		waiting, concurrent := run(nonIdempotent()), run(other)
		time.Sleep(100 * time.Millisecond)
		recordCrashes(d, nonIdempotent(), 1, 3)
		if got := <-waiting; !errkind.Is(got.err, errkind.BackendLost) || got.after > 101*time.Millisecond {
			t.Errorf("the waiting attempt ended with %v after %v", got.err, got.after)
		}
		if got := <-concurrent; !errkind.Is(got.err, errkind.DeadlineExceeded) {
			t.Errorf("the other request ended with %v after %v", got.err, got.after)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{streams}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		req := resumable()
		out := &crashOnEvent{recorder: &recorder{}, crash: func() { recordCrashes(d, req, 1, 3) }}
		if _, err := d.Run(context.Background(), req, out); err != nil {
			t.Errorf("an answer that had started was cancelled: %v", err)
		}
	})
}

// TestStreamThatEndsWithinAnEventIsBrokenOff guards against a crash that is not noticed: a stream
// without length or chunks whose server crashes within an event ends as if it had been closed. Its
// caller must not take it for complete, and its server is probed.
func TestStreamThatEndsWithinAnEventIsBrokenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{endsWithinEvent}, ranAt: map[string]bool{}}
		d, table := newDispatcher(f)
		req := resumable()
		req.Route.Resumable = false
		out := &recorder{}
		report, err := d.Run(context.Background(), req, out)
		if !errkind.Is(err, errkind.BackendLost) || report.Sends != 1 || out.body != eventText(1) {
			t.Errorf("%v after %d attempts, the caller got %q", err, report.Sends, out.body)
		}
		if probes := table.TakeProbeTargets(); probes[report.Replica] == "" {
			t.Errorf("servers to probe: %v, want %s", probes, report.Replica)
		}
	})
}

// TestErrorAnswerClearsNoCrash guards against a server that answers a poison request with an error
// without running it: the crashes of other servers must still count.
func TestErrorAnswerClearsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{fails}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		req := nonIdempotent()
		recordCrashes(d, req, 1, 2)
		if report, err := d.Run(context.Background(), req, &recorder{}); err != nil || report.Status != 500 {
			t.Fatalf("%+v, %v", report, err)
		}
		recordCrashes(d, req, 10, 1)
		if _, err := d.Run(context.Background(), nonIdempotent(), &recorder{}); !errkind.Is(err, errkind.Quarantined) {
			t.Errorf("after three crashes and an error: %v", err)
		}
	})
}

// TestLongStreamClearsCrashes guards against the quarantine of requests with long answers, none of
// which is complete while servers end one after the other for another reason: a server that goes on
// with its answer for survivalTime does not crash under the request.
func TestLongStreamClearsCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{streamsSlowly}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		req := resumable()
		req.Route.PauseTarget = slowPause
		recordCrashes(d, req, 1, 2)
		events := 0
		out := &onEvent{recorder: &recorder{}, do: func() {
			if events++; events == testEvents-1 {
				recordCrashes(d, req, 10, 1)
				if refusal, refused := d.crashes.Check(quarantine.Fingerprint{Request: req.digest()}, time.Now()); refused {
					t.Errorf("refused after %d crashes while it is answered", refusal.Crashes)
				}
			}
		}}
		if _, err := d.Run(context.Background(), req, out); err != nil {
			t.Error(err)
		}
	})
}

// onEvent is a caller that calls do when it receives an event.
type onEvent struct {
	*recorder
	do func()
}

// Event implements Answer.
func (c *onEvent) Event(data []byte) error {
	c.do()
	return c.recorder.Event(data)
}
