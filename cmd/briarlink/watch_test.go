package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/admin"
)

// TestWatchRefreshesUntilInterrupted: a table is printed at once and then at each interval, a
// failed call is printed and does not end the watch, and an interrupt is not an error.
func TestWatchRefreshesUntilInterrupted(t *testing.T) {
	for _, terminal := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var out, errs bytes.Buffer
			calls := 0
			w := watch{interval: 2 * time.Second, out: &out, errs: &errs, terminal: terminal}
			w.print = func(_ context.Context, w io.Writer) error {
				calls++
				if calls == 2 {
					return errors.New("ask the host: refused")
				}
				_, err := fmt.Fprintf(w, "table %d\n", calls)
				return err
			}
			ctx, interrupt := context.WithCancel(t.Context())
			time.AfterFunc(7*time.Second, interrupt)
			began := time.Now()
			if err := w.run(ctx); err != nil {
				t.Error(err)
			}
			if took := time.Since(began); calls != 4 || took != 7*time.Second {
				t.Errorf("%d tables in %v", calls, took)
			}
			if got := strings.Count(out.String(), "table"); got != 3 || strings.Contains(out.String(), "table 2") {
				t.Errorf("it printed %q", out.String())
			}
			if got := strings.Count(errs.String(), "\n"); got != 1 || !strings.Contains(errs.String(), "ask the host: refused") {
				t.Errorf("it printed the errors %q", errs.String())
			}
			if got := strings.Count(out.String(), "\x1b"); (got > 0) != terminal {
				t.Errorf("%d terminal codes, terminal: %t", got, terminal)
			}
		})
	}
}

// TestWatchIsInterruptedInACall: an interrupt during a call ends the watch at once and prints
// no error.
func TestWatchIsInterruptedInACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out, errs bytes.Buffer
		w := watch{interval: time.Second, out: &out, errs: &errs}
		w.print = func(ctx context.Context, _ io.Writer) error {
			<-ctx.Done()
			return ctx.Err()
		}
		ctx, interrupt := context.WithCancel(t.Context())
		time.AfterFunc(3*time.Second, interrupt)
		began := time.Now()
		if err := w.run(ctx); err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took != 3*time.Second || out.Len() > 0 || errs.Len() > 0 {
			t.Errorf("it took %v and printed %q, %q", took, out.String(), errs.String())
		}
	})
}

// brokenPipe is an output whose reader has closed it.
type brokenPipe struct{}

func (brokenPipe) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// TestWatchEndsWithItsOutput: a watch ends when its output can no longer be written.
func TestWatchEndsWithItsOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watch{interval: time.Second, out: brokenPipe{}, errs: io.Discard}
		w.print = func(context.Context, io.Writer) error { return nil }
		if err := w.run(t.Context()); !errors.Is(err, syscall.EPIPE) {
			t.Errorf("it ended with %v", err)
		}
	})
}

// TestWatchCommands: each command with --watch continues after a failed call and exits with
// code 0 on SIGINT.
func TestWatchCommands(t *testing.T) {
	for _, command := range []string{"hosts", "replicas"} {
		_, handler := admin.New(func() *pb.StatusResponse { return &pb.StatusResponse{} }).Handler()
		var calls atomic.Int64
		host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch calls.Add(1) {
			case 2:
				http.Error(w, "not now", http.StatusServiceUnavailable)
				return
			case 3:
				// The command has called the host before, so its signal handler is installed.
				if err := syscall.Kill(os.Getpid(), syscall.SIGINT); err != nil {
					t.Error(err)
				}
			}
			handler.ServeHTTP(w, r)
		}))
		discardOutput(t)
		address := strings.TrimPrefix(host.URL, "http://")
		if code := run([]string{"admin", "--address", address, command, "--watch", "--interval", "1ms"}); code != exitOK {
			t.Errorf("%s: exit code %d", command, code)
		}
		if calls.Load() < 3 {
			t.Errorf("%s: %d calls", command, calls.Load())
		}
		host.Close()
	}
}
