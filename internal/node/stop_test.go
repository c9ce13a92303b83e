package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/settings"
)

// pipeListener accepts one connection in memory.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.conns) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func readAnswer(r io.Reader) (string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestAnswersOnTheirWayOutliveAStop: a request is not open any more when its handler
// has returned, and the end of its answer may still have to be written. It has the
// rest of the grace time, not a moment.
func TestAnswersOnTheirWayOutliveAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 8 * time.Second
		set := settings.Defaults()
		set.Stop.Grace = durationpb.New(grace)
		log, lines := obs.NewLogger(set.Log, io.Discard)
		defer lines.Close()
		n := New(set, nil, log, lines)
		metrics, _, closer := obs.NewMetrics()
		defer closer.Close()
		n.metrics = metrics
		n.buildEntry()
		// The handler is none of the entry's: nothing counts its request as open.
		s := &server{log: log, http: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "beginning ")
			time.Sleep(part(grace, closeAfter) + 2*time.Second)
			_, _ = io.WriteString(w, "end")
		})}}
		near, far := net.Pipe()
		listener := &pipeListener{conns: make(chan net.Conn, 1)}
		listener.conns <- far
		go func() { n.ended("callers", s.http.Serve(listener)) }()
		if _, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: museum.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			n.stop([]*server{s})
		}()
		body, err := readAnswer(near)
		if err != nil || body != "beginning end" {
			t.Errorf("%q, %v", body, err)
		}
		<-stopped
		if took := time.Since(began); took > grace {
			t.Errorf("the stop took %v of a grace time of %v", took, grace)
		}
		// A handler whose connection was cut ends too.
		time.Sleep(grace)
	})
}
