package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/limit"
	"github.com/briarlink/briarlink/internal/oai"
)

func rawEvent(attempt string, n int) string {
	return fmt.Sprintf("id: %s:%d\ndata: {\"choices\":[{\"text\":\"%s\"}]}\n\n", attempt, n, token(n))
}

// TestCrossedStreams damages a stream and checks that what is let through is a
// gapless beginning of this attempt's own answer.
func TestCrossedStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts []string
		for n := range testTokens {
			parts = append(parts, rawEvent("mine", n))
		}
		last := strings.Replace(rawEvent("mine", testTokens), token(testTokens)+`"`, `","finish_reason":"stop"`, 1)
		parts = append(parts, last, "data: [DONE]\n\n")
		whole := strings.Join(parts, "")
		for range rapid.IntRange(0, 3).Draw(t, "damages") {
			i := rapid.IntRange(0, len(parts)-1).Draw(t, "at")
			switch rapid.SampledFrom([]string{"drop", "repeat", "cross", "truncate", "garble"}).Draw(t, "damage") {
			case "drop":
				parts[i] = ""
			case "repeat":
				parts[i] += parts[i]
			case "cross":
				parts[i] = rawEvent("other", i)
			case "truncate":
				parts = parts[:i+1]
				parts[i] = parts[i][:len(parts[i])/2]
			case "garble":
				parts[i] = strings.Replace(parts[i], "{", "<", 1)
			}
		}
		body := strings.Join(parts, "")
		next := 0
		for ev, err := range events(strings.NewReader(body), "mine", 0) {
			if err != nil {
				if !errkind.Is(err, errkind.BackendLost) {
					t.Fatalf("error of kind %v", err)
				}
				break
			}
			if ev.Done {
				if !strings.HasPrefix(body, whole) {
					t.Fatalf("a damaged stream counts as complete: %q", body)
				}
				break
			}
			if ev.Index != next || next < testTokens && ev.Chunk.Choices[0].Text != token(next) {
				t.Fatalf("event %d holds %q", next, ev.Chunk.Choices[0].Text)
			}
			next++
		}
	})
}

func startRequest(address string) error {
	_, err := NewHTTPEngine().Start(context.Background(), address, &oai.EngineRequest{AttemptID: "mine"})
	return err
}

// TestRunStateOfFailures brings about each way a request can fail on the wire.
func TestRunStateOfFailures(t *testing.T) {
	closed := httptest.NewServer(nil)
	address := closed.Listener.Addr().String()
	closed.Close()
	if err := startRequest(address); !errkind.Is(err, errkind.BackendUnreachable) {
		t.Errorf("closed port: %v", err)
	}
	cases := map[string]struct {
		handler http.HandlerFunc
		want    errkind.Kind
	}{
		"cut after reading": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, errkind.BackendLost},
		"refused":           {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, errkind.BackendRefused},
		"error":             {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, errkind.BackendError},
		"another attempt":   {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerAttempt, "other") }, errkind.BackendLost},
	}
	for name, c := range cases {
		server := httptest.NewServer(c.handler)
		if err := startRequest(server.Listener.Addr().String()); !errkind.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
		server.Close()
	}
}

// TestServiceIsNotRepeated counts what instances that read and then cut get.
func TestServiceIsNotRepeated(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		var got atomic.Int32
		cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			got.Add(1)
			panic(http.ErrAbortHandler)
		}))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener.Close()
		address := cut.Listener.Addr().String()
		call := &ServiceCall{
			Addresses: []string{address, address, listener.Addr().String()}, Method: http.MethodPost, Path: "/", Body: []byte("x"),
			Header: http.Header{}, Repeatable: repeatable, MaxAnswerBytes: 100,
		}
		_, err = NewServices(limit.NewRetryBudget(1)).Call(context.Background(), call)
		if !errkind.Is(err, errkind.BackendLost) {
			t.Errorf("repeatable %v: %v", repeatable, err)
		}
		if !repeatable && got.Load() != 1 || repeatable && got.Load() != 2 {
			t.Errorf("repeatable %v: sent %d times", repeatable, got.Load())
		}
		cut.Close()
	}
}
