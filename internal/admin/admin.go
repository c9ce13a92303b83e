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

// New returns a server whose status function returns the host's current status.
func New(status func() *pb.StatusResponse) *Server { return &Server{status} }

// Handler returns the service's URL path and HTTP handler.
func (s *Server) Handler() (string, http.Handler) {
	return briarlinkv1connect.NewAdminServiceHandler(s)
}

// Status implements AdminService.
func (s *Server) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	return connect.NewResponse(s.status()), nil
}

// NewClient returns a client for the operators' calls of the entry host at IP:port address.
func NewClient(address string) briarlinkv1connect.AdminServiceClient {
	return briarlinkv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+address)
}
