package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/forward"
	"github.com/briarlink/briarlink/internal/membudget"
	"github.com/briarlink/briarlink/internal/oai"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/platform"
)

// exchange is one caller's request and its answer.
type exchange struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	view    View
	caller  platform.CallerRequest
	route   *config.Route
	// service is the route's service that the request is for, nil if it is not configured.
	service *config.Service
	org     *config.Organisation
	report  dispatch.Report
	// mark describes the request if another host passed it on to this one, as isForwarded says.
	mark        platform.Forwarded
	isForwarded bool
	// received is the body, once isRead is set.
	received []byte
	isRead   bool
	// passedOn is the report on a request that this host passed on.
	passedOn forward.Report
	// charged is what was charged to the organisation's rate limit for one run.
	charged int64
	// memory is what the request has reserved of this host's memory; nil without a budget.
	memory *membudget.Hold
	// deadlineSet is when the deadline for writing was last set.
	deadlineSet time.Time
	// answered is true once writing of an answer to the caller has begun.
	answered bool
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	// The server sets a deadline for writing once it has read the head.
	ex := &exchange{s: s, w: w, r: r, arrived: clock.Now(), view: s.View(), deadlineSet: time.Now()}
	ex.memory = s.Memory.Open(ex.endTransfer)
	defer ex.memory.Release()
	err := ex.explainEnd(ex.handle())
	ex.log(err)
	if err == nil {
		return
	}
	if ex.answered || errkind.Is(err, errkind.CallerGone) {
		// The answer is incomplete; ending it cleanly would make it look complete.
		panic(http.ErrAbortHandler)
	}
	if ex.isForwarded && ex.unreached(err) {
		ex.withdrawRequest()
		platform.SetUnreached(w.Header())
	}
	platform.SetRequestID(w.Header(), ex.caller.ID)
	ex.limitDiscard()
	ex.extendWriteDeadline()
	writeError(w, err)
}

func (ex *exchange) handle() error {
	caller, err := platform.DecodeRequest(ex.r.Header)
	ex.caller = caller
	if caller.ID == "" {
		ex.caller.ID = uuid.NewString()
	}
	if err != nil {
		return errkind.Wrap(errkind.InvalidRequest, err, err.Error())
	}
	if err := ex.s.CheckAccepting(); err != nil {
		return err
	}
	if err := ex.roomForBlocks(); err != nil {
		return err
	}
	if err := ex.resolve(); err != nil {
		return err
	}
	if ex.isForwarded && ex.mark.Config > ex.view.Config.Version {
		return errkind.New(errkind.OutOfTouch, "the host that passed the request on has a newer configuration")
	}
	if ended, err := ex.passOnFirst(); ended {
		return err
	}
	if err := ex.chargeQuota(); err != nil {
		return err
	}
	defer ex.adjustCharge()
	body, err := ex.read()
	if err != nil {
		return err
	}
	if err := ex.chargePassedOnRetry(); err != nil {
		return err
	}
	err = ex.dispatch(body)
	if ex.mayForward(err) {
		return ex.passOnAfter(err, body)
	}
	return err
}

// read reads the body, once, and what it says about the request.
func (ex *exchange) read() ([]byte, error) {
	if ex.isRead {
		return ex.received, nil
	}
	body, err := ex.body()
	if err != nil {
		return nil, err
	}
	ex.received, ex.isRead = body, true
	return body, ex.describe(body)
}

// staleViewAge is the age above which the view may not yet have a route or key that is in
// force. A caller that uses an unknown one is then asked to retry instead of getting a 404 or 401.
const staleViewAge = 1500 * time.Millisecond

// resolve finds the route and, unless the route is public, the organisation of the API key.
func (ex *exchange) resolve() error {
	c := ex.view.Config
	if c == nil {
		return errkind.New(errkind.NotReady, "this host has no configuration yet")
	}
	ex.mark, ex.isForwarded = platform.DecodeForwarded(ex.r.Header)
	path, _, _ := strings.Cut(ex.r.RequestURI, "?")
	ex.route = c.Route(stripPort(ex.r.Host), path)
	if ex.route == nil {
		return ex.lookupError(errkind.NotFound, "no route matches")
	}
	ex.service = c.Services[pickService(ex.route, ex.caller.ID)]
	if ex.caller.Key == "" {
		ex.useBearerKey(c)
	}
	if ex.route.Public || !c.NeedsKeys() {
		return nil
	}
	ex.org = c.Organisation(ex.caller.Key)
	if ex.org == nil {
		return ex.lookupError(errkind.Unauthenticated, "the API key is missing or unknown")
	}
	return nil
}

