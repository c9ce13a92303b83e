// Package platform is a stand-in for the platform's log and host list.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/api/briarlink/v1/briarlinkv1connect"
	"github.com/briarlink/briarlink/test/standin/fault"
)

// Server keeps named streams in memory. It is safe for concurrent use.
type Server struct {
	faults    *fault.Switch
	retention time.Duration
	listLag   time.Duration

	mu      sync.Mutex
	streams map[string]*stream
	hosts   []listedHosts
}

type stream struct {
	first   uint64
	records []*pb.LogRecord
	grown   chan struct{}
}

type listedHosts struct {
	at    time.Time
	hosts []*pb.ListedHost
}

// New returns an empty platform that keeps records for retention and shows
// changes of the host list after listLag.
func New(faults *fault.Switch, retention, listLag time.Duration) *Server {
	return &Server{faults: faults, retention: retention, listLag: listLag, streams: map[string]*stream{}}
}

// Handler returns the platform's services and the control calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	services := http.NewServeMux()
	services.Handle(briarlinkv1connect.NewLogServiceHandler(s))
	services.Handle(briarlinkv1connect.NewHostListServiceHandler(s))
	mux.Handle("/", s.faults.Guard(services))
	mux.HandleFunc("PUT /control", s.faults.Control(func(fault.Plan) {}))
	mux.HandleFunc("PUT /control/hosts", s.controlHosts)
	return mux
}

func (s *Server) controlHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []*pb.ListedHost
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetHosts(hosts)
	w.WriteHeader(http.StatusNoContent)
}

// SetHosts changes the host list, to be seen after the lag.
func (s *Server) SetHosts(hosts []*pb.ListedHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, listedHosts{time.Now(), hosts})
}

func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{grown: make(chan struct{})}
		s.streams[name] = st
	}
	s.trim(st)
	return st
}

func (s *Server) trim(st *stream) {
	oldest := time.Now().Add(-s.retention).UnixMilli()
	for len(st.records) > 0 && st.records[0].TimeMs < oldest {
		st.records = st.records[1:]
		st.first++
	}
}

// Append implements LogService.
func (s *Server) Append(_ context.Context, req *connect.Request[pb.AppendRequest]) (*connect.Response[pb.AppendResponse], error) {
	s.mu.Lock()
	st := s.stream(req.Msg.Stream)
	offset := st.first + uint64(len(st.records))
	st.records = append(st.records, &pb.LogRecord{Offset: offset, TimeMs: time.Now().UnixMilli(), Payload: req.Msg.Payload})
	close(st.grown)
	st.grown = make(chan struct{})
	s.mu.Unlock()
	if s.faults.Chance(s.faults.Plan().LoseAnswers) {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	return connect.NewResponse(&pb.AppendResponse{Offset: offset}), nil
}

// Read implements LogService.
func (s *Server) Read(ctx context.Context, req *connect.Request[pb.ReadRequest]) (*connect.Response[pb.ReadResponse], error) {
	wait := time.NewTimer(time.Duration(req.Msg.WaitMs) * time.Millisecond)
	defer wait.Stop()
	for {
		resp, grown := s.read(req.Msg)
		if len(resp.Records) > 0 || resp.FirstOffset > req.Msg.From {
			return connect.NewResponse(resp), nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-wait.C:
			return connect.NewResponse(resp), nil
		case <-grown:
		}
	}
}

func (s *Server) read(req *pb.ReadRequest) (*pb.ReadResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(req.Stream)
	end := st.first + uint64(len(st.records))
	resp := &pb.ReadResponse{FirstOffset: st.first, EndOffset: end, NowMs: time.Now().UnixMilli()}
	from := max(req.From, st.first)
	if from < end {
		records := st.records[from-st.first:]
		resp.Records = records[:min(len(records), int(req.MaxRecords))]
	}
	return resp, st.grown
}

// ListLive implements HostListService.
func (s *Server) ListLive(context.Context, *connect.Request[pb.ListLiveRequest]) (*connect.Response[pb.ListLiveResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &pb.ListLiveResponse{}
	for i, l := range s.hosts {
		if i == 0 || time.Since(l.at) >= s.listLag {
			resp.Hosts = l.hosts
		}
	}
	return connect.NewResponse(resp), nil
}
