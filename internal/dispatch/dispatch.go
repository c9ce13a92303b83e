// Package dispatch sends a request to replicas, one after the other, until one has answered
// it or no further attempt is allowed. It tracks whether the request may have run: one that
// must not be repeated is only retried if it certainly did not run.
package dispatch

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"
	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/fairshare"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/membudget"
	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/retry"
	"github.com/briarlink/briarlink/internal/route"
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

// maxSends limits the attempts at one request, including those that replicas refused.
const maxSends = 5

// maxReportedBlocks limits the prefix blocks in a request's report.
const maxReportedBlocks = 16

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

// Request is a caller's request, matched to a route and a service.
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
	// PriorRuns counts the attempts of another host, which passed the request on, in which a replica
	// may have run it.
	PriorRuns int
	// Forwarded is set if another host passed the request on.
	Forwarded bool
	// Memory is what the request has reserved of this host's memory; nil without a budget.
	Memory *membudget.Hold
}

// digest returns a hash that is equal for every attempt at the request.
func (r *Request) digest() quarantine.Digest {
	organisation := ""
	if r.Organisation != nil {
		organisation = r.Organisation.Name
	}
	return quarantine.DigestOf(organisation, r.Method, r.Host, r.Target, r.Body)
}

// maxBlockDigests limits the prefix blocks by which a request is recognised.
const maxBlockDigests = 64

// blockDigests returns the digests of the prefix blocks that other requests may share: all but the
// last, which belongs to the request itself or to its conversation.
func (r *Request) blockDigests(scope string) []quarantine.Digest {
	shared := max(0, len(r.Caller.Blocks)-1)
	out := make([]quarantine.Digest, min(shared, maxBlockDigests))
	for i := range out {
		out[i] = quarantine.BlockDigest(scope, r.Caller.Blocks[i].ID)
	}
	return out
}

// Answer writes the answer to the caller.
type Answer interface {
	// Buffered writes a complete answer that is not streamed.
	Buffered(status int, h http.Header, body []byte) error
	// Start writes the headers of a stream; they are those of the first replica that streams.
	Start(status int, h http.Header) error
	// Event writes one complete event of a stream.
	Event(data []byte) error
}

// Report describes the outcome of a request for logs and metrics.
type Report struct {
	State   string
	Replica string
	// Sends counts the attempts, Ran those in which the replica may have run the request.
	Sends int
	Ran   int
	// Status is the HTTP status of the replica's answer, 0 without an answer.
	Status int
	// First is the time until the answer, or a stream's first event, was received; Expected
	// is the estimate of it.
	First    time.Duration
	Expected time.Duration
	// Prompt is the number of prompt tokens. Of these, Cached were expected in the replica's
	// KV cache, and Fetched were expected to be transferred from Source.
	Prompt  int
	Cached  int
	Fetched int
	// Shared is the number of prompt tokens in prefix blocks that other requests may share;
	// Prefix is the ID of the last such block.
	Shared int
	Prefix string
	// Blocks are the IDs of the shared prefix blocks, up to maxReportedBlocks.
	Blocks  []string
	Salt    string
	Source  string
	Sink    string
	Weights int64
	Resumed int
	// PassedOnTo is the host that answered in the place of a silent replica; "" if there was none.
	PassedOnTo string
	// LastEvent is the number of the last event of a stream that the caller received, 0 before the first.
	LastEvent int64
	// CutOff is set if the request was not sent, or not sent again, because this host is cut off from
	// the service's replicas. Unreachable is set if a connection to a replica failed.
	CutOff      bool
	Unreachable bool
	// RetriesCharged counts the retries that were charged to the retry budget. RetryRefused is set if it
	// refused one.
	RetriesCharged int
	RetryRefused   bool
	// Holds counts how often the request waited for another request's prefill. Awaited is how long
	// it waited for prefix blocks that a replica other than its own was prefilling.
	Holds   int
	Awaited time.Duration
	// Digest is equal for all attempts at the same request, even under different IDs. RefusedBlock is
	// the digest of the prefix block because of which the request was refused, or 0.
	Digest       quarantine.Digest
	RefusedBlock quarantine.Digest
	// Shortage says why the request was refused while its service was short of capacity, or "".
	// Returned is set if a host refused it for that before, and its caller came back.
	Shortage string
	Returned bool
	// WaitedForRoom is how long the request waited after servers had no room for it.
	WaitedForRoom time.Duration
	Attempts      []Attempt
}

