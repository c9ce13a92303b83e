// Package engine is a stand-in for a model engine: OpenAI-compatible streaming,
// a prefix cache with eviction, cache events, a lagging load report, resume,
// cancel, and orders with fencing numbers.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/api/briarlink/v1/briarlinkv1connect"
	"github.com/briarlink/briarlink/internal/oai"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/test/standin/fault"
)

// Config is what the engine is like.
type Config struct {
	Model   string
	Version string
	// PieceBytes is the size of a cached piece.
	PieceBytes int
	// CachePieces is the capacity of the prefix cache.
	CachePieces int
	Prefill     time.Duration
	Decode      time.Duration
	LoadTime    time.Duration
	LoadLag     time.Duration
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
}

// keepAttempts is how long a finished or cut attempt can be resumed.
const keepAttempts = 10 * time.Second

// maxEvents bounds the events kept for polls.
const maxEvents = 10000

// Server is one engine. It is safe for concurrent use; mu guards all below it.
type Server struct {
	cfg    Config
	faults *fault.Switch

	mu          sync.Mutex
	incarnation uint64
	version     string
	loading     bool
	fencing     uint64
	cache       *lru
	events      []*pb.CacheEvent
	nextEvent   uint64
	queued      int
	running     int
	reports     []report
	attempts    map[string]*attempt
	runs        map[string]int
	// alive is cancelled by a crash.
	alive context.Context
	crash context.CancelFunc
	// prefill is held by the one request in prefill.
	prefill chan struct{}
}

// report is the load at one time.
type report struct {
	at      time.Time
	queued  int
	running int
}

// New returns an empty engine.
func New(cfg Config, faults *fault.Switch) *Server {
	s := &Server{cfg: cfg, faults: faults, version: cfg.Version, runs: map[string]int{}, prefill: make(chan struct{}, 1)}
	s.reset()
	return s
}

// reset starts a new incarnation with an empty cache. mu is held or not needed.
func (s *Server) reset() {
	if s.crash != nil {
		s.crash()
	}
	s.alive, s.crash = context.WithCancel(context.Background())
	s.incarnation = uint64(time.Now().UnixNano())
	s.cache = newLRU(s.cfg.CachePieces, s.evicted)
	s.events, s.nextEvent = nil, 0
	s.attempts = map[string]*attempt{}
}

// Crash empties the engine and cuts every stream.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset()
}

// Handler returns the engine's API and its control calls.
func (s *Server) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/completions", s.completions)
	api.HandleFunc("GET /v1/resume", s.resume)
	api.Handle(briarlinkv1connect.NewEngineServiceHandler(s))
	mux := http.NewServeMux()
	mux.Handle("/", s.faults.Guard(api))
	mux.HandleFunc("PUT /control", s.faults.Control(func(p fault.Plan) {
		if p.Crash {
			s.Crash()
		}
	}))
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Runs())
	})
	return mux
}

// Runs returns how often each prompt was started from its first token.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

func (s *Server) publish(h prefix.Hash, removed bool) {
	ev := &pb.CacheEvent{Sequence: s.nextEvent, Removed: removed, Hash: uint64(h)}
	s.nextEvent++
	if s.faults.Chance(s.faults.Plan().DropEvents) {
		return
	}
	s.events = append(s.events, ev)
	if len(s.events) > maxEvents {
		s.events = s.events[len(s.events)-maxEvents:]
	}
}

func (s *Server) evicted(h prefix.Hash) { s.publish(h, true) }

// Poll implements EngineService.
func (s *Server) Poll(_ context.Context, req *connect.Request[pb.PollRequest]) (*connect.Response[pb.PollResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.laggedLoad(time.Now())
	resp := &pb.PollResponse{
		Incarnation:       s.incarnation,
		Model:             s.cfg.Model,
		Version:           s.version,
		Leaving:           s.faults.Plan().Leaving,
		Loading:           s.loading,
		NextSequence:      s.nextEvent,
		QueuedPieces:      int64(load.queued),
		Running:           int64(load.running),
		LoadAgeMs:         time.Since(load.at).Milliseconds(),
		PrefillUsPerPiece: s.cfg.Prefill.Microseconds(),
		DecodeUsPerToken:  s.cfg.Decode.Microseconds(),
	}
	for _, ev := range s.events {
		if ev.Sequence >= req.Msg.FromSequence {
			resp.Events = append(resp.Events, ev)
		}
	}
	return connect.NewResponse(resp), nil
}

// laggedLoad records the load and returns the newest record older than the lag.
func (s *Server) laggedLoad(now time.Time) report {
	s.reports = append(s.reports, report{now, s.queued, s.running})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.cfg.LoadLag {
		s.reports = s.reports[1:]
	}
	return s.reports[0]
}

// Order implements EngineService.
func (s *Server) Order(_ context.Context, req *connect.Request[pb.OrderRequest]) (*connect.Response[pb.OrderResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFencing && req.Msg.FencingNumber < s.fencing {
		return connect.NewResponse(&pb.OrderResponse{HighestFencingNumber: s.fencing}), nil
	}
	s.fencing = max(s.fencing, req.Msg.FencingNumber)
	if req.Msg.Version != s.version {
		s.loading = true
		s.version = req.Msg.Version
		time.AfterFunc(s.cfg.LoadTime, s.loaded)
	}
	return connect.NewResponse(&pb.OrderResponse{Accepted: true, HighestFencingNumber: s.fencing}), nil
}

func (s *Server) loaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = false
	s.cache = newLRU(s.cfg.CachePieces, s.evicted)
}

// Cancel implements EngineService.
func (s *Server) Cancel(_ context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.attempts[req.Msg.AttemptId]; a != nil {
		a.cancel()
	}
	return connect.NewResponse(&pb.CancelResponse{}), nil
}

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	req := &oai.EngineRequest{}
	if err := json.NewDecoder(r.Body).Decode(req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a := s.start(req)
	if a == nil {
		http.Error(w, "no new work", http.StatusServiceUnavailable)
		return
	}
	a.stream(w, r, len(req.Generated))
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	s.mu.Lock()
	a := s.attempts[r.URL.Query().Get("attempt_id")]
	s.mu.Unlock()
	if err != nil || a == nil {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	a.stream(w, r, from)
}
