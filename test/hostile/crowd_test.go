//go:build hostile

package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// client is one member of a crowd, with one connection at a time.
type client struct {
	p   *process
	at  listener
	net net.Conn
	// closed is closed once the host has closed the connection.
	closed chan struct{}
	// id is that of the request under way, if its head has one, and status that of the first answer, 0 without one.
	id     string
	status int
}

// stallLimit is how long a client waits for a host that does not read on.
const stallLimit = 5 * time.Second

// write writes text, and reports whether the connection is still open.
func (c *client) write(text string) bool {
	if err := c.net.SetWriteDeadline(time.Now().Add(stallLimit)); err != nil {
		return false
	}
	_, err := io.WriteString(c.net, text)
	return err == nil
}

// repeat writes text until the connection ends, n times at most.
func (c *client) repeat(text string, n int) {
	for range n {
		if !c.write(text) {
			return
		}
	}
}

// begin writes the head of a request without its last empty line.
func (c *client) begin(method, target string) bool {
	c.id = newID()
	return c.write(requestHead(method, target, c.id))
}

// read discards what the host sends until it closes the connection, and keeps the status of the first answer.
func (c *client) read() {
	defer close(c.closed)
	r := bufio.NewReaderSize(c.net, 512)
	line, err := r.ReadString('\n')
	if _, scanErr := fmt.Sscanf(line, "HTTP/1.1 %d", &c.status); err != nil || scanErr != nil {
		c.status = 0
	}
	// The host may close the connection at any moment.
	_, _ = io.Copy(io.Discard, r)
}

// kind is a way to misbehave.
type kind struct {
	name string
	at   listener
	// crowd is the number of clients that do so at once.
	crowd int
	// unread is set for clients that read nothing.
	unread bool
	// send writes what a client sends over one connection; the client then keeps the connection open.
	send func(c *client)
}

const (
	bodyBytes = 4 << 20
	// headBytes is the size of heads that stop short of their end; the pages allow 16 KB.
	headBytes = 30 << 10
	// withheld is what clients that send nearly all of a body keep back.
	withheld = 1
)

var (
	body  = strings.Repeat("x", bodyBytes)
	field = "X-Filler: " + strings.Repeat("x", headBytes) + "\r\n"
)

// manyFields returns fields with different short names, size bytes in all.
func manyFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		for rest := n; ; rest /= len(letters) {
			b.WriteByte(letters[rest%len(letters)])
			if rest < len(letters) {
				break
			}
		}
		b.WriteString(":\r\n")
	}
	return b.String()
}

// chunked writes size bytes as a body in chunks, all but its end.
func (c *client) chunked(size, chunk int) {
	if !c.begin("POST", "/updates/1") || !c.write("Transfer-Encoding: chunked\r\n\r\n") {
		return
	}
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, body[:chunk])
	several := strings.Repeat(one, max(1, 64<<10/len(one)))
	c.repeat(several, size/chunk*len(one)/len(several))
}

// lengthFor writes the head of a request with a body of a size, and reports whether the connection is open.
func (c *client) lengthFor(target string, size int) bool {
	return c.begin("POST", target) && c.write(fmt.Sprintf("Content-Length: %d\r\n\r\n", size))
}

// frame is the beginning of a message of 3 MB between hosts.
const frame = "\x04\x01\x01\x80\x80\xc0\x01"

