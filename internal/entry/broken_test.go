package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/netdial"
	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/wire"
)

const (
	// longUpload is larger than the socket buffers between a host and a server, shortUpload smaller.
	longUpload  = 8 << 20
	shortUpload = 10 << 10
)

// rawAnswer is an answer as it is written to a connection, and how that ends.
type rawAnswer struct {
	text string
	// afterUpload is set if the server reads the whole request before it answers.
	afterUpload bool
	// end ends the connection.
	end func(*net.TCPConn)
}

// rawServer accepts connections, gives the same answer on each, and returns its address and the number of requests that
// arrived. ID stands for the request's ID.
func rawServer(t *testing.T, a rawAnswer) (address string, arrived *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	arrived = &atomic.Int32{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				arrived.Add(1)
				if a.afterUpload {
					_, _ = io.Copy(io.Discard, req.Body)
				}
				_, _ = io.WriteString(conn, strings.ReplaceAll(a.text, "ID", req.Header.Get(wire.Attempt)))
				a.end(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String(), arrived
}

// upload returns the body of a request to the server.
func (a rawAnswer) upload() string {
	if a.afterUpload {
		return strings.Repeat("x", shortUpload)
	}
	return strings.Repeat("x", longUpload)
}

func resetAfter(d time.Duration) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(d)
		_ = c.SetLinger(0)
	}
}

// endAndReset ends the answer, and resets the connection a little later.
func endAndReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	resetAfter(200 * time.Millisecond)(c)
}

// endAndRead ends the answer and reads the rest of the request.
func endAndRead(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// endAndStay ends the answer, and neither reads nor ends the rest.
func endAndStay(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(time.Second)
}

func stay(c *net.TCPConn) { time.Sleep(time.Second) }

// setUploads replaces the fixture's routes by uploads that must not run twice and files that may, to a plain service whose
// servers have the given addresses.
func (f *fixture) setUploads(addresses ...string) {
	shares := []config.Share{{Service: "plain", Weight: 1}}
	f.view.Config = (&config.Config{
		Version: 1,
		Routes: []*config.Route{
			{Name: "uploads", Host: testHost, Prefix: "/uploads/", Kind: config.NonIdempotent, Services: shares, Timeout: 5 * time.Second, LatencyTarget: time.Second, Attempts: 3, Public: true},
			{Name: "files", Host: testHost, Prefix: "/files/", Kind: config.Idempotent, Services: shares, Timeout: 5 * time.Second, LatencyTarget: time.Second, Attempts: 3, Public: true},
		},
		Services: map[string]*config.Service{"plain": {Name: "plain", MaxConnections: 100}},
		Limits:   config.Limits{MaxBodyBytes: longUpload},
	}).Build()
	for i, address := range addresses {
		f.replicas.Register(platform.Registration{ID: fmt.Sprintf("plain-%d", i), Service: "plain", Address: address, Slots: 4}, 0)
	}
}

// paths are the ways on which the answer of a server, or of something in its place, reaches a caller of the returned host.
var paths = map[string]func(t *testing.T, address string) *fixture{
	"a server": func(t *testing.T, address string) *fixture {
		f := newFixture(t)
		f.setUploads(address)
		return f
	},
	"a server, with small buffers": func(t *testing.T, address string) *fixture {
		f := newFixture(t)
		f.setUploads(address)
		f.deps.Forwarder.Pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			dialer := netdial.New(dialTimeout)
			netdial.LimitBuffers(dialer, 16<<10)
			return dialer.DialContext(ctx, "tcp4", address)
		}
		return f
	},
	"a server of another host": func(t *testing.T, address string) *fixture {
		there := newFixture(t)
		there.setUploads(address)
		here := newFixture(t)
		here.setUploads()
		here.cutOff(there.address())
		return here
	},
	"another host": func(t *testing.T, address string) *fixture {
		f := newFixture(t)
		f.setUploads()
		f.cutOff(address)
		return f
	},
}

// answerHead is the head of an answer up to its last line.
const answerHead = "HTTP/1.1 200 OK\r\n" + wire.Attempt + ": ID\r\n" + wire.Seal + ": s\r\n"

func withStatus(status string) string {
	return strings.Replace(answerHead, "HTTP/1.1 200 OK", status, 1)
}

const eventText = "id: 1\ndata: token 1\n\n"

