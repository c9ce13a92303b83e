package entry

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/oai"
)

// Headers that callers and the system exchange.
const (
	HeaderRequestID  = "Briarlink-Request-Id"
	HeaderRunState   = "Briarlink-Run-State"
	HeaderRepeatable = "Briarlink-Repeatable"
	HeaderDeadline   = "Briarlink-Deadline-Ms"
	HeaderKey        = "Idempotency-Key"
)

type requestIDKey struct{}

func requestIDOf(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

func (s *Server) requestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(HeaderRequestID, id)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

func (s *Server) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				s.Log.WithField("panic", p).Error("request handler panicked")
				// Ends the connection: what was written may be half an answer.
				panic(http.ErrAbortHandler)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// closeWhenStopping asks callers to connect elsewhere for their next request.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) countOpen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Metrics.Streams.Update(float64(s.open.Add(1)))
		defer func() { s.Metrics.Streams.Update(float64(s.open.Add(-1))) }()
		next.ServeHTTP(w, r)
	})
}

// admit authenticates the caller and refuses what must not start here.
func (s *Server) admit(ex *exchange) error {
	if s.open.Load() > s.Settings.Request.MaxStreams {
		return errkind.New(errkind.Overloaded, "too many requests are open on this host")
	}
	if err := s.Gate(); err != nil {
		return err
	}
	cur := s.Store.Current()
	if cur == nil {
		return errkind.New(errkind.NotReady, "this host has no configuration yet")
	}
	ex.view = cur.View()
	key, ok := strings.CutPrefix(ex.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return errkind.New(errkind.Unauthenticated, "the Authorization header holds no bearer key")
	}
	if ex.organisation, ok = ex.view.OrganisationOf(key); !ok {
		return errkind.New(errkind.Unauthenticated, "the API key is unknown")
	}
	return nil
}

// fail answers with an error, as an event where a stream has begun.
func (ex *exchange) fail(err error) {
	e := errkind.From(err)
	answer := e.Kind.Answer()
	ex.kind, ex.run = answer.Name, string(answer.Run)
	body := oai.Encode(oai.ErrorBody{Error: oai.ErrorDetail{
		Type: answer.Name, Message: e.Reason, RunState: string(answer.Run),
	}})
	if ex.wroteStream {
		writeEvent(ex.w, "event: error\ndata: "+string(body)+"\n\n")
		return
	}
	h := ex.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRunState, string(answer.Run))
	if after := e.Retry(); after > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	ex.w.WriteHeader(answer.Status)
	// The connection's own failure is the caller's to see.
	_, _ = ex.w.Write(body)
}

func (s *Server) unknown(*exchange) error {
	return errkind.New(errkind.NotFound, "no such path")
}
