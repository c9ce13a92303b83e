package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
)

// tokenBytes are the bytes that the name of a field may have.
const tokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// FuzzAnswers: whatever a server sends, the exchange ends, an answer with another request's ID or an invalid head is
// not accepted, and a connection is kept only after a complete answer with nothing behind it.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(answer("r", "body")))
	f.Add([]byte(answer("r", "body") + "more"))
	f.Add([]byte(answer("other", "x") + answer("r", "body")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + answer("r", "")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"))
	f.Add([]byte("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("HTTP/1.1 999 X\r\n\r\nhi"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nhigher"))
	f.Add([]byte("HTTP/1.1 103 X\r\nX Y: 1\r\n\r\n" + answer("r", "body")))
	f.Fuzz(func(t *testing.T, sent []byte) {
		client, server := net.Pipe()
		go func() {
			_, _, _ = readRequest(bufio.NewReader(server))
			_, _ = server.Write(sent)
			server.Close()
		}()
		p := NewPool()
		defer p.Close()
		p.Dial = func(context.Context, string) (net.Conn, error) { return client, nil }
		resp, err := p.Send(context.Background(), "a", request("r", "body"))
		if err != nil {
			return
		}
		if resp.Answer.ID != "" && resp.Answer.ID != "r" {
			t.Errorf("accepted the answer to %q", resp.Answer.ID)
		}
		if resp.Status < 100 || resp.Status > 599 {
			t.Errorf("accepted the status %d", resp.Status)
		}
		for name := range resp.Header {
			if strings.Trim(name, tokenBytes) != "" {
				t.Errorf("accepted the field name %q", name)
			}
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Finish(err == nil)
		if err != nil && len(p.idle["a"]) > 0 {
			t.Error("a connection is kept after a broken answer")
		}
	})
}
