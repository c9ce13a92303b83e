package dispatch

import (
	"context"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/looplab/fsm"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/limit"
	"github.com/briarlink/briarlink/internal/oai"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/internal/statemachine"
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
	eventAnswer = "answer"
	eventRetry  = "retry"
	eventFinish = "finish"
	eventFail   = "fail"
)

// maxAttempts bounds the attempts of one request, resumptions included.
const maxAttempts = 4

// newMachine returns the state machine of one request.
func newMachine() *fsm.FSM {
	return fsm.NewFSM(StateWaiting, fsm.Events{
		{Name: eventSend, Src: []string{StateWaiting}, Dst: StateSent},
		{Name: eventAnswer, Src: []string{StateSent}, Dst: StateStreaming},
		{Name: eventRetry, Src: []string{StateSent, StateStreaming}, Dst: StateWaiting},
		{Name: eventFinish, Src: []string{StateStreaming}, Dst: StateComplete},
		{Name: eventFail, Src: []string{StateWaiting, StateSent, StateStreaming}, Dst: StateFailed},
	}, fsm.Callbacks{})
}

// Sink receives the answer's tokens, numbered from 0 without a gap. A blocked
// sink holds the engine back; an error means the caller is gone.
type Sink interface {
	Token(index int, text string) error
}

// Job is one request to a model.
type Job struct {
	Organisation string
	// Engine is what is sent; AttemptID and Generated are filled in per attempt.
	Engine oai.EngineRequest
	Prompt schedule.Prompt
	// Repeatable allows another attempt after one may have run.
	Repeatable bool
	// Bounds limits the replicas the first attempt may be sent to.
	Bounds route.Bounds
}

// Result describes a complete answer.
type Result struct {
	Text         string
	Tokens       int
	FinishReason string
	Usage        oai.Usage
	// CachedPieces is how much of the prompt the engine took from its cache.
	CachedPieces float64
	// ExpectedPieces is what routing expected of it.
	ExpectedPieces float64
	FirstToken     time.Duration
	Replica        string
	Attempts       int
}

// Dispatcher runs jobs. It is safe for concurrent use.
type Dispatcher struct {
	engine    Engine
	scheduler *schedule.Scheduler
	retries   *limit.RetryBudget
	idle      time.Duration
}

// New returns a dispatcher; idle is the longest silence of an engine.
func New(engine Engine, scheduler *schedule.Scheduler, retries *limit.RetryBudget, idle time.Duration) *Dispatcher {
	return &Dispatcher{engine, scheduler, retries, idle}
}

// run is the state of one job.
type run struct {
	d       *Dispatcher
	job     *Job
	sink    Sink
	machine *fsm.FSM
	started time.Time
	tokens  []string
	exclude []string
	result  Result
	// sent is true once an attempt may have run.
	sent bool
}

// Run sends job and passes the answer to sink. An error's kind tells truly
// whether the job may have run. Once ctx ends the error comes at once.
func (d *Dispatcher) Run(ctx context.Context, job *Job, sink Sink) (Result, error) {
	d.retries.Request(job.Organisation)
	r := &run{d: d, job: job, sink: sink, machine: newMachine(), started: time.Now()}
	for {
		err := r.attempt(ctx)
		if err == nil {
			r.fire(eventFinish)
			r.result.Text = strings.Join(r.tokens, "")
			r.result.Tokens = len(r.tokens)
			return r.result, nil
		}
		if !r.retryable(ctx, err) {
			r.fire(eventFail)
			return r.result, r.final(ctx, err)
		}
		r.fire(eventRetry)
	}
}

func (r *run) fire(event string) { statemachine.Fire(r.machine, event) }

// attempt picks a replica and runs the job there, resuming after a cut.
func (r *run) attempt(ctx context.Context) error {
	decision, err := r.decide()
	if err != nil {
		return err
	}
	r.result.Attempts++
	r.result.Replica = decision.Replica.ID
	r.result.ExpectedPieces = decision.Cached
	r.exclude = append(r.exclude, decision.Replica.ID)
	r.fire(eventSend)
	req := r.job.Engine
	req.AttemptID = uuid.NewString()
	req.Generated = r.tokens
	r.result.FinishReason = ""
	err = r.consume(ctx, decision.Replica, func(ctx context.Context) (*EngineStream, error) {
		return r.d.engine.Start(ctx, decision.Replica.Address, &req)
	})
	if errkind.Is(err, errkind.BackendLost) && r.machine.Is(StateStreaming) && ctx.Err() == nil {
		err = r.resume(ctx, decision.Replica, req.AttemptID, err)
	}
	r.note(decision.Replica, req.AttemptID, err)
	return err
}

// decide picks a replica; an answer that has begun is continued at any price.
func (r *run) decide() (route.Decision, error) {
	bounds := r.job.Bounds
	if r.sent {
		bounds = route.Bounds{}
	}
	return r.d.scheduler.Pick(&r.job.Prompt, r.exclude, bounds, time.Now())
}

