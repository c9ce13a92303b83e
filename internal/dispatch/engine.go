package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/api/briarlink/v1/briarlinkv1connect"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/oai"
)

// Headers of an engine's answer.
const (
	headerAttempt     = "X-Attempt-Id"
	headerIncarnation = "X-Engine-Incarnation"
	headerVersion     = "X-Weights-Version"
)

const cancelTimeout = 2 * time.Second

// EngineStream is one attempt's answer as it arrives.
type EngineStream struct {
	Incarnation uint64
	Version     string
	// Events yields the chunks in order; each error is classed by kind.
	Events iter.Seq2[EngineEvent, error]
	// Close ends the transfer. It is safe to call twice.
	Close func()
}

// EngineEvent is one checked event of a stream.
type EngineEvent struct {
	// Index numbers the output token in the whole answer, from 0.
	Index int
	Chunk oai.Chunk
	// Done marks the end of a complete answer.
	Done bool
}

// Engine is how the dispatcher meets a model engine.
type Engine interface {
	// Start sends a request. Errors are classed by kind.
	Start(ctx context.Context, address string, req *oai.EngineRequest) (*EngineStream, error)
	// Resume continues an attempt from a token index on the same engine.
	Resume(ctx context.Context, address, attemptID string, from int) (*EngineStream, error)
	// Cancel ends an attempt; it is best effort.
	Cancel(address, attemptID string)
}

// HTTPEngine meets engines over OpenAI-compatible HTTP.
type HTTPEngine struct {
	client *http.Client
}

// NewHTTPEngine returns an adapter with its own connection pool.
func NewHTTPEngine() *HTTPEngine {
	return &HTTPEngine{client: &http.Client{Transport: newTransport()}}
}

// Start implements Engine.
func (e *HTTPEngine) Start(ctx context.Context, address string, req *oai.EngineRequest) (*EngineStream, error) {
	target := "http://" + address + "/v1/completions"
	return e.open(ctx, http.MethodPost, target, oai.Encode(req), req.AttemptID, len(req.Generated))
}

// Resume implements Engine.
func (e *HTTPEngine) Resume(ctx context.Context, address, attemptID string, from int) (*EngineStream, error) {
	query := url.Values{"attempt_id": {attemptID}, "from": {strconv.Itoa(from)}}
	target := "http://" + address + "/v1/resume?" + query.Encode()
	return e.open(ctx, http.MethodGet, target, nil, attemptID, from)
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(address, attemptID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	client := briarlinkv1connect.NewEngineServiceClient(e.client, "http://"+address)
	// Best effort: an engine that does not hear it finishes for nobody.
	_, _ = client.Cancel(ctx, connect.NewRequest(&pb.CancelRequest{AttemptId: attemptID}))
}

// Order tells the engine which weights version is wanted.
func (e *HTTPEngine) Order(ctx context.Context, address string, fencing uint64, model, version string) (bool, error) {
	client := briarlinkv1connect.NewEngineServiceClient(e.client, "http://"+address)
	resp, err := client.Order(ctx, connect.NewRequest(&pb.OrderRequest{FencingNumber: fencing, Model: model, Version: version}))
	if err != nil {
		return false, errors.Wrap(err, "order weights")
	}
	return resp.Msg.Accepted, nil
}

func (e *HTTPEngine) open(ctx context.Context, method, target string, body []byte, attemptID string, from int) (*EngineStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	mark := &sendMark{}
	req, err := http.NewRequestWithContext(mark.watch(ctx), method, target, unrewindable(body))
	if err != nil {
		cancel()
		return nil, errkind.Wrap(errkind.Internal, err, "build the engine request")
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		cancel()
		return nil, mark.classify(err)
	}
	closeAll := func() {
		cancel()
		resp.Body.Close()
	}
	if err := checkResponse(resp, attemptID); err != nil {
		closeAll()
		return nil, err
	}
	incarnation, _ := strconv.ParseUint(resp.Header.Get(headerIncarnation), 10, 64)
	return &EngineStream{
		Incarnation: incarnation,
		Version:     resp.Header.Get(headerVersion),
		Events:      events(resp.Body, attemptID, from),
		Close:       closeAll,
	}, nil
}

// checkResponse classes an answer that is no stream of this attempt. An engine
// answers 429 and 503 only before it runs anything.
func checkResponse(resp *http.Response, attemptID string) error {
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return errkind.New(errkind.BackendRefused, "the backend server takes no new work")
	case resp.StatusCode == http.StatusBadRequest:
		msg, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return errkind.New(errkind.InvalidRequest, "the engine refused the request: "+strings.TrimSpace(string(msg)))
	case resp.StatusCode != http.StatusOK:
		return errkind.New(errkind.BackendError, fmt.Sprintf("the engine answered with status %d", resp.StatusCode))
	case resp.Header.Get(headerAttempt) != attemptID:
		return errkind.New(errkind.BackendLost, "the engine answered another attempt")
	default:
		return nil
	}
}

// events checks each event's attempt and number. Whatever is amiss ends the
// stream with BackendLost; only [DONE] after a finish reason ends it as complete.
func events(body io.Reader, attemptID string, from int) iter.Seq2[EngineEvent, error] {
	return func(yield func(EngineEvent, error) bool) {
		next, finished := from, false
		for ev, err := range sse.Read(body, nil) {
			if err != nil {
				break
			}
			if ev.Data == oai.Done && finished {
				yield(EngineEvent{Index: next, Done: true}, nil)
				return
			}
			event, err := parseEvent(ev, attemptID, next)
			if err != nil {
				yield(EngineEvent{}, err)
				return
			}
			finished = event.Chunk.Choices[0].FinishReason != nil
			if !yield(event, nil) {
				return
			}
			next++
		}
		yield(EngineEvent{}, errkind.New(errkind.BackendLost, "the engine's stream was cut"))
	}
}

func parseEvent(ev sse.Event, attemptID string, want int) (EngineEvent, error) {
	if ev.LastEventID != attemptID+":"+strconv.Itoa(want) {
		return EngineEvent{}, errkind.New(errkind.BackendLost,
			fmt.Sprintf("event %q in place of number %d", ev.LastEventID, want))
	}
	event := EngineEvent{Index: want}
	if err := json.Unmarshal([]byte(ev.Data), &event.Chunk); err != nil {
		return EngineEvent{}, errkind.Wrap(errkind.BackendLost, errors.Wrap(err, "decode chunk"), "the engine's stream is garbled")
	}
	if len(event.Chunk.Choices) != 1 {
		return EngineEvent{}, errkind.New(errkind.BackendLost, "a chunk without exactly one choice")
	}
	return event, nil
}
