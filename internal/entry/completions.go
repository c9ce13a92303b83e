package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/limit"
	"github.com/briarlink/briarlink/internal/oai"
	"github.com/briarlink/briarlink/internal/once"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/schedule"
)

const (
	defaultMaxTokens = 256
	maxMaxTokens     = 32768
	// adapterSeparator stands between model and adapter in a request's model.
	adapterSeparator = ":"
)

// completions answers /v1/chat/completions and /v1/completions.
func (s *Server) completions(ex *exchange) error {
	body, ctx, cancel, err := s.begin(ex)
	if err != nil {
		return err
	}
	defer cancel()
	req, err := parseRequest(body, ex.r.URL.Path)
	if err != nil {
		return err
	}
	repeatable, err := parseRepeatable(ex.r)
	if err != nil {
		return err
	}
	job, err := s.job(ex, req)
	if err != nil {
		return err
	}
	job.Repeatable = repeatable
	if err := s.admitCost(ctx, ex, job); err != nil {
		return err
	}
	return s.onceOnly(ctx, ex, repeatable, body, func() (*settled, error) {
		return s.answer(ctx, ex, req, job)
	})
}

// begin reads the body and bounds the request's time.
func (s *Server) begin(ex *exchange) ([]byte, context.Context, context.CancelFunc, error) {
	body, err := s.readBody(ex)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel, err := s.deadline(ex.r)
	return body, ctx, cancel, err
}

func (s *Server) readBody(ex *exchange) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(ex.w, ex.r.Body, s.Settings.Request.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.TooLarge, fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidRequest, err, "the body could not be read")
	}
	return body, nil
}

func parseRequest(body []byte, path string) (*oai.Request, error) {
	req := &oai.Request{MaxTokens: defaultMaxTokens}
	if err := json.Unmarshal(body, req); err != nil {
		return nil, errkind.Wrap(errkind.InvalidRequest, err, "the body is not the expected JSON")
	}
	chat := strings.HasPrefix(path, "/v1/chat/")
	switch {
	case req.Model == "":
		return nil, errkind.New(errkind.InvalidRequest, "model is missing")
	case chat && len(req.Messages) == 0:
		return nil, errkind.New(errkind.InvalidRequest, "messages is empty")
	case !chat && req.Prompt == "":
		return nil, errkind.New(errkind.InvalidRequest, "prompt is empty")
	case !chat && len(req.Messages) > 0:
		return nil, errkind.New(errkind.InvalidRequest, "messages belongs to /v1/chat/completions")
	case req.MaxTokens < 1 || req.MaxTokens > maxMaxTokens:
		return nil, errkind.New(errkind.InvalidRequest, fmt.Sprintf("max_tokens must be 1 to %d", maxMaxTokens))
	}
	return req, nil
}

// deadline returns the request's context, bounded by the caller's own deadline.
// A request with an idempotency key goes on when its caller leaves, so that a
// repeat can be given the outcome.
func (s *Server) deadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	parent := r.Context()
	if r.Header.Get(HeaderKey) != "" {
		parent = context.WithoutCancel(parent)
	}
	d := s.Settings.Request.DefaultDeadline.AsDuration()
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return nil, nil, errkind.New(errkind.InvalidRequest, HeaderDeadline+" must be a positive number of milliseconds")
		}
		d = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(parent, d)
	return ctx, cancel, nil
}

func parseRepeatable(r *http.Request) (bool, error) {
	switch r.Header.Get(HeaderRepeatable) {
	case "", "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, errkind.New(errkind.InvalidRequest, HeaderRepeatable+" must be true or false")
	}
}

