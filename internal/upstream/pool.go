package upstream

import (
	"bufio"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/netdial"
)

const (
	// defaultMaxIdle is how long an idle connection is kept if the backend server does not state
	// an idle timeout.
	defaultMaxIdle = 3 * time.Second
	// idleCloseMargin is how long before the backend server's idle timeout a connection is
	// retired: a request sent while the server closes it may or may not have run.
	idleCloseMargin = 400 * time.Millisecond
	// When a backend server has dropped an idle connection, connections are reused for the next
	// learnedIdleTTL only up to learnedIdleRatio of the time for which that one had been idle.
	learnedIdleRatio = 0.5
	learnedIdleTTL   = 10 * time.Second
	// minLearnedIdle is the minimum of a learned limit: servers that drop connections do so
	// after some hundred milliseconds.
	minLearnedIdle = 100 * time.Millisecond
	// maxResetDelay is the maximum time from sending a request on a dropped connection to its
	// reset: a few round trips. A later reset means that the server process has ended.
	maxResetDelay = 30 * time.Millisecond
	// probeTime is how long a probed connection must stay open. Something on the way to a server may
	// accept connections and reset them.
	probeTime = 50 * time.Millisecond
	// maxIdlePerServer limits the idle connections to one backend server. Servers reset
	// connections beyond the number that they accept from all hosts together, which is about
	// a hundred for some.
	maxIdlePerServer = 8
)

// errProbeBroken is the error of a probe whose connection was ended by the other side.
var errProbeBroken = errors.New("the connection was opened and ended")

// Pool keeps idle connections to backend servers for reuse. It is safe for concurrent use.
type Pool struct {
	// Dial opens a connection; tests replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// maxResetDelay is set from the constant; tests replace it.
	maxResetDelay time.Duration

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle   map[string][]*conn
	closed bool
	// learned holds, by address, the limits learned from dropped connections.
	learned map[string]learnedIdle
	// opened counts new connections.
	opened int64
}

// learnedIdle limits the idle time of connections until it expires. It is needed because
// backend servers may drop connections sooner than they state.
type learnedIdle struct {
	maxIdle time.Duration
	expires time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool { return newPool(netdial.New(dialTimeout)) }

// NewPoolWithBuffers returns an empty pool whose connections have socket buffers of a fixed size in bytes.
func NewPoolWithBuffers(bytes int) *Pool {
	dialer := netdial.New(dialTimeout)
	netdial.LimitBuffers(dialer, bytes)
	return newPool(dialer)
}

func newPool(dialer *net.Dialer) *Pool {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}
	return &Pool{Dial: dial, maxResetDelay: maxResetDelay, idle: map[string][]*conn{}, learned: map[string]learnedIdle{}}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Send sends a request to the backend server at an IP:port and returns once the head of the
// answer has been read. Errors are of type *Error. The connection is closed when ctx ends.
func (p *Pool) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	var c *conn
	if !req.NewConnection {
		c = p.take(address, req)
	}
	if c == nil {
		dialed, err := p.dial(ctx, address)
		if err != nil {
			return nil, &Error{cause: err}
		}
		c = dialed
	}
	start := clock.Now()
	resp, err := c.exchange(ctx, req)
	if err != nil {
		now := clock.Now()
		if ctx.Err() == nil && c.idleFor > 0 && now.Sub(start) < p.maxResetDelay && errors.Is(err, syscall.ECONNRESET) {
			p.learnIdleLimit(address, c.idleFor, now)
		}
		return nil, err
	}
	resp.pool = p
	return resp, nil
}

// learnIdleLimit records that a connection was reset at its first request after being idle for
// idleFor: the server had dropped it.
func (p *Pool) learnIdleLimit(address string, idleFor time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maxIdle := max(minLearnedIdle, time.Duration(learnedIdleRatio*float64(idleFor)))
	if previous := p.learned[address]; now.Before(previous.expires) {
		maxIdle = min(maxIdle, previous.maxIdle)
	}
	p.learned[address] = learnedIdle{maxIdle, now.Add(learnedIdleTTL)}
}