// Attempt is the outcome of one attempt.
type Attempt struct {
	Replica string
	Result  string
	Reason  string
	// AtMs is when the request was sent to the replica, counted from its arrival at the dispatcher.
	AtMs int64
	Ms   int64
	// Answer is the head of the answer that decided the attempt, nil without one.
	Answer *AnswerHead `json:",omitempty"`
	// EndedBy says who ended it before a complete answer, and SilentMs for how long its replica had sent nothing then.
	EndedBy  EndedBy `json:",omitempty"`
	SilentMs int64   `json:",omitempty"`
	// Beside is the silent replica beside which this one was tried, and AfterMs for how long that one had sent nothing.
	Beside  string `json:",omitempty"`
	AfterMs int64  `json:",omitempty"`
}

// AnswerHead is what the head of a replica's answer states, so that it can be compared with the replica's own log.
type AnswerHead struct {
	Status int
	// NotRun is set if it states that the replica did not run the request, Sealed if it bears the replica's seal, and
	// Named if it has the ID of the request.
	NotRun bool `json:",omitempty"`
	Sealed bool `json:",omitempty"`
	Named  bool `json:",omitempty"`
	// Reused is set if its connection had carried another request before, and Skipped is the number of late answers to
	// other requests that came before it.
	Reused  bool `json:",omitempty"`
	Skipped int  `json:",omitempty"`
}

// EndedBy says who ended an attempt, or the connection of a caller, before a complete answer.
type EndedBy string

const (
	// EndedByReplica means that the replica, or the connection to it, ended it.
	EndedByReplica EndedBy = "replica"
	// EndedByCaller means that the caller closed its connection.
	EndedByCaller EndedBy = "caller"
	// EndedByDeadline means that the deadline passed.
	EndedByDeadline EndedBy = "deadline"
	// EndedBySilence means that this host gave up a silent replica.
	EndedBySilence EndedBy = "silence"
	// EndedByHost means that this host ended it for another reason: the stream that it would have resumed went on,
	// or the request was quarantined.
	EndedByHost EndedBy = "host"
	// EndedByStop means that this host reached the end of its time to stop.
	EndedByStop EndedBy = "stop"
	// EndedByMemory means that the caller was slow while this host was short of memory.
	EndedByMemory EndedBy = "memory"
)

// Dispatcher dispatches requests. It is safe for concurrent use.
type Dispatcher struct {
	scheduler *schedule.Scheduler
	replicas  *replica.Table
	pool      *upstream.Pool
	budget    *retry.Budget
	crashes   *quarantine.Table
	// AcquirePermit acquires a permit for a request to a server that limits its requests. It must
	// be set before the first request.
	AcquirePermit func(ctx context.Context, id string) bool
	// unnamed has the services whose servers reject requests without naming them.
	unnamed unnamedRejections
	// rooms counts the requests that wait for room at brittle replicas.
	rooms roomQueue
	// IsCutOff reports whether this host reaches no replica of a service although other hosts do. It
	// must be set before the first request.
	IsCutOff func(service string) bool
	// PassOn passes a request on to a host that reaches its service, and returns the answer once it has begun. An error
	// of kind NoBackend means that it certainly did not run. It must be set before the first request; nil if there
	// are no other hosts.
	PassOn func(ctx context.Context, req *Request, progress Progress) (*PassedOn, error)
	// Off holds the disabled mechanisms. It must be set before the first request.
	Off mechanism.Off
	// Shares divides the capacity of plain services that are short of it; nil if that is not enabled. It must
	// be set before the first request.
	Shares *fairshare.Table
}

// New returns a dispatcher that works on the tables of one host.
func New(s *schedule.Scheduler, replicas *replica.Table, pool *upstream.Pool, budget *retry.Budget, crashes *quarantine.Table) *Dispatcher {
	return &Dispatcher{scheduler: s, replicas: replicas, pool: pool, budget: budget, crashes: crashes, AcquirePermit: func(context.Context, string) bool { return true }, IsCutOff: func(string) bool { return false }}
}

// WithdrawRequest undoes the count of a request for the retry budget: another host counts it.
func (d *Dispatcher) WithdrawRequest(service string, began time.Time) {
	d.budget.WithdrawRequest(service, began)
}

