//go:build hostile

package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The smallest host of the deployments that the program is made for.
const (
	smallestMemoryMB    = 134
	smallestDescriptors = 4100
	// headLimit is the size of the largest head that callers may send.
	headLimit = 16 << 10
	calmIdle  = 5 * time.Second
)

func startSmallest(t *testing.T) *process {
	return startWith(t, options{smallestMemoryMB, smallestDescriptors, calmIdle})
}

// caller is an ordinary caller's connection.
type caller struct {
	t   *testing.T
	net net.Conn
	in  *bufio.Reader
}

func dial(t *testing.T, p *process) *caller {
	t.Helper()
	conn, err := net.DialTimeout("tcp4", p.address[callers], stallLimit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(hangLimit)); err != nil {
		t.Fatal(err)
	}
	return &caller{t, conn, bufio.NewReader(conn)}
}

func (c *caller) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.net, text); err != nil {
		c.t.Fatal(err)
	}
}

// answer reads an answer and returns its status and the length of its body.
func (c *caller) answer() (status, length int) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode, int(n)
}

// padded returns a head of headLimit bytes, filled by fields.
func padded(method, target string, fields func(size int) string) string {
	head := requestHead(method, target, newID())
	return head + fields(headLimit-len(head)-2) + "\r\n"
}

// TestRequestsAtTheLimitsAreServed guards against limits that a single request within those of callers meets on the
// smallest host.
func TestRequestsAtTheLimitsAreServed(t *testing.T) {
	p := startSmallest(t)
	oneField := func(size int) string { return "X-Filler: " + strings.Repeat("x", size-12) + "\r\n" }
	usualFields := func(size int) string {
		var b strings.Builder
		for n := 0; b.Len()+100 <= size; n++ {
			fmt.Fprintf(&b, "X-Field-%03d: %s\r\n", n, strings.Repeat("x", 85))
		}
		return b.String()
	}
	shortFields := func(size int) string { return manyFields(size - 8) }
	chunks := func(c *caller, size int) {
		c.write(requestHead("POST", "/updates/1", newID()) + "Transfer-Encoding: chunked\r\n\r\n")
		one := fmt.Sprintf("%x\r\n%s\r\n", size, body[:size])
		w := bufio.NewWriterSize(c.net, 64<<10)
		for range bodyBytes / size {
			if _, err := w.WriteString(one); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.Flush(); err != nil {
			t.Fatal(err)
		}
		c.write("0\r\n\r\n")
	}
	for name, send := range map[string]func(c *caller){
		"a head of one field":        func(c *caller) { c.write(padded("GET", "/views/1", oneField)) },
		"a head of usual fields":     func(c *caller) { c.write(padded("GET", "/views/1", usualFields)) },
		"a head of short fields":     func(c *caller) { c.write(padded("GET", "/views/1", shortFields)) },
		"a body with a length":       func(c *caller) { c.write(requestHead("POST", "/updates/1", newID()) + lengthField(bodyBytes) + body) },
		"a body in large chunks":     func(c *caller) { chunks(c, 256<<10) },
		"a body in chunks of 1 KB":   func(c *caller) { chunks(c, 1<<10) },
		"a body in chunks of a byte": func(c *caller) { chunks(c, 1) },
		"a head that comes slowly": func(c *caller) {
			for _, part := range strings.SplitAfter(requestHead("GET", "/views/1", newID()), "\r\n") {
				c.write(part)
				time.Sleep(300 * time.Millisecond)
			}
			c.write("\r\n")
		},
		"a body that comes slowly": func(c *caller) {
			const piece, pieces = 1 << 10, 40
			c.write(requestHead("POST", "/updates/1", newID()) + lengthField(piece*pieces))
			for range pieces {
				c.write(body[:piece])
				time.Sleep(100 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, p)
			c.t = t
			send(c)
			if status, _ := c.answer(); status != http.StatusOK {
				t.Errorf("answered %d", status)
			}
			// The connection is kept.
			c.write(requestHead("GET", "/views/2", newID()) + "\r\n")
			if status, _ := c.answer(); status != http.StatusOK {
				t.Errorf("the next request was answered %d", status)
			}
		})
	}
}

func lengthField(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

// TestAnswerIsReadSlowly guards against ending a caller that reads its answer slowly, and steadily, on an idle host.
func TestAnswerIsReadSlowly(t *testing.T) {
	p := startSmallest(t)
	c := dial(t, p)
	if err := c.net.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	const size = 256 << 10
	c.write(requestHead("GET", fmt.Sprintf("/views/1?bytes=%d", size), newID()) + "\r\n")
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	got, part := 0, make([]byte, 4<<10)
	for got < size {
		n, err := resp.Body.Read(part)
		got += n
		if err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got != size || resp.StatusCode != http.StatusOK {
		t.Errorf("%d of %d bytes, status %d", got, size, resp.StatusCode)
	}
}

// TestIdleConnectionIsReused guards against closing an idle connection before four fifths of the limit.
func TestIdleConnectionIsReused(t *testing.T) {
	p := startSmallest(t)
	c := dial(t, p)
	for range 2 {
		c.write(requestHead("GET", "/views/1", newID()) + "\r\n")
		if status, _ := c.answer(); status != http.StatusOK {
			t.Errorf("answered %d", status)
		}
		time.Sleep(calmIdle * 4 / 5)
	}
}

// herd is the number of connections that a deployment's callers open to one host.
const herd = 1000

// TestHerdOfConnectionsIsServed guards against limits that many ordinary callers of one host meet.
func TestHerdOfConnectionsIsServed(t *testing.T) {
	p := startWith(t, options{smallestMemoryMB, smallestDescriptors, time.Minute})
	all := make([]*caller, herd)
	for i := range all {
		all[i] = dial(t, p)
	}
	for round := range 2 {
		for i, c := range all {
			c.write(requestHead("GET", "/views/1", newID()) + "\r\n")
			if status, _ := c.answer(); status != http.StatusOK {
				t.Fatalf("round %d: connection %d was answered %d", round, i, status)
			}
		}
	}
}

// TestRefusedRequestsKeepTheirConnection guards against closing the connection of a caller whose request was refused
// and sent whole.
func TestRefusedRequestsKeepTheirConnection(t *testing.T) {
	p := startSmallest(t)
	c := dial(t, p)
	for range 3 {
		c.write(requestHead("POST", "/nowhere/1", newID()) + lengthField(100<<10) + body[:100<<10])
		if status, _ := c.answer(); status != http.StatusNotFound {
			t.Errorf("answered %d", status)
		}
	}
	c.write(requestHead("GET", "/views/1", newID()) + "\r\n")
	if status, _ := c.answer(); status != http.StatusOK {
		t.Errorf("answered %d", status)
	}
}

// TestCutBodiesDoNotRun guards against a body that was cut short and reaches a server as if it were whole.
func TestCutBodiesDoNotRun(t *testing.T) {
	p := startSmallest(t)
	for name, rest := range map[string]string{
		"with a length":        lengthField(10) + "12345",
		"without a last chunk": "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"within a chunk":       "Transfer-Encoding: chunked\r\n\r\n5\r\n123",
		"within the trailers":  "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n5\r\n12345\r\n0\r\nX-End: 1",
	} {
		c := dial(t, p)
		id := newID()
		c.write(requestHead("POST", "/updates/1", id) + rest)
		if err := c.net.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		// The host closes the connection, with an answer or without.
		_, _ = io.Copy(io.Discard, c.in)
		for _, e := range p.servers {
			if e.Ran(id) > 0 {
				t.Errorf("%s: a body that was cut short ran", name)
			}
		}
	}
}
