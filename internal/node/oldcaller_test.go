package node

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// TestCutStreamsLookCutToCallersOfHTTP10 guards against a stream that broke off and looks complete to a caller of HTTP/1.0, to
// whom an answer without a length ends with its connection.
func TestCutStreamsLookCutToCallersOfHTTP10(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	h := s.host("a", s.address)
	eventually(t, "a ready host", h.ready)
	send := func(id string) (text string, err error) {
		conn, err := net.Dial("tcp4", h.settings.Listen.Caller)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /reports/1 HTTP/1.0\r\nHost: museum.example\r\n%s: key-of-museum-a\r\n%s: %s\r\n%s: m\r\n%s: 840,16\r\n%s: a1:800,%s:40\r\nContent-Length: 0\r\n\r\n",
			wire.Key, wire.Attempt, id, wire.Model, wire.Tokens, wire.Prefix, id)
		data, err := io.ReadAll(conn)
		return string(data), err
	}
	if text, err := send("e1"); err != nil || strings.Count(text, "id: ") != 6 {
		t.Errorf("a whole stream: %q, %v", text, err)
	}
	for _, e := range s.engines {
		e.Next(engine.Cut, engine.Cut)
	}
	if text, err := send("e2"); err == nil {
		t.Errorf("a stream that broke off looks complete: %q", text)
	}
}