// useBearerKey takes the API key from the Authorization header, where OpenAI-compatible
// callers send it. If the key is known, the header is not forwarded to the replica.
func (ex *exchange) useBearerKey(c *config.Config) {
	key, ok := strings.CutPrefix(ex.r.Header.Get("Authorization"), "Bearer ")
	if ok && c.Organisation(key) != nil {
		ex.caller.Key = key
		ex.r.Header.Del("Authorization")
	}
}

// lookupError returns the error for an unknown route or key. While the view is stale, it is a
// temporary error instead of kind.
func (ex *exchange) lookupError(kind errkind.Kind, reason string) error {
	if ex.view.Age > staleViewAge {
		return errkind.New(errkind.OutOfTouch, reason+", but this host may lack a newer configuration")
	}
	return errkind.New(kind, reason)
}

// stripPort returns the host of a host or host:port.
func stripPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// body reads the request's body up to the configured limit.
func (ex *exchange) body() ([]byte, error) {
	limit := ex.view.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = ex.s.MaxBodyBytes
	}
	if ex.r.ContentLength > limit {
		return nil, errkind.New(errkind.TooLarge, "the body is too large")
	}
	body, err := ex.receiveBody(limit)
	var tooLarge *http.MaxBytesError
	var refused *errkind.Error
	switch {
	case errors.As(err, &refused):
		return nil, refused
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.TooLarge, "the body is too large")
	case err != nil:
		return nil, errkind.Wrap(errkind.CallerGone, err, "the body could not be read")
	}
	return body, nil
}

// describe fills in the caller's request from an OpenAI-compatible body, unless the headers
// already describe the prompt.
func (ex *exchange) describe(body []byte) error {
	if !ex.route.Prompts || len(ex.caller.Blocks) > 0 || !oai.Matches(ex.r.URL.Path) {
		return nil
	}
	if err := oai.Describe(body, &ex.caller); err != nil {
		return errkind.Wrap(errkind.InvalidRequest, err, err.Error())
	}
	return nil
}

// defaultPromptTokens is assumed for a prompt whose caller does not state its size.
const defaultPromptTokens = 64

// dispatch sends the request to a replica and writes its answer.
func (ex *exchange) dispatch(body []byte) error {
	if ex.service == nil {
		return errkind.New(errkind.NoBackend, "the route's service is not configured")
	}
	if ex.service.Engine != nil && ex.caller.PromptTokens == 0 {
		ex.caller.PromptTokens = defaultPromptTokens
	}
	ctx, cancel := context.WithTimeout(ex.r.Context(), clock.Until(ex.deadline()))
	defer cancel()
	report, err := ex.s.Dispatcher.Run(ctx, ex.request(body), ex)
	ex.report = report
	if ex.mark.ChargeRetry {
		ex.report.RetriesCharged++
	}
	return err
}

// request returns the request as it is dispatched or passed on.
func (ex *exchange) request(body []byte) *dispatch.Request {
	return &dispatch.Request{
		ID:           ex.caller.ID,
		Method:       ex.r.Method,
		Target:       ex.r.RequestURI,
		Host:         ex.r.Host,
		Header:       ex.r.Header,
		Body:         body,
		Route:        ex.route,
		Service:      ex.service,
		Store:        ex.view.Config.Store(schedule.StoreKey(ex.caller.Blocks)),
		Organisation: ex.org,
		Caller:       ex.caller,
		Deadline:     ex.deadline(),
		PriorRuns:    ex.mark.Ran,
		Forwarded:    ex.isForwarded,
		Memory:       ex.memory,
	}
}

// deadline returns when the request times out: the caller's timeout or else the default, but
// no later than the route's.
func (ex *exchange) deadline() time.Time {
	timeout := ex.s.DefaultDeadline
	if ex.caller.Timeout > 0 {
		timeout = ex.caller.Timeout
	}
	if ex.route.Timeout > 0 {
		timeout = min(timeout, ex.route.Timeout)
	}
	return ex.arrived.Add(timeout)
}

// pickService picks one of the route's services by weight. The same request ID always gives
// the same service.
func pickService(r *config.Route, id string) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total <= 0 {
		return r.Services[0].Service
	}
	point := int(xxh3.HashString(id) % uint64(total))
	for _, s := range r.Services {
		point -= s.Weight
		if point < 0 {
			return s.Service
		}
	}
	return r.Services[0].Service
}