var kinds = []kind{
	{name: "heads over the limit", at: callers, crowd: 400, send: func(c *client) {
		if c.begin("GET", "/views/1") {
			c.repeat(field, 8)
		}
	}},
	{name: "heads without end", at: callers, crowd: 200, send: func(c *client) {
		if c.begin("GET", "/views/1") {
			c.repeat(manyFields(1<<10), 8<<10)
		}
	}},
	{name: "request lines without end", at: callers, crowd: 400, send: func(c *client) {
		if c.write("GET /views/") {
			c.repeat(strings.Repeat("x", 8<<10), 1<<10)
		}
	}},
	{name: "heads of one field short of their end", at: callers, crowd: 500, send: func(c *client) {
		if c.begin("GET", "/views/1") {
			c.write(field)
		}
	}},
	{name: "heads of many fields short of their end", at: callers, crowd: 300, send: func(c *client) {
		if c.begin("GET", "/views/1") {
			c.write(manyFields(headBytes))
		}
	}},
	{name: "heads of many fields, body withheld", at: callers, crowd: 300, send: func(c *client) {
		if c.begin("POST", "/updates/1") {
			c.write(manyFields(headBytes) + "Content-Length: 10\r\n\r\n")
		}
	}},
	{name: "heads of many blocks, body withheld", at: callers, crowd: 300, send: func(c *client) {
		if c.begin("POST", "/updates/1") {
			c.write("X-Briarlink-Prefix-Hash: 1:1" + strings.Repeat(",1:1", headBytes/4) + "\r\nContent-Length: 10\r\n\r\n")
		}
	}},
	{name: "empty lines", at: callers, crowd: 300, send: func(c *client) { c.repeat(strings.Repeat("\r\n", 8<<10), 512) }},
	{name: "empty lines after a request", at: callers, crowd: 300, send: func(c *client) {
		if c.lengthFor("/updates/1", 2) && c.write("ok") {
			c.repeat(strings.Repeat("\r\n", 8<<10), 512)
		}
	}},
	{name: "bodies short of their end", at: callers, crowd: 60, send: func(c *client) {
		if c.lengthFor("/updates/1", bodyBytes) {
			c.write(body[withheld:])
		}
	}},
	{name: "bodies by pieces, short of their end", at: callers, crowd: 60, send: func(c *client) {
		if c.lengthFor("/updates/1", bodyBytes) {
			const piece = 16 << 10
			c.repeat(body[:piece], bodyBytes/piece-1)
			c.write(body[:piece-withheld])
		}
	}},
	{name: "whole bodies", at: callers, crowd: 60, send: func(c *client) {
		if c.lengthFor("/held/1", bodyBytes) {
			c.write(body)
		}
	}},
	{name: "small bodies short of their end", at: callers, crowd: 700, send: func(c *client) {
		if c.lengthFor("/updates/1", 60<<10) {
			c.write(body[:60<<10-withheld])
		}
	}},
	{name: "large chunks short of their end", at: callers, crowd: 60, send: func(c *client) { c.chunked(bodyBytes, 256<<10) }},
	{name: "small chunks short of their end", at: callers, crowd: 60, send: func(c *client) { c.chunked(3<<20, 16) }},
	{name: "chunk sizes without end", at: callers, crowd: 300, send: func(c *client) {
		if c.begin("POST", "/updates/1") && c.write("Transfer-Encoding: chunked\r\n\r\n1;") {
			c.repeat(strings.Repeat("x", 8<<10), 512)
		}
	}},
	{name: "trailers without end", at: callers, crowd: 300, send: func(c *client) {
		if c.begin("POST", "/updates/1") && c.write("Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n1\r\nx\r\n0\r\n") {
			c.repeat(manyFields(1<<10), 4<<10)
		}
	}},
	{name: "silent", at: callers, crowd: 700, send: func(c *client) {}},
	{name: "idle after a request", at: callers, crowd: 700, send: func(c *client) {
		if c.begin("GET", "/views/1") {
			c.write("\r\n")
		}
	}},
	{name: "refused, body withheld", at: callers, crowd: 700, send: func(c *client) {
		if c.lengthFor("/nowhere/1", 100<<10) {
			c.write(body[:1<<10])
		}
	}},
	{name: "refused, chunks withheld", at: callers, crowd: 700, send: func(c *client) {
		if c.begin("POST", "/nowhere/1") {
			c.write("Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		}
	}},
	{name: "answers unread", at: callers, crowd: 60, unread: true, send: func(c *client) {
		if c.begin("GET", fmt.Sprintf("/views/1?bytes=%d", bodyBytes)) {
			c.write("\r\n")
		}
	}},
	{name: "refusals unread", at: callers, crowd: 300, unread: true, send: func(c *client) {
		c.repeat(strings.Repeat("GET /nowhere/1 HTTP/1.1\r\nHost: museum.example\r\n\r\n", 100), 200)
	}},
	{name: "directory: silent", at: directory, crowd: 700, send: func(c *client) {}},
	{name: "directory: heads of many fields short of their end", at: directory, crowd: 300, send: func(c *client) {
		if c.begin("GET", "/-/resolve") {
			c.write(manyFields(headBytes))
		}
	}},
	{name: "directory: body withheld", at: directory, crowd: 700, send: func(c *client) {
		if c.begin("POST", "/-/resolve") {
			c.write("Content-Length: 1000\r\n\r\nx")
		}
	}},
	{name: "directory: zones without end", at: directory, crowd: 8, send: func(c *client) {
		for range 2000 {
			zone := fmt.Sprintf("%x", rand.Uint64()) + strings.Repeat("x", 8<<10)
			if !c.write("GET /-/resolve?Name=museum.example&Zone=" + zone + " HTTP/1.1\r\nHost: d\r\n\r\n") {
				return
			}
		}
	}},
	{name: "readiness: silent", at: ready, crowd: 700, send: func(c *client) {}},
	{name: "readiness: heads of many fields short of their end", at: ready, crowd: 300, send: func(c *client) {
		if c.begin("GET", "/-/readyz") {
			c.write(manyFields(headBytes))
		}
	}},
	{name: "readiness: body withheld", at: ready, crowd: 700, send: func(c *client) {
		if c.begin("POST", "/-/readyz") {
			c.write("Content-Length: 1000\r\n\r\nx")
		}
	}},
	{name: "operators: silent", at: operators, crowd: 700, send: func(c *client) {}},
	{name: "operators: bodies short of their end", at: operators, crowd: 60, send: func(c *client) {
		if c.write(fmt.Sprintf("POST /briarlink.v1.AdminService/Status HTTP/1.1\r\nHost: o\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", bodyBytes)) {
			c.write(body[withheld:])
		}
	}},
	{name: "metrics: heads of many fields short of their end", at: metrics, crowd: 300, send: func(c *client) {
		if c.begin("GET", "/metrics") {
			c.write(manyFields(headBytes))
		}
	}},
	{name: "metrics: silent", at: metrics, crowd: 700, send: func(c *client) {}},
	{name: "hosts: silent", at: peers, crowd: 700, send: func(c *client) {}},
	{name: "hosts: messages short of their end", at: peers, crowd: 60, send: func(c *client) {
		if c.write(frame) {
			c.write(body[:3<<20-withheld])
		}
	}},
}

// rounds is how many connections a client opens one after the other, as the host closes them.
const rounds = 3

// crowd is a number of clients of a kind.
type crowd struct {
	kind
	p       *process
	pressed sync.WaitGroup
	ended   sync.WaitGroup
	mu      sync.Mutex
	// requests has the status of the answer to each request.
	requests map[string]int
}

// come starts the clients, and returns once each has sent what it sends, or was refused.
func (k kind) come(ctx context.Context, p *process) *crowd {
	c := &crowd{kind: k, p: p, requests: map[string]int{}}
	c.pressed.Add(k.crowd)
	for range k.crowd {
		c.ended.Go(func() { c.run(ctx) })
	}
	c.pressed.Wait()
	return c
}

func (c *crowd) run(ctx context.Context) {
	for round := range rounds {
		c.connect(ctx, round == 0)
		select {
		case <-ctx.Done():
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// connect opens one connection and keeps it until the host closes it or the context ends.
func (c *crowd) connect(ctx context.Context, first bool) {
	pressed := func() {
		if first {
			c.pressed.Done()
		}
	}
	conn, err := net.DialTimeout("tcp4", c.p.address[c.at], stallLimit)
	if err != nil {
		pressed()
		return
	}
	defer conn.Close()
	member := &client{p: c.p, at: c.at, net: conn, closed: make(chan struct{})}
	if c.unread {
		// A small buffer, so that the client's own system does not read ahead of it.
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		member.send(c.kind)
		pressed()
		<-ctx.Done()
		return
	}
	go member.read()
	member.send(c.kind)
	pressed()
	select {
	case <-member.closed:
	case <-ctx.Done():
		conn.Close()
		<-member.closed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if member.id != "" {
		c.requests[member.id] = member.status
	}
}

func (c *client) send(k kind) { k.send(c) }

// leave ends all connections and checks what the requests were answered.
func (c *crowd) leave(cancel func()) {
	cancel()
	c.ended.Wait()
	statuses := map[int]int{}
	for id, status := range c.requests {
		statuses[status]++
		c.p.checkPromise(id, status)
	}
	c.p.t.Logf("requests by the status of their answer: %v", statuses)
}

// TestHostSurvivesClientsThatDoNotBehave guards against a host that ends, hangs or exceeds its memory or its descriptors
// because of what clients send, that does not serve others beside them, or that keeps what they held once they left.
func TestHostSurvivesClientsThatDoNotBehave(t *testing.T) {
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			p := start(t)
			p.checkServes()
			before := p.descriptors()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			c := k.come(ctx, p)
			open := p.descriptors()
			p.checkServes()
			open = max(open, p.descriptors())
			c.leave(cancel)
			p.await("what the crowd held is given back", func() error {
				held, err := p.heldBytes()
				if now := p.descriptors(); err == nil && (now > before+spareDescriptors || held > 0) {
					err = fmt.Errorf("%d descriptors of %d, %.0f bytes reserved", now, before, held)
				}
				return err
			})
			p.checkServes()
			memory, sockets := p.peakMemory(), p.socketPeak.Load()
			t.Logf("%d clients: peak memory %d MB, in sockets %.1f MB, descriptors %d, then %d of %d", k.crowd, memory>>20, float64(sockets)/(1<<20), open, p.descriptors(), before)
			if memory+sockets > memoryMB<<20 {
				t.Errorf("%d MB and %d MB in sockets, on a host of %d MB", memory>>20, sockets>>20, memoryMB)
			}
			if open > descriptorLimit-reservedDescriptors {
				t.Errorf("%d descriptors of %d, of which %d are reserved", open, descriptorLimit, reservedDescriptors)
			}
		})
	}
}
