// Package dispatch sends a request to replicas until one has answered it, or
// until it must be given up. Whether a request may have run is known at each
// step; what may not be repeated is sent on only after a certain "not run".
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/looplab/fsm"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/retry"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/internal/statemachine"
	"github.com/briarlink/briarlink/internal/upstream"
	"github.com/briarlink/briarlink/platform"
)

// States of a request while it is dispatched.
const (
	StateWaiting   = "waiting"
	StateSent      = "sent"
	StateStreaming = "streaming"
	StateComplete  = "complete"
	StateFailed    = "failed"
)

const (
	eventSend   = "send"
	eventStream = "stream"
	eventRetry  = "retry"
	eventFinish = "finish"
	eventFail   = "fail"
)

// maxSends bounds the replicas that one request is offered to, those that
// refused it included.
const maxSends = 5

// newMachine returns the state machine of one request.
func newMachine() *fsm.FSM {
	return fsm.NewFSM(StateWaiting, fsm.Events{
		{Name: eventSend, Src: []string{StateWaiting}, Dst: StateSent},
		{Name: eventStream, Src: []string{StateSent}, Dst: StateStreaming},
		{Name: eventRetry, Src: []string{StateSent, StateStreaming}, Dst: StateWaiting},
		{Name: eventFinish, Src: []string{StateSent, StateStreaming}, Dst: StateComplete},
		{Name: eventFail, Src: []string{StateWaiting, StateSent, StateStreaming}, Dst: StateFailed},
	}, fsm.Callbacks{})
}

// Diagram returns the state machine as a Mermaid diagram.
func Diagram() string { return statemachine.Diagram(newMachine()) }

// Request is a caller's request that may be dispatched.
type Request struct {
	ID     string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte

	Route        *config.Route
	Service      *config.Service
	Store        *config.CacheStore
	Organisation *config.Organisation
	Caller       platform.CallerRequest
	Deadline     time.Time
}

// digest returns what is the same for every attempt at the request.
func (r *Request) digest() quarantine.Digest {
	organisation := ""
	if r.Organisation != nil {
		organisation = r.Organisation.Name
	}
	return quarantine.DigestOf(organisation, r.Method, r.Host, r.Target, r.Body)
}

// Answer is the caller's side of a request.
type Answer interface {
	// Whole answers with a replica's whole answer.
	Whole(status int, h http.Header, body []byte) error
	// Start begins a stream with its first replica's headers.
	Start(status int, h http.Header) error
	// Event passes on a whole event.
	Event(data []byte) error
}

// Report is what became of a request, for logs and metrics.
type Report struct {
	State   string
	Replica string
	// Sends counts the replicas it was offered to, Ran those that may have run it.
	Sends int
	Ran   int
	// Status is that of the replica's answer, or 0.
	Status int
	// First is the time to the answer's head or a stream's first event.
	First    time.Duration
	Expected time.Duration
	// Prompt, Cached and Fetched are tokens, the latter two as expected.
	Prompt  int
	Cached  int
	Fetched int
	// Shared tokens of the prompt belong to parts that other requests may share;
	// the last of them is named Prefix.
	Shared  int
	Prefix  string
	Salt    string
	Source  string
	Sink    string
	Weights int64
	Resumed int
	// Holds counts the waits for another request's reading.
	Holds int
	// Digest is equal for attempts at the same request, whatever their IDs.
	Digest quarantine.Digest
	// Tries holds each attempt's replica and result.
	Tries []Try
}

// Try is one attempt.
type Try struct {
	Replica string
	Result  string
	Reason  string
	Ms      int64
}

// Dispatcher dispatches requests. It is safe for concurrent use.
type Dispatcher struct {
	scheduler *schedule.Scheduler
	replicas  *replica.Table
	pool      *upstream.Pool
	budget    *retry.Budget
	crashes   *quarantine.Table
	// Off holds the mechanisms that are switched off; it is set before use.
	Off mechanism.Off
}

// New returns a dispatcher over the tables of one host.
func New(s *schedule.Scheduler, replicas *replica.Table, pool *upstream.Pool, budget *retry.Budget, crashes *quarantine.Table) *Dispatcher {
	return &Dispatcher{scheduler: s, replicas: replicas, pool: pool, budget: budget, crashes: crashes}
}

