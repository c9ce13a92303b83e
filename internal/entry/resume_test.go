package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/forward"
	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// endingHost returns the address of a host that sends the text in answer to its first request, and then breaks the
// connection. Unless it survives that, it accepts no more connections.
func endingHost(t *testing.T, text string, survives bool) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, text)
		}
		if !survives {
			listener.Close()
		}
		conn.Close()
	}()
	return listener.Addr().String()
}

// TestPassedOnRequestSurvivesTheOtherHost guards against answers that end, whatever their route allows, because the host
// that the request was passed on to was killed or stopped.
func TestPassedOnRequestSurvivesTheOtherHost(t *testing.T) {
	events := func(from, to int) (text string) {
		for n := from; n <= to; n++ {
			text += engine.EventText(n)
		}
		return text
	}
	const head = "HTTP/1.1 200 OK\r\n" + wire.Attempt + ": r-1\r\n" + wire.Seal + ": s\r\n"
	stream := func(text string) string {
		return fmt.Sprintf("%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(text), text)
	}
	for name, c := range map[string]struct {
		text                             string
		survives, unsafe, plain, noRetry bool
		retryThere                       bool
		attempts, ran                    int
		want                             string
	}{
		"between events":        {text: stream(events(1, 2)), attempts: 2, ran: 1, want: events(1, 6)},
		"within an event":       {text: stream(events(1, 2) + events(3, 3)[:9]), attempts: 2, ran: 1, want: events(1, 6)},
		"before an event":       {text: stream("")[:len(stream(""))-5], attempts: 2, ran: 1, want: events(1, 6)},
		"before the head":       {attempts: 2, ran: 1, want: events(1, 6)},
		"within an answer":      {text: head + "Content-Length: 30\r\n\r\nanswer", plain: true, attempts: 2, ran: 1, want: "answer of i-1 to 0 bytes"},
		"not to be resumed":     {text: stream(events(1, 2)), unsafe: true, attempts: 2, want: events(1, 2)},
		"not to be repeated":    {text: head, plain: true, unsafe: true, attempts: 2},
		"no attempt left":       {text: stream(events(1, 2)), attempts: 1, want: events(1, 2)},
		"no retry left here":    {text: stream(events(1, 2)), noRetry: true, retryThere: true, attempts: 2, ran: 1, want: events(1, 6)},
		"no retry left":         {text: stream(events(1, 2)), noRetry: true, attempts: 2, want: events(1, 2)},
		"ended by a live host":  {text: stream(events(1, 2)), survives: true, attempts: 2, want: events(1, 2)},
		"an event out of order": {text: stream(events(1, 1) + events(3, 3)), survives: true, attempts: 2, want: events(1, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			here, there := newFixture(t), newFixture(t)
			here.cutOff(endingHost(t, c.text, c.survives), there.address())
			for _, f := range []*fixture{here, there} {
				route := f.view.Config.Routes[0]
				route.Attempts, route.Resumable = c.attempts, !c.unsafe
				if c.plain {
					route.Kind, f.view.Config.Services["s"].Engine, f.engine.Model = config.Idempotent, nil, ""
				}
				if c.plain && c.unsafe {
					route.Kind = config.NonIdempotent
				}
			}
			if c.noRetry {
				here.budget.SetHosts(0, 1)
			}
			if c.noRetry && !c.retryThere {
				there.budget.SetHosts(0, 1)
			}
			began := time.Now()
			resp, body, complete := here.post(t, "/notes/", testKey, "")
			if c.ran > 0 && (resp == nil || resp.StatusCode != http.StatusOK || !complete) || complete && c.ran == 0 && resp.StatusCode == http.StatusOK {
				t.Errorf("%+v, complete %t", resp, complete)
			}
			if got := there.engine.Ran("r-1"); got != c.ran || c.want != "" && strings.TrimSpace(body) != strings.TrimSpace(c.want) {
				t.Errorf("ran %d times, answer %q, want %d, %q", got, body, c.ran, c.want)
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("took %v", took)
			}
		})
	}
}

// TestStreamOfSilentReplicaGoesOnAtAnotherHost guards against streams that a host ends, or leaves silent, once it counts
// as cut off from their servers.
func TestStreamOfSilentReplicaGoesOnAtAnotherHost(t *testing.T) {
	here, there := newFixture(t), newFixture(t)
	here.engine.Pace = 4 * time.Second
	for _, f := range []*fixture{here, there} {
		route := f.view.Config.Routes[0]
		route.Resumable, route.Attempts, route.PauseTarget = true, 2, 100*time.Millisecond
	}
	here.cutOff(there.address())
	here.deps.IsCutOff = func(string) bool { return false }
	began := time.Now()
	dispatcher := here.deps.Dispatcher
	dispatcher.IsCutOff = func(string) bool { return time.Since(began) > 500*time.Millisecond }
	dispatcher.PassOn = func(ctx context.Context, req *dispatch.Request, progress dispatch.Progress) (*dispatch.PassedOn, error) {
		return here.deps.Forwarder.Begin(ctx, &forward.Request{Request: req, Config: 1, Ran: progress.Ran, LastEvent: progress.LastEvent, AllowRetry: func() bool { return true }}, progress.Charged)
	}
	resp, body, complete := here.post(t, "/notes/", testKey, "")
	if resp == nil || resp.StatusCode != http.StatusOK || !complete || strings.Count(body, "id: ") != 6 || time.Since(began) > 3*time.Second {
		t.Errorf("%+v, %q, complete %v after %v", resp, body, complete, time.Since(began))
	}
	if last := there.engineHeader().Get("Last-Event-Id"); last != "1" {
		t.Errorf("resumed after event %q, want 1", last)
	}
}

// TestStreamGoesOnAtAnotherHostWhenContactIsLost guards against streams that end, whatever their route allows, because
// this host reaches no replica of the service any more.
func TestStreamGoesOnAtAnotherHostWhenContactIsLost(t *testing.T) {
	for name, c := range map[string]struct {
		attempts, want       int
		lostContact, noRetry bool
	}{
		"lost contact":    {2, 6, true, false},
		"unreachable":     {2, 6, false, false},
		"no attempt left": {1, 3, true, false},
		"no retry left":   {2, 3, true, true},
	} {
		here, there := newFixture(t), newFixture(t)
		here.cutOff(there.address())
		here.deps.IsCutOff = func(string) bool { return false }
		here.deps.Dispatcher.IsCutOff = func(string) bool { return c.lostContact && here.engine.Ran("r-1") > 0 }
		here.replicas.Register(platform.Registration{ID: "i-2", Service: "s", Address: nobody, Slots: 4, Weights: map[string]int64{"m": 1}}, 0)
		for _, f := range []*fixture{here, there} {
			f.view.Config.Routes[0].Attempts, f.view.Config.Routes[0].Resumable = c.attempts, true
		}
		if c.noRetry {
			here.budget.SetHosts(0, 1)
		}
		here.engine.Next(engine.Cut)
		_, body, complete := here.post(t, "/notes/", testKey, "")
		text := ""
		for n := range c.want {
			text += engine.EventText(n + 1)
		}
		if ran := there.engine.Ran("r-1"); body != text || complete != (c.want == 6) || ran != c.want/6 {
			t.Errorf("%s: ran %d times there, complete %t, answer %q", name, ran, complete, body)
		}
	}
}

// TestPassedOnRequestKeepsToItsAttempts guards against a request that a host which is cut off from its silent replica passes
// on again and again to one whose replicas fail.
func TestPassedOnRequestKeepsToItsAttempts(t *testing.T) {
	here, there := newFixture(t), newFixture(t)
	here.engine.Next(engine.Lose)
	for range 40 {
		there.engine.Next(engine.Fail)
	}
	for _, f := range []*fixture{here, there} {
		route := f.view.Config.Routes[0]
		route.Attempts, route.Kind, route.LatencyTarget = 2, config.Idempotent, 200*time.Millisecond
	}
	here.cutOff(there.address())
	here.deps.IsCutOff = func(string) bool { return false }
	began := time.Now()
	dispatcher := here.deps.Dispatcher
	dispatcher.IsCutOff = func(string) bool { return time.Since(began) > 300*time.Millisecond }
	dispatcher.PassOn = func(ctx context.Context, req *dispatch.Request, progress dispatch.Progress) (*dispatch.PassedOn, error) {
		return here.deps.Forwarder.Begin(ctx, &forward.Request{Request: req, Config: 1, Ran: progress.Ran, LastEvent: progress.LastEvent, AllowRetry: func() bool { return true }}, progress.Charged)
	}
	here.post(t, "/notes/", testKey, "")
	if n := here.engine.Ran("r-1") + there.engine.Ran("r-1"); n > 2 {
		t.Errorf("ran %d times", n)
	}
}

// TestRejectionAfterARunIsNotForwarded guards against callers that are told "not run" by the host to which a request was
// passed on after a replica here ran it.
func TestRejectionAfterARunIsNotForwarded(t *testing.T) {
	for name, refuse := range map[string]*errkind.Error{"stopping": errkind.New(errkind.Stopping, "stopping"), "not ready": errkind.New(errkind.NotReady, "x")} {
		here, there := newFixture(t), newFixture(t)
		for _, f := range []*fixture{here, there} {
			route := f.view.Config.Routes[0]
			route.Attempts, route.Kind = 2, config.Idempotent
			f.view.Config.Services["s"].Engine, f.engine.Model = nil, ""
		}
		here.cutOff(there.address())
		here.deps.IsCutOff = func(string) bool { return false }
		here.deps.Dispatcher.IsCutOff = func(string) bool { return here.engine.Ran("r-1") > 0 }
		there.deps.CheckAccepting = func() error { return refuse }
		here.engine.Next(engine.Cut)
		resp, body, _ := here.post(t, "/notes/", testKey, "")
		if resp == nil {
			t.Errorf("%s: no answer", name)
			continue
		}
		if resp.StatusCode == http.StatusServiceUnavailable {
			t.Errorf("%s: 503 although it ran: %s", name, body)
		}
	}
}