// resume asks the same engine for the rest of the attempt: the same execution,
// so it is allowed for jobs that must not be repeated.
func (r *run) resume(ctx context.Context, rep route.Replica, attemptID string, cause error) error {
	from := len(r.tokens)
	err := r.consume(ctx, rep, func(ctx context.Context) (*EngineStream, error) {
		return r.d.engine.Resume(ctx, rep.Address, attemptID, from)
	})
	if err == nil {
		r.result.Attempts++
		return nil
	}
	if ctx.Err() == nil {
		return cause
	}
	return err
}

// consume opens a stream and passes its tokens on until it is complete.
func (r *run) consume(ctx context.Context, rep route.Replica, open func(context.Context) (*EngineStream, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(r.d.idle, func() {
		cancel(errkind.New(errkind.BackendLost, "the engine was silent for too long"))
	})
	defer watchdog.Stop()
	stream, err := open(ctx)
	if err != nil {
		r.sent = r.sent || errkind.From(err).Kind.Answer().Run != errkind.NotRun
		return err
	}
	r.sent = true
	defer stream.Close()
	if stream.Version != r.job.Engine.Version {
		return errkind.New(errkind.BackendLost, "the engine runs another weights version")
	}
	r.fire(eventAnswer)
	for ev, err := range stream.Events {
		if err != nil {
			return err
		}
		if ev.Done {
			return nil
		}
		// A slow caller holds the engine back; that silence is not the engine's.
		watchdog.Stop()
		if err := r.take(rep, stream.Incarnation, ev); err != nil {
			return err
		}
		watchdog.Reset(r.d.idle)
	}
	return errkind.New(errkind.BackendLost, "the engine's stream was cut")
}

// take passes one event on and learns from its usage.
func (r *run) take(rep route.Replica, incarnation uint64, ev EngineEvent) error {
	choice := ev.Chunk.Choices[0]
	if len(r.tokens) == 0 && r.result.FirstToken == 0 {
		r.result.FirstToken = time.Since(r.started)
	}
	if ev.Chunk.Usage != nil {
		r.learn(rep, incarnation, *ev.Chunk.Usage)
	}
	if choice.FinishReason != nil {
		r.result.FinishReason = *choice.FinishReason
		if choice.Text == "" {
			return nil
		}
	}
	if err := r.sink.Token(len(r.tokens), choice.Text); err != nil {
		return errCallerGone
	}
	r.tokens = append(r.tokens, choice.Text)
	return nil
}

var errCallerGone = errkind.New(errkind.BackendLost, "the caller is gone")

// learn corrects the index by what the engine says it found in its cache.
func (r *run) learn(rep route.Replica, incarnation uint64, u oai.Usage) {
	r.result.Usage = u
	if u.PromptTokens == 0 {
		return
	}
	r.result.CachedPieces = r.job.Prompt.Pieces * float64(u.Details.CachedTokens) / float64(u.PromptTokens)
	r.d.scheduler.Learn(&r.job.Prompt, rep.Number, incarnation, time.Now())
}

// note tells the replica table what the attempt's end says about the replica,
// and cancels an attempt that may still run there for nobody.
func (r *run) note(rep route.Replica, attemptID string, err error) {
	switch {
	case err == nil:
	case errkind.Is(err, errkind.BackendRefused):
		r.d.scheduler.Replicas().Bar(rep.ID, rep.Incarnation)
	case errkind.Is(err, errkind.BackendUnreachable):
		r.d.scheduler.Replicas().Failed(rep.ID, "connection failed")
	default:
		go r.d.engine.Cancel(rep.Address, attemptID)
	}
}

// retryable reports whether another attempt is allowed and of use.
func (r *run) retryable(ctx context.Context, err error) bool {
	if ctx.Err() != nil || err == errCallerGone || r.result.Attempts >= maxAttempts {
		return false
	}
	switch errkind.From(err).Kind {
	case errkind.BackendUnreachable, errkind.BackendRefused:
		return r.d.retries.Retry(r.job.Organisation)
	case errkind.BackendLost, errkind.BackendError:
		return r.job.Repeatable && r.d.retries.Retry(r.job.Organisation)
	default:
		return false
	}
}

// final returns the error to answer. An error that says "not run" is not true
// once an earlier attempt may have run.
func (r *run) final(ctx context.Context, err error) error {
	if ctx.Err() == context.DeadlineExceeded {
		if !r.sent {
			return errkind.Wrap(errkind.Overloaded, err, "the deadline passed before the request was sent")
		}
		return errkind.Wrap(errkind.DeadlineExceeded, err, "the deadline passed")
	}
	e := errkind.From(err)
	if r.sent && e.Kind.Answer().Run == errkind.NotRun {
		return errkind.Wrap(errkind.BackendLost, err, "the backend server was lost and no other could continue")
	}
	return e
}

// Diagram returns the state machine as a Mermaid diagram.
func Diagram() string { return statemachine.Diagram(newMachine()) }
