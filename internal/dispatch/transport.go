// Package dispatch sends requests to backend servers and classes every failure
// by whether the request may have run there.
package dispatch

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/briarlink/briarlink/internal/errkind"
)

const (
	dialTimeout     = time.Second
	idlePerServer   = 64
	idleConnTimeout = 30 * time.Second
)

// countingConn counts the bytes handed to the kernel, so that a failed request
// can be told apart from one of which something may have arrived.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	// Counted before the write: a write that fails may have sent a part.
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// newTransport returns a transport that never repeats a request by itself:
// requests are given bodies that cannot be rewound.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// unrewindable returns body as a reader that the transport cannot send twice.
func unrewindable(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// sendMark remembers how much had been written on a connection before a request.
type sendMark struct {
	conn   atomic.Pointer[countingConn]
	before atomic.Int64
}

// watch returns ctx with a trace that fills in the mark.
func (m *sendMark) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*countingConn)
			if !ok {
				return
			}
			m.before.Store(conn.written.Load())
			m.conn.Store(conn)
		},
	})
}

// sent reports whether any byte of the request may have left this host.
func (m *sendMark) sent() bool {
	conn := m.conn.Load()
	return conn != nil && conn.written.Load() > m.before.Load()
}

// classify returns the error kind of a request that got no response.
func (m *sendMark) classify(err error) error {
	if m.sent() {
		return errkind.Wrap(errkind.BackendLost, err, "the backend server was lost after the request was sent")
	}
	return errkind.Wrap(errkind.BackendUnreachable, err, "the backend server could not be reached")
}