// forgetIdleLimit removes the limit learned from a server that now refuses connections: it had
// not dropped a connection, but crashed just after a request was sent on it.
func (p *Pool) forgetIdleLimit(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.learned, address)
}

// idleLimit returns the lowest of limit and all learned limits. A limit learned from one server
// applies to all, as the servers of a service mostly behave alike.
func (p *Pool) idleLimit(limit time.Duration, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.learned {
		if now.Before(l.expires) {
			limit = min(limit, l.maxIdle)
		}
	}
	return limit
}

// CheckReachable returns an error if a backend server's address cannot be connected to. An idle
// connection that is still open is proof enough; otherwise a new one is opened and kept for a
// request.
func (p *Pool) CheckReachable(ctx context.Context, address string) error {
	if p.HasOpen(address) {
		return nil
	}
	return p.Probe(ctx, address)
}

// HasOpen reports whether an idle connection to a backend server is still open.
func (p *Pool) HasOpen(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], (*conn).reusable)
}

// Probe opens a connection to a backend server and keeps it for a request. It returns an error if the
// connection does not stay open.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	clock.Sleep(ctx, probeTime)
	if !c.reusable() {
		c.Conn.Close()
		return errProbeBroken
	}
	p.put(c, 0)
	return nil
}

// Ask sends a request over a new connection, reads the whole answer, whatever its status, and keeps the
// connection for a request. Errors are of type *Error.
func (p *Pool) Ask(ctx context.Context, address string, req *Request) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return &Error{cause: err}
	}
	resp, err := c.exchange(ctx, req)
	if err != nil {
		return err
	}
	resp.pool = p
	resp.Discard()
	return nil
}

// dial opens a connection. If it is refused, the limit learned from the server is removed.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.Dial(ctx, address)
	if err != nil {
		if IsConnectionRefused(err) {
			p.forgetIdleLimit(address)
		}
		return nil, errors.Wrap(err, "dial")
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	c := &conn{Conn: raw, address: address, heads: headLimit{Reader: raw}}
	c.reader = bufio.NewReaderSize(&c.heads, readBufferSize)
	return c, nil
}

// take returns the most recently used idle connection that may be reused for a request, or nil. It closes those that may
// not be reused at all.
func (p *Pool) take(address string, req *Request) *conn {
	for {
		c := p.pop(address, req.ID)
		if c == nil {
			return nil
		}
		limit := c.maxIdle
		if req.MaxIdle > 0 {
			limit = min(limit, req.MaxIdle)
		}
		now := clock.Now()
		c.idleFor = now.Sub(c.idleSince)
		if c.idleFor < p.idleLimit(limit, now) && c.reusable() {
			return c
		}
		c.Conn.Close()
	}
}

// pop removes and returns the most recently used idle connection on which no request with the ID was rejected, or nil.
func (p *Pool) pop(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i, c := range slices.Backward(conns) {
		if !c.hasRejected(id) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// put keeps an idle connection, unless there are too many. timeout is the server's idle timeout,
// or 0 if it states none.
func (p *Pool) put(c *conn, timeout time.Duration) {
	c.maxIdle = defaultMaxIdle
	if timeout > 0 {
		c.maxIdle = max(timeout-idleCloseMargin, timeout/2)
	}
	c.idleSince = clock.Now()
	p.mu.Lock()
	discard := p.closed || len(p.idle[c.address]) >= maxIdlePerServer
	if !discard {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if discard {
		c.Conn.Close()
	}
}

// Sweep closes connections that have been idle for too long and removes expired idle limits.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) >= c.maxIdle {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	maps.DeleteFunc(p.learned, func(_ string, l learnedIdle) bool { return !now.Before(l.expires) })
	p.mu.Unlock()
	for _, c := range expired {
		c.Conn.Close()
	}
}

// Forget closes the idle connections to a backend server that no longer exists.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		c.Conn.Close()
	}
}

// Close closes all idle connections. Those in use are closed when their exchanges end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			c.Conn.Close()
		}
	}
}
