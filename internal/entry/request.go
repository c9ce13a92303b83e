package entry

import (
	"context"
	"io"
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
	"github.com/briarlink/briarlink/internal/oai"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/platform"
)

// exchange is one caller's request.
type exchange struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	view    View
	caller  platform.CallerRequest
	route   *config.Route
	org     *config.Organisation
	report  dispatch.Report
	// charged is what the request counts against its organisation's rate limit.
	charged int64
	// answered is true once bytes of an answer were written.
	answered bool
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	ex := &exchange{s: s, w: w, r: r, arrived: clock.Now(), view: s.View()}
	err := ex.handle()
	ex.log(err)
	if err == nil {
		return
	}
	if ex.answered || errkind.Is(err, errkind.CallerGone) {
		// What was sent is no whole answer; a clean end would make it look like one.
		panic(http.ErrAbortHandler)
	}
	platform.SetRequestID(w.Header(), ex.caller.ID)
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
	if err := ex.s.Refuse(); err != nil {
		return err
	}
	if err := ex.admit(); err != nil {
		return err
	}
	if err := ex.limit(); err != nil {
		return err
	}
	defer ex.settle()
	body, err := ex.body()
	if err != nil {
		return err
	}
	if err := ex.describe(body); err != nil {
		return err
	}
	return ex.dispatch(body)
}

// staleView is the age from which a view may lack a route or key that is in
// force: then a caller is asked to come back, not told that it does not exist.
const staleView = 1500 * time.Millisecond

// admit finds the route and the organisation.
func (ex *exchange) admit() error {
	c := ex.view.Config
	if c == nil {
		return errkind.New(errkind.NotReady, "this host has no configuration yet")
	}
	path, _, _ := strings.Cut(ex.r.RequestURI, "?")
	ex.route = c.Route(hostOf(ex.r.Host), path)
	if ex.route == nil {
		return ex.unknown(errkind.NotFound, "no route matches")
	}
	if ex.caller.Key == "" {
		ex.bearer(c)
	}
	if ex.route.Public || !c.NeedsKeys() {
		return nil
	}
	ex.org = c.Organisation(ex.caller.Key)
	if ex.org == nil {
		return ex.unknown(errkind.Unauthenticated, "the API key is missing or unknown")
	}
	return nil
}

// bearer takes a known key from an OpenAI-compatible caller's Authorization
// header, which is then not passed on.
func (ex *exchange) bearer(c *config.Config) {
	key, ok := strings.CutPrefix(ex.r.Header.Get("Authorization"), "Bearer ")
	if ok && c.Organisation(key) != nil {
		ex.caller.Key = key
		ex.r.Header.Del("Authorization")
	}
}

func (ex *exchange) unknown(kind errkind.Kind, reason string) error {
	if ex.view.Age > staleView {
		return errkind.New(errkind.OutOfTouch, reason+", but this host may lack a newer configuration")
	}
	return errkind.New(kind, reason)
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func (ex *exchange) body() ([]byte, error) {
	limit := ex.view.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = ex.s.MaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(ex.w, ex.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.TooLarge, "the body is too large")
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.CallerGone, err, "the body could not be read")
	}
	return body, nil
}

// describe fills in what an OpenAI-compatible caller says in its body.
func (ex *exchange) describe(body []byte) error {
	if !ex.route.Prompts || len(ex.caller.Parts) > 0 || !oai.Matches(ex.r.URL.Path) {
		return nil
	}
	if err := oai.Describe(body, &ex.caller); err != nil {
		return errkind.Wrap(errkind.InvalidRequest, err, err.Error())
	}
	return nil
}

// leastSize stands for a prompt whose caller does not say its size.
const leastSize = 64

func (ex *exchange) dispatch(body []byte) error {
	service := ex.view.Config.Services[pickService(ex.route, ex.caller.ID)]
	if service == nil {
		return errkind.New(errkind.NoBackend, "the route's service is not configured")
	}
	if service.Engine != nil && ex.caller.PromptTokens == 0 {
		ex.caller.PromptTokens = leastSize
	}
	deadline := ex.deadline()
	ctx, cancel := context.WithTimeout(ex.r.Context(), clock.Until(deadline))
	defer cancel()
	report, err := ex.s.Dispatcher.Run(ctx, &dispatch.Request{
		ID:           ex.caller.ID,
		Method:       ex.r.Method,
		Target:       ex.r.RequestURI,
		Host:         ex.r.Host,
		Header:       ex.r.Header,
		Body:         body,
		Route:        ex.route,
		Service:      service,
		Store:        ex.view.Config.Store(schedule.StorePart(ex.caller.Parts)),
		Organisation: ex.org,
		Caller:       ex.caller,
		Deadline:     deadline,
	}, ex)
	ex.report = report
	return err
}

// deadline is the earliest of the caller's and the route's.
func (ex *exchange) deadline() time.Time {
	wait := ex.s.DefaultDeadline
	if ex.caller.Timeout > 0 {
		wait = ex.caller.Timeout
	}
	if ex.route.Timeout > 0 {
		wait = min(wait, ex.route.Timeout)
	}
	return ex.arrived.Add(wait)
}

// pickService draws one of a route's services by weight, the same for the same
// request.
func pickService(r *config.Route, id string) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total <= 0 {
		return r.Services[0].Service
	}
	at := int(xxh3.HashString(id) % uint64(total))
	for _, s := range r.Services {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	return r.Services[0].Service
}
