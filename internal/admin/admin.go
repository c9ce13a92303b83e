// Package admin serves the operators' remote procedure calls.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"sort"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/api/briarlink/v1/briarlinkv1connect"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/state"
)

const (
	defaultAuditLimit = 100
	inForceInterval   = 50 * time.Millisecond
)

// Server implements AdminService. It is safe for concurrent use.
type Server struct {
	store     *state.Store
	submitter *state.Submitter
	members   *member.Table
	replicas  *replica.Table
	log       *logrus.Logger
}

// New returns the operators' calls over one host's tables.
func New(store *state.Store, submitter *state.Submitter, members *member.Table, replicas *replica.Table, log *logrus.Logger) *Server {
	return &Server{store, submitter, members, replicas, log}
}

// Handler returns the path and the HTTP handler of the service. Calls need one
// of the operators' tokens.
func (s *Server) Handler(tokens []*pb.OperatorToken) (string, http.Handler) {
	return briarlinkv1connect.NewAdminServiceHandler(s, connect.WithInterceptors(s.authenticate(tokens), convertErrors()))
}

type authorKey struct{}

// authenticate puts the operator's name into the context.
func (s *Server) authenticate(tokens []*pb.OperatorToken) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			token, _ := strings.CutPrefix(req.Header().Get("Authorization"), "Bearer ")
			name := operatorOf(tokens, token)
			if name == "" {
				return nil, connect.NewError(connect.CodeUnauthenticated, errkind.New(errkind.Unauthenticated, "the operator's token is missing or unknown"))
			}
			s.log.WithFields(logrus.Fields{"operator": name, "procedure": req.Spec().Procedure}).Info("operator call")
			return next(context.WithValue(ctx, authorKey{}, name), req)
		}
	}
}

func operatorOf(tokens []*pb.OperatorToken, token string) string {
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	name := ""
	for _, t := range tokens {
		if subtle.ConstantTimeCompare(digest, []byte(strings.ToLower(t.Sha256))) == 1 {
			name = t.Name
		}
	}
	return name
}

// convertErrors maps error kinds to RPC codes by the one table.
func convertErrors() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			resp, err := next(ctx, req)
			if err == nil {
				return resp, nil
			}
			e := errkind.From(err)
			out := connect.NewError(e.Kind.Answer().Code, e)
			out.Meta().Set("Briarlink-Error-Kind", e.Kind.String())
			return nil, out
		}
	}
}

// ApplyChange implements AdminService.
func (s *Server) ApplyChange(ctx context.Context, req *connect.Request[pb.ApplyChangeRequest]) (*connect.Response[pb.ApplyChangeResponse], error) {
	change := req.Msg.GetChange()
	if change == nil {
		return nil, errkind.New(errkind.InvalidRequest, "change is missing")
	}
	change.Author, _ = ctx.Value(authorKey{}).(string)
	out, err := s.submitter.Submit(ctx, change)
	if err != nil {
		return nil, err
	}
	resp := &pb.ApplyChangeResponse{Outcome: out}
	if out.Verdict == pb.Verdict_VERDICT_ACCEPTED {
		s.inForce(ctx, resp, req.Msg.WaitInForce)
	}
	return connect.NewResponse(resp), nil
}

// inForce fills in which hosts have applied the change; with wait it returns
// only once none is pending or ctx ends.
func (s *Server) inForce(ctx context.Context, resp *pb.ApplyChangeResponse, wait bool) {
	ticker := time.NewTicker(inForceInterval)
	defer ticker.Stop()
	for {
		resp.InForceOn, resp.PendingOn = s.applied(resp.Outcome.Offset)
		if len(resp.PendingOn) == 0 || !wait {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) applied(offset uint64) (done, pending []string) {
	self, now := s.members.Self().Id, time.Now()
	pending = s.members.Unheard(now)
	for _, h := range s.members.Hosts(now) {
		switch {
		case h.Entry.Id == self || h.Entry.AppliedOffset > offset:
			done = append(done, h.Entry.Id)
		case h.Alive:
			pending = append(pending, h.Entry.Id)
		}
	}
	return done, pending
}

func (s *Server) current() (*state.State, error) {
	cur := s.store.Current()
	if cur == nil {
		return nil, errkind.New(errkind.NotReady, "this host has no configuration yet")
	}
	return cur, nil
}

// GetChange implements AdminService.
func (s *Server) GetChange(_ context.Context, req *connect.Request[pb.GetChangeRequest]) (*connect.Response[pb.GetChangeResponse], error) {
	cur, err := s.current()
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.GetChangeResponse{Outcome: cur.Outcome(req.Msg.ChangeId), AppliedOffset: cur.Next}), nil
}

// GetObject implements AdminService.
func (s *Server) GetObject(_ context.Context, req *connect.Request[pb.GetObjectRequest]) (*connect.Response[pb.GetObjectResponse], error) {
	cur, err := s.current()
	if err != nil {
		return nil, err
	}
	object := cur.Objects[state.RefOf(req.Msg.Ref)]
	if object == nil {
		return nil, errkind.New(errkind.NotFound, "the object does not exist")
	}
	return connect.NewResponse(&pb.GetObjectResponse{Object: object}), nil
}

// ListObjects implements AdminService.
func (s *Server) ListObjects(_ context.Context, req *connect.Request[pb.ListObjectsRequest]) (*connect.Response[pb.ListObjectsResponse], error) {
	cur, err := s.current()
	if err != nil {
		return nil, err
	}
	resp := &pb.ListObjectsResponse{}
	for _, o := range cur.Encode().Objects {
		if req.Msg.Kind == pb.ObjectKind_OBJECT_KIND_UNSPECIFIED || req.Msg.Kind == o.Ref.Kind {
			resp.Objects = append(resp.Objects, o)
		}
	}
	return connect.NewResponse(resp), nil
}

// ListAudit implements AdminService.
func (s *Server) ListAudit(_ context.Context, req *connect.Request[pb.ListAuditRequest]) (*connect.Response[pb.ListAuditResponse], error) {
	cur, err := s.current()
	if err != nil {
		return nil, err
	}
	limit := int(req.Msg.Limit)
	if limit <= 0 {
		limit = defaultAuditLimit
	}
	from := sort.Search(len(cur.Outcomes), func(i int) bool { return cur.Outcomes[i].Offset >= req.Msg.FromOffset })
	outcomes := cur.Outcomes[from:]
	return connect.NewResponse(&pb.ListAuditResponse{Outcomes: outcomes[:min(limit, len(outcomes))]}), nil
}

// ListHosts implements AdminService.
func (s *Server) ListHosts(context.Context, *connect.Request[pb.ListHostsRequest]) (*connect.Response[pb.ListHostsResponse], error) {
	resp := &pb.ListHostsResponse{}
	for _, h := range s.members.Hosts(time.Now()) {
		resp.Hosts = append(resp.Hosts, &pb.HostStatus{
			Id:               h.Entry.Id,
			Incarnation:      h.Entry.Incarnation,
			AvailabilityZone: h.Entry.AvailabilityZone,
			CallerAddress:    h.Entry.CallerAddress,
			Alive:            h.Alive,
			Leaving:          h.Leaving,
			AppliedOffset:    h.Entry.AppliedOffset,
		})
	}
	return connect.NewResponse(resp), nil
}

// ListReplicas implements AdminService.
func (s *Server) ListReplicas(context.Context, *connect.Request[pb.ListReplicasRequest]) (*connect.Response[pb.ListReplicasResponse], error) {
	return connect.NewResponse(&pb.ListReplicasResponse{Replicas: s.replicas.Status()}), nil
}