// run is the state of one request.
type run struct {
	d       *Dispatcher
	req     *Request
	out     Answer
	machine *fsm.FSM
	began   time.Time
	exclude map[string]bool
	// connectTimedOut is the ID of the last replica to which a connection timed out, or "".
	connectTimedOut string
	// connectRetried is set once such a replica was allowed a second attempt.
	connectRetried bool
	// roomWait is how long the request has waited for room at brittle replicas.
	roomWait time.Duration
	// shareChecked is set once the organisation's share was asked for, and refusedLate once the request
	// was refused because of its expected time. aboveShare is set if its organisation is above its share.
	shareChecked, refusedLate, aboveShare bool
	// rejecting has the IDs of the servers that rejected it, and servers is how many could take it at
	// first.
	rejecting map[string]bool
	servers   int
	// noneFree is set if the last choice failed as servers were left out that rejected other requests.
	noneFree bool
	// active has the replicas that the request is at. Attempts of which it is not known yet whether they reached a replica
	// and may have run are counted in unsettled.
	active    []string
	unsettled int
	// rejected counts those of them that were rejected without having run, while others beside them are under way.
	rejected atomic.Int32
	// arrived counts the attempts that may have reached a replica.
	arrived int
	// charged counts the arrivals beyond the first that were charged to the retry budget, here or at the host
	// that passed the request on.
	charged int
	// lastEvent is the number of the last forwarded event, 0 before the first.
	lastEvent int64
	// started is set once the headers of a stream or a large answer are written to the caller. committed is set
	// for a large answer, which cannot be continued by another replica.
	started, committed bool

	fingerprint quarantine.Fingerprint
	// errorAnswer is the last answer with a server error; it is forwarded if no other
	// replica answers.
	errorAnswer *bufferedAnswer
	report      Report
}

// bufferedAnswer is an answer that was read to its end before it is forwarded.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Run dispatches a request and writes the answer to out. On an error, no complete answer was
// written, and the kind of the error states whether the request may have run. Run returns as
// soon as ctx ends.
func (d *Dispatcher) Run(ctx context.Context, req *Request, out Answer) (Report, error) {
	r := &run{d: d, req: req, out: out, machine: newMachine(), began: clock.Now(), exclude: map[string]bool{}, rejecting: map[string]bool{}}
	r.report.Digest = req.digest()
	r.fingerprint = quarantine.Fingerprint{
		Request: r.report.Digest, Blocks: req.blockDigests(d.scheduler.SharingScope(req.Organisation)), Prompt: req.Service.Engine != nil,
	}
	r.report.Prompt = req.Caller.PromptTokens
	if n := len(req.Caller.Blocks); n > 1 {
		r.report.Prefix = req.Caller.Blocks[n-2].ID
		for _, block := range req.Caller.Blocks[:min(n-1, maxReportedBlocks)] {
			r.report.Blocks = append(r.report.Blocks, block.ID)
		}
	}
	r.report.Ran, r.arrived, r.charged = req.PriorRuns, req.PriorRuns, req.PriorRuns
	if req.PriorRuns == 0 {
		d.budget.RecordRequest(req.Service.Name, r.began)
	}
	err := r.loop(ctx)
	if err == nil {
		r.fire(eventFinish)
	} else {
		r.fire(eventFail)
	}
	r.report.State = r.machine.Current()
	r.report.LastEvent = r.lastEvent
	return r.report, err
}

func (r *run) fire(event string) { statemachine.Fire(r.machine, event) }

func (r *run) loop(ctx context.Context) error {
	for {
		if ctx.Err() != nil {
			return r.finish(ctx, ctx.Err())
		}
		if err := r.rejectPoison(); err != nil {
			return r.finish(ctx, err)
		}
		if r.d.IsCutOff(r.req.Service.Name) {
			r.report.CutOff = true
			return r.finish(ctx, errkind.New(errkind.NoBackend, "this host reaches no replica of the service"))
		}
		if err := r.checkShare(); err != nil {
			return r.finish(ctx, err)
		}
		choice, err := r.pick(ctx)
		if errors.Is(err, route.ErrNoRoom) && r.waitForRoom(ctx) {
			continue
		}
		if err != nil && r.allowConnectRetry(err) {
			choice, err = r.pick(ctx)
		}
		if err != nil && r.awaitShare(ctx, err) {
			continue
		}
		if err != nil {
			return r.finish(ctx, err)
		}
		if r.hold(ctx, choice) {
			continue
		}
		if err = r.attemptAndResume(ctx, choice); err == nil {
			return nil
		}
		if !r.allowRetry(ctx, err) && !r.awaitShare(ctx, err) {
			return r.finish(ctx, err)
		}
		r.fire(eventRetry)
	}
}

// attemptAndResume sends the request to the chosen replica. If that one is silent, the request goes on at others that have
// begun to answer.
func (r *run) attemptAndResume(ctx context.Context, choice *schedule.Choice) error {
	r.fire(eventSend)
	next, err := r.attempt(ctx, choice)
	r.exclude[choice.ID] = true
	for next != nil {
		r.fire(eventRetry)
		r.fire(eventSend)
		next, err = next.forward()
	}
	return err
}

