package admin

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/briarlink/briarlink/api/briarlink/v1/briarlinkv1connect"
)

// NewClient returns a client of the operators' calls at an entry host's IP:port,
// with an operator's token.
func NewClient(address, token string) briarlinkv1connect.AdminServiceClient {
	authorize := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, req)
		}
	})
	return briarlinkv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+address, connect.WithInterceptors(authorize))
}