// job checks the organisation's right and names the prompt's pieces.
func (s *Server) job(ex *exchange, req *oai.Request) (*dispatch.Job, error) {
	model, adapter, _ := strings.Cut(req.Model, adapterSeparator)
	spec := ex.view.Models[model]
	if spec == nil || !ex.view.MayUse(ex.organisation, model, adapter) {
		return nil, errkind.New(errkind.PermissionDenied, "the organisation may not use model "+req.Model)
	}
	prompt := req.Render()
	version := s.Replicas.ServingVersion(model, spec.Version)
	scope := prefix.Scope{Organisation: ex.organisation, Model: model, Version: version, Adapter: adapter}
	pieceBytes := int(s.Settings.Prefix.PieceBytes)
	return &dispatch.Job{
		Organisation: ex.organisation,
		Engine: oai.EngineRequest{
			Model:     model,
			Adapter:   adapter,
			Prompt:    prompt,
			MaxTokens: req.MaxTokens,
			Stream:    true,
			Priority:  ex.view.Organisations[ex.organisation].Priority,
			CacheSalt: scope.Salt(),
			Version:   version,
		},
		Prompt: schedule.Prompt{
			Model:   model,
			Version: version,
			Chain:   prefix.Chain(scope.Salt(), prompt, pieceBytes, 0),
			Pieces:  float64(len(prompt)) / float64(pieceBytes),
		},
	}, nil
}

// admitCost applies the organisation's limits. A request beyond the guarantee
// is sent only where the queue is short.
func (s *Server) admitCost(ctx context.Context, ex *exchange, job *dispatch.Job) error {
	class, err := s.Limiter.Admit(ex.organisation, job.Prompt.Pieces+1, time.Now())
	if err != nil {
		return err
	}
	job.Bounds.FirstToken = s.Settings.Route.FirstTokenLimit.AsDuration()
	if deadline, ok := ctx.Deadline(); ok {
		job.Bounds.FirstToken = min(job.Bounds.FirstToken, time.Until(deadline))
	}
	if class == limit.Borrowed {
		job.Bounds.Wait = s.Settings.Route.BorrowWait.AsDuration()
	}
	return nil
}

// settled is an answer as it is recorded for repeats of a request.
type settled struct {
	status      int
	contentType string
	body        []byte
}

// onceOnly runs dispatch, under a claim when the request is not repeatable and
// carries a key.
func (s *Server) onceOnly(ctx context.Context, ex *exchange, repeatable bool, body []byte, dispatch func() (*settled, error)) error {
	key := ex.r.Header.Get(HeaderKey)
	if repeatable || key == "" {
		_, err := dispatch()
		return err
	}
	ex.claimed = true
	ticket, outcome, err := s.Claimer.Claim(ctx, ex.organisation, key, requestHash(ex.r, body))
	if err != nil {
		return err
	}
	if outcome != nil {
		return ex.repeatOutcome(outcome)
	}
	if !ticket.Dispatch() {
		return errkind.New(errkind.InDoubt, "the claim was used already")
	}
	answer, err := dispatch()
	return s.closeTicket(ticket, answer, err)
}

// closeTicket records the outcome, or gives the key back when nothing ran.
func (s *Server) closeTicket(ticket *once.Ticket, answer *settled, err error) error {
	switch {
	case err == nil:
		ticket.Settle(answer.status, answer.contentType, answer.body)
	case errkind.From(err).Kind.Answer().Run == errkind.NotRun:
		ticket.Release()
	}
	return err
}

func requestHash(r *http.Request, body []byte) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", r.Method, r.URL.RequestURI())
	h.Write(body)
	return h.Sum(nil)
}

// repeatOutcome answers a repeat with what the first request was answered.
func (ex *exchange) repeatOutcome(o *pb.OutcomeStep) error {
	if o.Truncated {
		return errkind.New(errkind.InDoubt, "the request ran before; its answer was too large to keep")
	}
	h := ex.w.Header()
	h.Set("Content-Type", o.ContentType)
	h.Set(HeaderRunState, string(errkind.Ran))
	h.Set("Idempotency-Replayed", "true")
	ex.w.WriteHeader(int(o.HttpStatus))
	_, _ = ex.w.Write(o.Body)
	return nil
}
