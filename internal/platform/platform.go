// Package platform holds the narrow interfaces through which the system meets
// the platform's log and host list, and their adapter over HTTP.
package platform

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/api/briarlink/v1/briarlinkv1connect"
)

// Streams that the system keeps on the log.
const (
	ConfigStream = "config"
	ClaimStream  = "claims"
	LeaseStream  = "leases"
)

// Record is one entry of a log stream.
type Record struct {
	Offset uint64
	// Time is the platform's time of the append.
	Time    time.Time
	Payload []byte
}

// Page is the answer to one read.
type Page struct {
	Records []Record
	// First is the oldest offset still kept; End is the next to be given.
	First, End uint64
	// Now is the platform's time of the answer.
	Now time.Time
}

// Log is the platform's append-only log. An append that returns an error may
// still have taken effect.
type Log interface {
	// Append adds a record and returns its offset.
	Append(ctx context.Context, stream string, payload []byte) (uint64, error)
	// Read returns records from an offset, waiting at most wait for the first.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error)
}

// ListedHost is one row of the platform's host list.
type ListedHost struct {
	ID          string
	PeerAddress string
	Leaving     bool
}

// HostList is the platform's list of live and leaving hosts. It lags.
type HostList interface {
	Live(ctx context.Context) ([]ListedHost, error)
}

const readBatch = 1000

// Client is the adapter to the platform's services. It is safe for concurrent use.
type Client struct {
	log     briarlinkv1connect.LogServiceClient
	hosts   briarlinkv1connect.HostListServiceClient
	timeout time.Duration
}

// NewClient returns an adapter to the platform at the IP:port address. Calls
// are bounded by timeout beyond any wait they ask for.
func NewClient(address string, timeout time.Duration) *Client {
	base := "http://" + address
	return &Client{
		log:     briarlinkv1connect.NewLogServiceClient(http.DefaultClient, base),
		hosts:   briarlinkv1connect.NewHostListServiceClient(http.DefaultClient, base),
		timeout: timeout,
	}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.log.Append(ctx, connect.NewRequest(&pb.AppendRequest{Stream: stream, Payload: payload}))
	if err != nil {
		return 0, errors.Wrapf(err, "append to %s", stream)
	}
	return resp.Msg.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	resp, err := c.log.Read(ctx, connect.NewRequest(&pb.ReadRequest{
		Stream: stream, From: from, MaxRecords: readBatch, WaitMs: wait.Milliseconds(),
	}))
	if err != nil {
		return Page{}, errors.Wrapf(err, "read %s from %d", stream, from)
	}
	page := Page{First: resp.Msg.FirstOffset, End: resp.Msg.EndOffset, Now: time.UnixMilli(resp.Msg.NowMs)}
	for _, r := range resp.Msg.Records {
		page.Records = append(page.Records, Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeMs), Payload: r.Payload})
	}
	return page, nil
}

// Live implements HostList.
func (c *Client) Live(ctx context.Context) ([]ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.hosts.ListLive(ctx, connect.NewRequest(&pb.ListLiveRequest{}))
	if err != nil {
		return nil, errors.Wrap(err, "list hosts")
	}
	listed := make([]ListedHost, 0, len(resp.Msg.Hosts))
	for _, h := range resp.Msg.Hosts {
		listed = append(listed, ListedHost{ID: h.Id, PeerAddress: h.PeerAddress, Leaving: h.Leaving})
	}
	return listed, nil
}
