// Package peer implements remote procedure calls between entry hosts over drpc.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/netdial"
)

const dialTimeout = time.Second

// maxRequestBytes is the maximum size of a request of another host. All of its fields are names and numbers.
const maxRequestBytes = 8 << 10

// Serve serves peers on listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, service pb.DRPCPeerServiceServer) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeerService(mux, service); err != nil {
		return errors.Wrap(err, "register peer service")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxRequestBytes}},
	})
	return errors.Wrap(server.Serve(ctx, listener), "serve peers")
}

// Client calls other entry hosts over one connection to each, opened on first use. It is
// safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	conns map[string]*drpcconn.Conn
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: map[string]*drpcconn.Conn{}} }

// FetchRecords fetches records of a topic from the peer at address.
func (c *Client) FetchRecords(ctx context.Context, address string, in *pb.FetchRecordsRequest) (*pb.FetchRecordsResponse, error) {
	return call(ctx, c, address, func(p pb.DRPCPeerServiceClient) (*pb.FetchRecordsResponse, error) {
		return p.FetchRecords(ctx, in)
	})
}

// RequestPermit asks the peer at address for a permit.
func (c *Client) RequestPermit(ctx context.Context, address string, in *pb.PermitRequest) (*pb.PermitResponse, error) {
	return call(ctx, c, address, func(p pb.DRPCPeerServiceClient) (*pb.PermitResponse, error) {
		return p.RequestPermit(ctx, in)
	})
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		conn.Close()
		delete(c.conns, address)
	}
}

// call calls f with a client on the connection to address, and drops the connection if f
// fails.
func call[T any](ctx context.Context, c *Client, address string, f func(pb.DRPCPeerServiceClient) (T, error)) (T, error) {
	conn, err := c.conn(ctx, address)
	if err != nil {
		var none T
		return none, err
	}
	out, err := f(pb.NewDRPCPeerServiceClient(conn))
	if err != nil {
		c.drop(address, conn)
	}
	return out, errors.Wrapf(err, "call peer %s", address)
}

// conn returns the open connection to address, or opens one.
func (c *Client) conn(ctx context.Context, address string) (drpc.Conn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	dialer := netdial.New(dialTimeout)
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer %s", address)
	}
	opened := drpcconn.New(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		opened.Close()
		return other, nil
	}
	c.conns[address] = opened
	return opened, nil
}

// drop closes a connection and removes it from the client.
func (c *Client) drop(address string, conn drpc.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}