// run is the state of one request.
type run struct {
	d       *Dispatcher
	req     *Request
	out     Answer
	machine *fsm.FSM
	began   time.Time
	exclude map[string]bool
	// timedOut is the replica to which a connection timed out last, or "".
	timedOut string
	// triedAgain is set once such a replica was tried a second time.
	triedAgain bool
	// arrived counts the sends that may have reached a replica.
	arrived int
	// lastEvent is the last event passed on, 0 before the first.
	lastEvent int64
	started   bool
	// failure is a replica's own answer that reports a failure.
	failure *whole
	report  Report
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// Run dispatches a request and answers it through out. An error means that out
// got no whole answer, and its kind says truly whether the request may have run.
// Once ctx ends, the error comes at once.
func (d *Dispatcher) Run(ctx context.Context, req *Request, out Answer) (Report, error) {
	r := &run{d: d, req: req, out: out, machine: newMachine(), began: clock.Now(), exclude: map[string]bool{}}
	r.report.Digest = req.digest()
	r.report.Prompt = req.Caller.PromptTokens
	if n := len(req.Caller.Parts); n > 1 {
		r.report.Prefix = req.Caller.Parts[n-2].ID
	}
	d.budget.Request(req.Service.Name, r.began)
	err := r.loop(ctx)
	if err == nil {
		r.fire(eventFinish)
	} else {
		r.fire(eventFail)
	}
	r.report.State = r.machine.Current()
	return r.report, err
}

func (r *run) fire(event string) { statemachine.Fire(r.machine, event) }

func (r *run) loop(ctx context.Context) error {
	for {
		if ctx.Err() != nil {
			return r.final(ctx, ctx.Err())
		}
		if err := r.refusePoison(); err != nil {
			return r.final(ctx, err)
		}
		choice, err := r.pick()
		if err != nil && r.tryAgain(err) {
			choice, err = r.pick()
		}
		if err != nil {
			return r.final(ctx, err)
		}
		if r.held(ctx, choice) {
			continue
		}
		r.fire(eventSend)
		err = r.attempt(ctx, choice)
		if err == nil {
			return nil
		}
		if !r.retryable(ctx, err) {
			return r.final(ctx, err)
		}
		r.exclude[choice.ID] = true
		r.fire(eventRetry)
	}
}

// tryAgain allows the replica to which a connection timed out a second attempt where no
// other can take the request, and reports whether it did. Nothing was sent, so that any
// request may be; one slow connection then costs the callers of a service with a single
// server some time in place of a refusal.
func (r *run) tryAgain(err error) bool {
	if r.triedAgain || r.timedOut == "" || !errkind.Is(err, errkind.NoBackend) {
		return false
	}
	r.triedAgain = true
	delete(r.exclude, r.timedOut)
	return true
}

func (r *run) pick() (*schedule.Choice, error) {
	req := r.req
	now := clock.Now()
	choice, err := r.d.scheduler.Pick(&schedule.Request{
		Service:      req.Service,
		Store:        req.Store,
		Organisation: req.Organisation,
		Model:        req.Caller.Model,
		Parts:        req.Caller.Parts,
		PromptTokens: req.Caller.PromptTokens,
		OutputTokens: req.Caller.OutputTokens,
		Target:       req.Route.LatencyTarget,
		Repeatable:   req.Route.Repeatable(),
		MaxHold:      r.maxHold(),
		Exclude:      r.exclude,
		Digest:       r.report.Digest,
	}, now)
	if err != nil {
		return nil, err
	}
	if choice.Hold > 0 {
		return choice, nil
	}
	if err := r.tooLate(choice, now); err != nil {
		r.d.scheduler.Withdraw(choice, now)
		return nil, err
	}
	r.report.Replica = choice.ID
	r.report.Expected = choice.Expected
	r.report.Cached = choice.Cached
	r.report.Fetched = choice.Fetched
	r.report.Shared = choice.Shared
	r.report.Salt, r.report.Source, r.report.Sink = choice.Salt, choice.Source, choice.Sink
	r.report.Weights = choice.Weights
	return choice, nil
}

// retryable reports whether the request may be sent to another replica after
// err, and takes the repeat from the budget.
func (r *run) retryable(ctx context.Context, err error) bool {
	if ctx.Err() != nil || r.report.Sends >= maxSends {
		return false
	}
	switch errkind.From(err).Kind {
	case errkind.BackendUnreachable:
		return r.arrived == 0 || r.budgeted()
	case errkind.BackendRefused:
		return r.budgeted()
	case errkind.BackendLost, errkind.BackendError:
		return r.req.Route.Repeatable() && r.report.Ran < r.req.Route.Attempts && r.budgeted()
	default:
		return false
	}
}

func (r *run) budgeted() bool { return r.d.budget.Take(r.req.Service.Name, clock.Now()) }

// final answers with the replica's own failure where there is one, or returns
// an error whose kind is true of all attempts together.
func (r *run) final(ctx context.Context, err error) error {
	if r.failure != nil && !r.started && ctx.Err() == nil {
		r.report.Status = r.failure.status
		return r.out.Whole(r.failure.status, r.failure.header, r.failure.body)
	}
	switch {
	case errorsIsDeadline(ctx):
		if r.report.Ran == 0 {
			return errkind.Wrap(errkind.Overloaded, err, "the deadline passed before any replica ran the request")
		}
		return errkind.Wrap(errkind.DeadlineExceeded, err, "the deadline passed")
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.CallerGone, err, "the caller left")
	}
	e := errkind.From(err)
	if r.report.Ran > 0 && e.Kind.Answer().Run == errkind.NotRun {
		return errkind.Wrap(errkind.BackendLost, err, "the replica was lost and no other could take over")
	}
	return e
}

func errorsIsDeadline(ctx context.Context) bool { return ctx.Err() == context.DeadlineExceeded }
