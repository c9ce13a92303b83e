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
	// defaultIdle is how long a connection is kept when the backend server does
	// not say for how long it keeps it.
	defaultIdle = 3 * time.Second
	// idleMargin is kept before the backend server's own limit: a request that
	// crosses its close may or may not have run.
	idleMargin = 400 * time.Millisecond
	// learnedShare of the rest after which a backend server was seen to have dropped
	// a connection is how long connections are kept from then on, for learnedFor.
	learnedShare = 0.5
	learnedFor   = 10 * time.Second
	// leastLearned is the shortest rest that is learned: servers that forget
	// connections do so after some hundred milliseconds.
	leastLearned = 100 * time.Millisecond
	// resetWithin is how soon after a request the reset of a dropped connection
	// comes: a few round trips. Later ones are the ends of servers.
	resetWithin = 30 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one backend server: servers
	// reset those beyond what they accept of all hosts together, a hundred of some.
	maxIdlePerServer = 8
)

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	// Dial opens a connection; tests replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// resetWithin is as the constant; tests replace it.
	resetWithin time.Duration

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	// learned holds, by address, what dropped connections taught.
	learned map[string]lesson
	// Opened counts new connections.
	opened int64
}

// lesson is the longest rest until a time: backend servers may drop connections sooner
// than they say.
type lesson struct {
	longest time.Duration
	until   time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	dialer := netdial.New(dialTimeout)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}
	return &Pool{Dial: dial, resetWithin: resetWithin, idle: map[string][]*conn{}, learned: map[string]lesson{}}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Send sends a request to the backend server at an IP:port and returns the head
// of its answer. An error is an *Error. Once ctx ends the exchange is cut.
func (p *Pool) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	c := p.take(address, req.MaxIdle)
	if c == nil {
		fresh, err := p.dial(ctx, address)
		if err != nil {
			return nil, &Error{cause: err}
		}
		c = fresh
	}
	began := clock.Now()
	resp, err := c.exchange(ctx, req)
	if err != nil {
		now := clock.Now()
		if ctx.Err() == nil && c.rested > 0 && now.Sub(began) < p.resetWithin && errors.Is(err, syscall.ECONNRESET) {
			p.learn(address, c.rested, now)
		}
		return nil, err
	}
	resp.pool = p
	return resp, nil
}

// learn takes the rest after which a kept connection was reset by its next request:
// its server had dropped it.
func (p *Pool) learn(address string, rested time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := max(leastLearned, time.Duration(learnedShare*float64(rested)))
	if before := p.learned[address]; now.Before(before.until) {
		longest = min(longest, before.longest)
	}
	p.learned[address] = lesson{longest, now.Add(learnedFor)}
}

// unlearn drops what a server taught whose address is dead: it did not drop connections,
// it crashed just after it was sent a request on one.
func (p *Pool) unlearn(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.learned, address)
}

// rest returns the longest rest that any server taught, or limit: those of a service are
// mostly alike.
func (p *Pool) rest(limit time.Duration, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.learned {
		if now.Before(l.until) {
			limit = min(limit, l.longest)
		}
	}
	return limit
}

// Look reports, by an error, whether a backend server's address is dead. An idle connection
// that is still open is enough; else one is opened, and kept for a request.
func (p *Pool) Look(ctx context.Context, address string) error {
	p.mu.Lock()
	open := slices.ContainsFunc(p.idle[address], (*conn).quiet)
	p.mu.Unlock()
	if open {
		return nil
	}
	return p.Probe(ctx, address)
}

// Probe opens a connection to a backend server and keeps it for a request.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.put(c, 0)
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.Dial(ctx, address)
	if err != nil {
		if Refused(err) {
			p.unlearn(address)
		}
		return nil, errors.Wrap(err, "dial")
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// take returns the idle connection that was used last, or nil.
func (p *Pool) take(address string, maxIdle time.Duration) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		limit := c.maxIdle
		if maxIdle > 0 {
			limit = min(limit, maxIdle)
		}
		now := clock.Now()
		c.rested = now.Sub(c.idleSince)
		if c.rested < p.rest(limit, now) && c.quiet() {
			return c
		}
		c.Conn.Close()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection that the backend server keeps for timeout; 0 when it
// did not say.
func (p *Pool) put(c *conn, timeout time.Duration) {
	c.maxIdle = defaultIdle
	if timeout > 0 {
		c.maxIdle = max(timeout-idleMargin, timeout/2)
	}
	c.idleSince = clock.Now()
	p.mu.Lock()
	full := p.closed || len(p.idle[c.address]) >= maxIdlePerServer
	if !full {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if full {
		c.Conn.Close()
	}
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for address, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) >= c.maxIdle {
				old = append(old, c)
			} else {
				keep = append(keep, c)
			}
		}
		p.idle[address] = keep
		if len(keep) == 0 {
			delete(p.idle, address)
		}
	}
	maps.DeleteFunc(p.learned, func(_ string, l lesson) bool { return !now.Before(l.until) })
	p.mu.Unlock()
	for _, c := range old {
		c.Conn.Close()
	}
}

// Forget closes the idle connections to a backend server that is gone.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Conn.Close()
	}
}

// Close closes every idle connection; those in use are closed when they end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.Conn.Close()
		}
	}
}