// TestBrokenAnswersReachNoCallerAsAnswers guards against an answer that is broken and reaches a caller as a complete one.
func TestBrokenAnswersReachNoCallerAsAnswers(t *testing.T) {
	const part = "\r\n0123456789abcdef"
	soon := resetAfter(3 * time.Millisecond)
	// cut is set if a part of the answer may have reached the caller, who must see that it broke off.
	for name, c := range map[string]struct {
		rawAnswer
		cut bool
	}{
		"reset, no length":           {rawAnswer{answerHead + part, false, soon}, false},
		"reset, HTTP/1.0":            {rawAnswer{withStatus("HTTP/1.0 200 OK") + part, false, soon}, false},
		"reset, 404":                 {rawAnswer{withStatus("HTTP/1.1 404 Not Found") + part, false, soon}, false},
		"reset, 500":                 {rawAnswer{withStatus("HTTP/1.1 500 X") + part, false, soon}, false},
		"reset, no byte of the body": {rawAnswer{answerHead + "\r\n", false, soon}, false},
		"reset, later":               {rawAnswer{answerHead + part, false, resetAfter(30 * time.Millisecond)}, false},
		"reset, 3 MB":                {rawAnswer{answerHead + "\r\n" + strings.Repeat("x", 3<<20), false, soon}, false},
		"reset, 17 MB":               {rawAnswer{answerHead + "\r\n" + strings.Repeat("x", 17<<20), false, soon}, true},
		"reset, a stream":            {rawAnswer{answerHead + "Content-Type: text/event-stream\r\n\r\n" + eventText, false, soon}, true},
		"reset, an empty stream":     {rawAnswer{answerHead + "Content-Type: text/event-stream\r\n\r\n", false, soon}, true},
		"reset, after the upload":    {rawAnswer{answerHead + part, true, soon}, false},
		"reset, too short":           {rawAnswer{answerHead + "Content-Length: 20\r\n" + part, false, soon}, false},
		"reset, no last chunk":       {rawAnswer{answerHead + "Transfer-Encoding: chunked\r\n\r\n10" + part + "\r\n", false, soon}, false},
		"reset, within the head":     {rawAnswer{answerHead, false, soon}, false},
	} {
		t.Run(name, func(t *testing.T) { checkBroken(t, c.rawAnswer, c.cut) })
	}
}

// checkBroken checks on each path that the caller of a request that must not run twice gets a failure, or with cut set
// an answer that breaks off, and that the request was sent once.
func checkBroken(t *testing.T, a rawAnswer, cut bool) {
	for path, newHost := range paths {
		address, arrived := rawServer(t, a)
		f := newHost(t, address)
		resp, body, complete := f.post(t, "/uploads/1", "", a.upload())
		switch {
		case cut && !complete:
		case resp == nil:
			t.Errorf("%s: no answer", path)
		case resp.StatusCode == http.StatusBadGateway && complete && resp.Header.Get(wire.Seal) == "":
		default:
			t.Errorf("%s: %d with %d bytes, complete %t, seal %q", path, resp.StatusCode, len(body), complete, resp.Header.Get(wire.Seal))
		}
		if n := arrived.Load(); n != 1 {
			t.Errorf("%s: arrived %d times", path, n)
		}
	}
}

// checkWhole checks on each path that the caller gets the whole answer, that it has the field, written as "name: value", if
// there is one, and that the request was sent once.
func checkWhole(t *testing.T, a rawAnswer, status int, body, field string) {
	for path, newHost := range paths {
		address, arrived := rawServer(t, a)
		f := newHost(t, address)
		resp, got, complete := f.post(t, "/uploads/1", "", a.upload())
		if resp == nil || resp.StatusCode != status || !complete || got != body || resp.Header.Get(wire.Seal) != "s" {
			t.Errorf("%s: %+v, %q, complete %t", path, resp, got, complete)
			continue
		}
		if name, value, _ := strings.Cut(field, ": "); resp.Header.Get(name) != value {
			t.Errorf("%s: field %q is %q, want %q", path, name, resp.Header.Get(name), value)
		}
		if n := arrived.Load(); n != 1 {
			t.Errorf("%s: arrived %d times", path, n)
		}
	}
}

// TestAnswersThatEndUnusuallyArriveWhole guards against whole answers that are refused because the connection ends, or breaks
// after their end, while the request is being written.
func TestAnswersThatEndUnusuallyArriveWhole(t *testing.T) {
	const text = "0123456789abcdef"
	const length, chunks = "Content-Length: 16\r\n\r\n" + text, "Transfer-Encoding: chunked\r\n\r\n10\r\n" + text + "\r\n0\r\n\r\n"
	soon := resetAfter(3 * time.Millisecond)
	for name, c := range map[string]struct {
		rawAnswer
		status int
	}{
		"no length, then the rest is read": {rawAnswer{answerHead + "\r\n" + text, false, endAndRead}, 200},
		"no length, the rest is not read":  {rawAnswer{answerHead + "\r\n" + text, false, endAndStay}, 200},
		"no length, then a reset":          {rawAnswer{answerHead + "\r\n" + text, false, endAndReset}, 200},
		"no length, after the upload":      {rawAnswer{answerHead + "\r\n" + text, true, endAndStay}, 200},
		"no length, HTTP/1.0":              {rawAnswer{withStatus("HTTP/1.0 200 OK") + "\r\n" + text, false, endAndStay}, 200},
		"a length, then a reset":           {rawAnswer{answerHead + length, false, soon}, 200},
		"chunks, then a reset":             {rawAnswer{answerHead + chunks, false, soon}, 200},
		"an early 413, then a reset":       {rawAnswer{withStatus("HTTP/1.1 413 X") + length, false, soon}, 413},
	} {
		t.Run(name, func(t *testing.T) { checkWhole(t, c.rawAnswer, c.status, text, "") })
	}
}
