package entry

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/oai"
)

const (
	contentSSE  = "text/event-stream"
	contentJSON = "application/json"
)

var errCallerWrite = errors.New("write to caller")

// shape builds the caller's form of an answer, chat or completion.
type shape struct {
	id    string
	model string
	chat  bool
}

// answer dispatches the job and writes the caller's answer.
func (s *Server) answer(ctx context.Context, ex *exchange, req *oai.Request, job *dispatch.Job) (*settled, error) {
	form := shape{id: "cmpl-" + ex.id, model: req.Model, chat: strings.HasPrefix(ex.r.URL.Path, "/v1/chat/")}
	sink := dispatch.Sink(discard{})
	if req.Stream {
		sink = &streamSink{ex: ex, form: form}
	}
	result, err := s.Dispatcher.Run(ctx, job, sink)
	s.measure(job, &result, err)
	if err != nil {
		return nil, err
	}
	body := oai.Encode(form.whole(&result))
	if req.Stream {
		ex.finishStream(form, &result)
	} else {
		ex.writeWhole(body, &result)
	}
	return &settled{http.StatusOK, contentJSON, body}, nil
}

func (s *Server) measure(job *dispatch.Job, result *dispatch.Result, err error) {
	if result.FirstToken > 0 {
		s.Metrics.FirstToken.RecordDuration(result.FirstToken)
	}
	if err != nil {
		return
	}
	s.Metrics.PromptPieces.Inc(int64(math.Round(job.Prompt.Pieces)))
	s.Metrics.CachedPieces.Inc(int64(math.Round(result.CachedPieces)))
	s.Metrics.WastedPieces.Inc(int64(math.Round(max(0, result.ExpectedPieces-result.CachedPieces))))
	s.Metrics.BeliefError.Inc(int64(math.Round(math.Abs(result.ExpectedPieces - result.CachedPieces))))
}

// discard is the sink of an answer that is sent whole.
type discard struct{}

func (discard) Token(int, string) error { return nil }

// streamSink writes tokens as server-sent events. A slow caller blocks it, and
// with it the engine's stream.
type streamSink struct {
	ex   *exchange
	form shape
}

// Token implements dispatch.Sink.
func (k *streamSink) Token(index int, text string) error {
	if !k.ex.wroteStream {
		k.ex.startStream()
	}
	event := fmt.Sprintf("id: %d\ndata: %s\n\n", index, oai.Encode(k.form.chunk(text)))
	if !writeEvent(k.ex.w, event) {
		return errCallerWrite
	}
	return nil
}

func (ex *exchange) startStream() {
	ex.wroteStream = true
	h := ex.w.Header()
	h.Set("Content-Type", contentSSE)
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRunState, string(errkind.Ran))
	ex.w.WriteHeader(http.StatusOK)
}

// writeEvent writes and flushes; it reports whether the caller is still there.
func writeEvent(w http.ResponseWriter, event string) bool {
	if _, err := w.Write([]byte(event)); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// finishStream writes the last chunk and [DONE].
func (ex *exchange) finishStream(form shape, result *dispatch.Result) {
	if !ex.wroteStream {
		ex.startStream()
	}
	last := form.chunk("")
	last.Choices[0].FinishReason = &result.FinishReason
	last.Usage = &result.Usage
	writeEvent(ex.w, fmt.Sprintf("id: %d\ndata: %s\n\n", result.Tokens, oai.Encode(last)))
	writeEvent(ex.w, "data: "+oai.Done+"\n\n")
}

func (ex *exchange) writeWhole(body []byte, result *dispatch.Result) {
	h := ex.w.Header()
	h.Set("Content-Type", contentJSON)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRunState, string(errkind.Ran))
	h.Set("Briarlink-Backend-Server", result.Replica)
	ex.w.WriteHeader(http.StatusOK)
	_, _ = ex.w.Write(body)
}

func (f shape) chunk(text string) oai.Chunk {
	c := oai.Chunk{ID: f.id, Model: f.model, Object: "text_completion", Choices: []oai.Choice{{Text: text}}}
	if f.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0] = oai.Choice{Delta: &oai.Message{Role: "assistant", Content: text}}
	}
	return c
}

func (f shape) whole(result *dispatch.Result) oai.Chunk {
	c := f.chunk(result.Text)
	if f.chat {
		c.Object = "chat.completion"
		c.Choices[0] = oai.Choice{Message: &oai.Message{Role: "assistant", Content: result.Text}}
	}
	c.Choices[0].FinishReason = &result.FinishReason
	c.Usage = &result.Usage
	return c
}
