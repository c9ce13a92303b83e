package dispatch

import (
	"context"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/errkind"
)

// Progress is how far a request has come that is passed on.
type Progress struct {
	// Ran counts the attempts in which a replica may have run it.
	Ran int
	// LastEvent is the last event that the caller received, 0 before the first.
	LastEvent int64
	// Charged is set if this host has charged the retry budget. Else the host that receives the request has to.
	Charged bool
}

// PassedOn is the answer of another entry host, which has begun.
type PassedOn struct {
	Host   string
	Status int
	// Copy writes the answer to out, that of a stream without its head if an event was received before.
	Copy func(out Answer) error
	// Abandon ends the answer.
	Abandon func()
}

// anotherHost is the answer of another host in the place of a silent replica that this host is cut off from.
type anotherHost struct {
	*run
	answer *PassedOn
	cancel context.CancelCauseFunc
}

// tryAnotherHost passes the request on to a host that reaches its service, and returns the answer once it has begun.
func (r *run) tryAnotherHost(ctx context.Context, cancel context.CancelCauseFunc) (next successor, sent bool) {
	now := clock.Now()
	if r.req.Forwarded || r.d.PassOn == nil {
		return nil, false
	}
	if _, refused := r.d.crashes.Check(r.fingerprint, now); refused {
		return nil, false
	}
	charged := r.chargeBeside(now)
	r.report.Sends++
	answer, err := r.d.PassOn(ctx, r.req, Progress{r.report.Ran + r.unsettled, r.lastEvent, charged})
	if errkind.Is(err, errkind.NoBackend) {
		// It certainly did not run.
		return nil, true
	}
	r.report.Ran++
	r.arrived++
	if err != nil {
		return nil, true
	}
	return &anotherHost{r, answer, cancel}, true
}

func (a *anotherHost) abandon() {
	a.cancel(nil)
	a.answer.Abandon()
}

func (a *anotherHost) forward() (successor, error) {
	defer a.cancel(nil)
	r := a.run
	r.report.Status, r.report.PassedOnTo = a.answer.Status, a.answer.Host
	if r.report.First == 0 {
		r.report.First = clock.Since(r.began)
	}
	r.started, r.committed = true, true
	return nil, a.answer.Copy(r.out)
}