// allowConnectRetry makes the replica to which a connection timed out eligible again if no
// other replica can take the request, and reports whether it did so. It does so at most once per
// request. Nothing was sent, so a second attempt is safe for any request. With it, one slow
// connection delays the callers of a service with a single server instead of failing their
// requests.
func (r *run) allowConnectRetry(err error) bool {
	if r.connectRetried || r.connectTimedOut == "" || !errkind.Is(err, errkind.NoBackend) {
		return false
	}
	r.connectRetried = true
	delete(r.exclude, r.connectTimedOut)
	return true
}

func (r *run) pick(ctx context.Context) (*schedule.Choice, error) {
	now := clock.Now()
	exclude := r.withoutRoom(now)
	choice, err := r.d.scheduler.Pick(r.scheduleRequest(ctx, exclude, now), now)
	r.noneFree = err != nil && len(exclude) > len(r.exclude)
	if err != nil {
		return nil, err
	}
	if choice.Hold > 0 {
		return choice, nil
	}
	if err := r.admit(choice, now); err != nil {
		r.d.scheduler.Cancel(choice, now)
		return nil, err
	}
	r.reportChoice(choice, len(exclude))
	return choice, nil
}

// scheduleRequest returns the request as it is scheduled at replicas other than the excluded ones.
func (r *run) scheduleRequest(ctx context.Context, exclude map[string]bool, now time.Time) *schedule.Request {
	req := r.req
	return &schedule.Request{
		Service:       req.Service,
		Store:         req.Store,
		Organisation:  req.Organisation,
		Model:         req.Caller.Model,
		Blocks:        req.Caller.Blocks,
		PromptTokens:  req.Caller.PromptTokens,
		OutputTokens:  req.Caller.OutputTokens,
		LatencyTarget: req.Route.LatencyTarget,
		Repeatable:    req.Route.Repeatable(),
		MaxHold:       r.maxHold(),
		TimeLeft:      r.timeLeft(now),
		Exclude:       exclude,
		Fingerprint:   r.fingerprint,
		AcquirePermit: func(id string) bool { return r.d.AcquirePermit(ctx, id) },
	}
}

// reportChoice records the replica that the request is sent to.
func (r *run) reportChoice(choice *schedule.Choice, excluded int) {
	r.servers = max(r.servers, choice.Considered+excluded)
	r.report.Replica = choice.ID
	r.report.Expected = choice.Expected
	r.report.Cached = choice.Cached
	r.report.Fetched = choice.Fetched
	r.report.Shared = choice.Shared
	r.report.Salt, r.report.Source, r.report.Sink = choice.Salt, choice.Source, choice.Sink
	r.report.Weights = choice.Weights
}

// allowRetry reports whether the request may be sent to another replica after err, and
// charges the retry to the budget. A request that never reached a replica is retried without
// charge.
func (r *run) allowRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || r.report.Sends >= maxSends || r.committed {
		return false
	}
	switch errkind.From(err).Kind {
	case errkind.BackendUnreachable:
		return r.takeRetryBudget()
	case errkind.BackendRefused:
		return r.mayRetryRejected() && r.takeRetryBudget()
	case errkind.BackendLost, errkind.BackendError:
		return r.req.Route.Repeatable() && r.report.Ran < r.req.Route.Attempts && r.takeRetryBudget()
	default:
		return false
	}
}

// takeRetryBudget charges the retry budget for another arrival at a server, and reports whether it allows
// that. The first arrival is free, and a charge that no arrival has used yet, as no connection could be opened,
// is used now.
func (r *run) takeRetryBudget() bool {
	if r.charged >= r.arrived {
		return true
	}
	allowed := r.d.budget.Allow(r.req.Service.Name, clock.Now())
	if allowed {
		r.countCharge()
	} else {
		r.report.RetryRefused = true
	}
	return allowed
}

func (r *run) countCharge() {
	r.charged++
	r.report.RetriesCharged++
}

// finish ends a request whose attempts have all failed. It forwards a replica's error answer
// if there is one, and otherwise returns an error whose kind is correct for all attempts
// together: if any of them may have run the request, the error must not say "not run".
func (r *run) finish(ctx context.Context, err error) error {
	if r.errorAnswer != nil && !r.started && ctx.Err() == nil {
		r.report.Status = r.errorAnswer.status
		return r.out.Buffered(r.errorAnswer.status, r.errorAnswer.header, r.errorAnswer.body)
	}
	switch {
	case deadlinePassed(ctx):
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
	return r.refuseForShortage(ctx, e)
}

func deadlinePassed(ctx context.Context) bool { return ctx.Err() == context.DeadlineExceeded }
