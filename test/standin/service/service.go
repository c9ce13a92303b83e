// Package service is a stand-in for a plain service: it keeps a ledger of what
// it was asked to book.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/briarlink/briarlink/test/standin/fault"
)

// Server counts bookings by their body. It is safe for concurrent use.
type Server struct {
	faults *fault.Switch
	mu     sync.Mutex
	booked map[string]Booking
}

// Booking is what the ledger holds of one body.
type Booking struct {
	Count int `json:"count"`
	// FirstMs is when it was first booked, Unix milliseconds.
	FirstMs int64 `json:"first_ms"`
}

// New returns a service without bookings.
func New(faults *fault.Switch) *Server {
	return &Server{faults: faults, booked: map[string]Booking{}}
}

// Handler returns the service and its control calls.
func (s *Server) Handler() http.Handler {
	calls := http.NewServeMux()
	calls.HandleFunc("POST /bookings", s.book)
	calls.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"status":"open"}`)
	})
	mux := http.NewServeMux()
	mux.Handle("/", s.faults.Guard(calls))
	mux.HandleFunc("PUT /control", s.faults.Control(func(fault.Plan) {}))
	mux.HandleFunc("GET /control/booked", s.ledger)
	return mux
}

func (s *Server) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	b := s.booked[string(body)]
	if b.Count == 0 {
		b.FirstMs = time.Now().UnixMilli()
	}
	b.Count++
	s.booked[string(body)] = b
	s.mu.Unlock()
	if s.faults.Chance(s.faults.Plan().LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, `{"booked":true}`)
}

func (s *Server) ledger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.booked)
}
