// Package admin serves the operators' remote procedure calls.
package admin

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/api/briarlink/v1/briarlinkv1connect"
)

// Server implements AdminService.
type Server struct{ status func() *pb.StatusResponse }

// New returns the operators' calls over a function that tells a host's beliefs.
func New(status func() *pb.StatusResponse) *Server { return &Server{status} }

// Handler returns the path and the HTTP handler of the service.
func (s *Server) Handler() (string, http.Handler) {
	return briarlinkv1connect.NewAdminServiceHandler(s)
}

// Status implements AdminService.
func (s *Server) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	return connect.NewResponse(s.status()), nil
}

// NewClient returns a client of the operators' calls at an entry host's IP:port.
func NewClient(address string) briarlinkv1connect.AdminServiceClient {
	return briarlinkv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+address)
}
