package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/briarlink/briarlink/test/standin/caller"
)

const (
	// stormRate is the rate of organisation 0 in a storm.
	stormRate = 90
	// maxOverloadRequests limits the requests of one organisation.
	maxOverloadRequests = 3000
	// hotTime is how long most callers stay at one host, and hotShare how many of them do.
	hotTime  = 5 * time.Second
	hotShare = 2.0 / 3
	// readersPerHost and uploadsPerHost are the numbers of slow callers of a host.
	readersPerHost = 1000
	uploadsPerHost = 100
	// readChunk is read each readPause: 2 KB a second.
	readChunk = 1 << 10
	readPause = 500 * time.Millisecond
	// A slow caller whose connection ended comes back after slowReturn, slowTries times in all at most.
	slowReturn = 2 * time.Second
	slowTries  = 6
	// rampTime is the time over which the slow callers begin.
	rampTime = 2 * time.Second
)

// demand is what a caller wants, and the requests that it sent for it: one, and at most one retry.
type demand struct {
	organisation int
	from         time.Time
	tries        []*request
}

// overloadLoad sends the load of an overload seed and holds the demands.
type overloadLoad struct {
	fx             *fixture
	pressedAt, end time.Time

	mu      sync.Mutex
	demands []*demand

	// peakMB is the highest resident memory of each host's processes. If all together hold too much,
	// tooMuch ends the slow callers.
	peakMB  map[*host]float64
	slow    context.Context
	tooMuch context.CancelFunc
}

func newOverloadLoad(fx *fixture, length time.Duration) *overloadLoad {
	l := &overloadLoad{fx: fx, pressedAt: time.Now().Add(overloadWarmUp), peakMB: map[*host]float64{}}
	l.end = l.pressedAt.Add(length)
	l.slow, l.tooMuch = context.WithCancel(context.Background())
	return l
}

// plainCallers sends plain requests of all organisations, which arrive independently of the answers.
func (l *overloadLoad) plainCallers(seed uint64) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := range organisations {
		rng := rand.New(rand.NewPCG(seed, uint64(i+1)))
		c := &plainCaller{load: l, organisation: i, first: l.fx.newCaller(l.fx.hosts), retry: l.fx.newCaller(l.fx.hosts)}
		c.first.Zone, c.first.Key, c.retry.Key = "", organisationKey(i), organisationKey(i)
		c.retry.CloseConnections()
		group.Go(func() {
			for n := 0; n < maxOverloadRequests && time.Now().Before(l.end); n++ {
				rate := l.fx.overload.rate
				if l.fx.overload.kind == storm && i == 0 && time.Now().After(l.pressedAt) {
					rate = stormRate
				}
				time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				own := rand.New(rand.NewPCG(rng.Uint64(), 0))
				group.Go(func() { c.send(own) })
			}
		})
	}
}

// plainCaller sends the plain requests of one organisation.
type plainCaller struct {
	load         *overloadLoad
	organisation int
	first, retry *caller.Caller
}

// send sends a request. If it was refused, or its connection failed, it is sent once more over a new
// connection to a random host, after Retry-After or a third of the remaining time, whichever is less.
func (c *plainCaller) send(rng *rand.Rand) {
	d := &demand{organisation: c.organisation, from: time.Now()}
	path := "/plain/" + uuid.NewString()
	s := c.try(c.first, d, path, c.pick(rng, d.from))
	if s.err != nil || notRun(s.answer.Status) {
		time.Sleep(min(s.answer.RetryAfter, (plainDeadline-time.Since(d.from))/3))
		if time.Since(d.from) < plainDeadline {
			c.try(c.retry, d, path, c.named(rng))
		}
	}
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	c.load.demands = append(c.load.demands, d)
}

func (c *plainCaller) try(by *caller.Caller, d *demand, path string, h *host) *request {
	s := &request{id: uuid.NewString(), kind: overloadRoutes[0], key: by.Key, host: h, from: time.Now()}
	left := plainDeadline - s.from.Sub(d.from)
	ctx, cancel := context.WithTimeout(context.Background(), left+deadlineSlack)
	defer cancel()
	s.answer, s.err = by.SendTo(ctx, h.caller(), caller.Request{ID: s.id, Method: s.kind.method, Path: path, Deadline: left})
	s.to = time.Now()
	d.tries = append(d.tries, s)
	c.load.fx.observed.add(s)
	return s
}

// pick returns the host for a first request: one that the directory names or, while callers are unevenly
// spread, mostly the one that the others pick too.
func (c *plainCaller) pick(rng *rand.Rand, now time.Time) *host {
	hosts := c.load.fx.hosts
	if c.load.fx.overload.kind != uneven {
		return c.named(rng)
	}
	hot := int(now.Sub(c.load.pressedAt.Add(-overloadWarmUp))/hotTime) % len(hosts)
	if rng.Float64() < hotShare {
		return hosts[hot]
	}
	return hosts[(hot+1+rng.IntN(len(hosts)-1))%len(hosts)]
}

// named returns a random one of the hosts that the directory names, or of all if none answers.
func (c *plainCaller) named(rng *rand.Rand) *host {
	addresses, err := c.first.Resolve(context.Background())
	named := slices.DeleteFunc(slices.Clone(c.load.fx.hosts), func(h *host) bool {
		return err == nil && !slices.Contains(addresses, h.caller())
	})
	return named[rng.IntN(len(named))]
}

// slowCallers runs the slow callers of a seed from pressedAt until the end, or until slow ends.
func (l *overloadLoad) slowCallers() {
	count := map[overloadKind]int{slowReaders: readersPerHost, heldUploads: uploadsPerHost, hostile: hostilePerHost}[l.fx.overload.kind]
	time.Sleep(time.Until(l.pressedAt))
	ctx, cancel := context.WithDeadline(l.slow, l.end)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	for n := range count {
		for i, h := range l.fx.hosts {
			group.Go(func() {
				wait(ctx, rampTime*time.Duration(n)/time.Duration(count))
				for try := 0; try < slowTries && ctx.Err() == nil; try++ {
					if l.fx.overload.kind == hostile {
						l.hostileCall(ctx, h, (n*len(l.fx.hosts)+i)*slowTries+try)
					} else {
						l.slowCall(ctx, h.caller(), organisationKey(n%organisations))
					}
					wait(ctx, slowReturn)
				}
			})
		}
	}
}

// wait waits for the duration, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// heldBody is what an upload sends: all but the last byte.
var heldBody = make([]byte, largeBody-1)

// slowCall sends a request for a large answer, or one with a held-back body, and reads its answer slowly until
// the answer, the connection or ctx ends.
func (l *overloadLoad) slowCall(ctx context.Context, address, key string) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	c := conn.(*net.TCPConn)
	// The load is the same if a size cannot be set.
	_, _ = c.SetReadBuffer(socketBuffer), c.SetWriteBuffer(socketBuffer)
	head, body := "GET /files/1 HTTP/1.1\r\n", []byte(nil)
	if l.fx.overload.kind == heldUploads {
		head, body = fmt.Sprintf("POST /uploads/1 HTTP/1.1\r\nContent-Length: %d\r\n", largeBody), heldBody
	}
	if _, err := fmt.Fprintf(c, "%sHost: %s\r\nApi-Key: %s\r\nConnection: close\r\n\r\n", head, hostName, key); err != nil {
		return
	}
	if _, err := c.Write(body); err != nil {
		return
	}
	for chunk := make([]byte, readChunk); ; wait(ctx, readPause) {
		if _, err := io.ReadFull(c, chunk); err != nil {
			return
		}
	}
}
