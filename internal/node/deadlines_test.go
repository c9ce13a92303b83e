package node

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/settings"
)

// withCaller runs a test with a caller's connection to a host with the limits of a configuration, and 2 s of idle
// time by its settings.
func withCaller(t *testing.T, limits config.Limits, test func(t *testing.T, n *Node, caller net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		set := settings.Defaults()
		set.Request.IdleTimeout = durationpb.New(2 * time.Second)
		log, lines := obs.NewLogger(set.Log, io.Discard)
		defer lines.Close()
		n := New(set, nil, log, lines)
		metrics, handler, closer := obs.NewMetrics()
		defer closer.Close()
		n.metrics = metrics
		n.buildEntry()
		setLimits(n, limits)
		caller, server := net.Pipe()
		callers := &pipeListener{conns: make(chan net.Conn, 1)}
		callers.conns <- server
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		servers := n.serve(ctx, &wg, &Listeners{callers: callers, peers: &pipeListener{conns: make(chan net.Conn)}}, handler)
		defer func() {
			for _, s := range servers {
				s.close(time.Second, n.entry.Abort)
			}
		}()
		test(t, n, caller)
	})
}

func setLimits(n *Node, limits config.Limits) {
	n.config.Store((&config.Config{Limits: limits}).Build())
}

// TestIdleConnectionsFollowTheConfiguration guards against connections that are closed while callers may
// still send on them: a configuration allows a longer idle time than the settings, or than the one before.
func TestIdleConnectionsFollowTheConfiguration(t *testing.T) {
	withCaller(t, config.Limits{}, func(t *testing.T, n *Node, caller net.Conn) {
		for i, step := range []struct {
			limit time.Duration
			// The new limit is in force after the first part of the time.
			before, after time.Duration
			closed        bool
		}{
			{limit: 10 * time.Second},
			{10 * time.Second, 0, 8 * time.Second, false},
			{30 * time.Second, 8 * time.Second, 16 * time.Second, false},
			{time.Second, 10 * time.Second, 14 * time.Second, false},
			{time.Second, 0, 800 * time.Millisecond, false},
			{time.Second, 0, 1100 * time.Millisecond, true},
		} {
			time.Sleep(step.before)
			setLimits(n, config.Limits{IdleTimeout: step.limit})
			time.Sleep(step.after)
			_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: museum.example\r\n\r\n")
			if err == nil {
				_, err = readAnswer(caller)
			}
			if (err != nil) != step.closed {
				t.Fatalf("step %d: %v", i, err)
			}
		}
	})
}

// TestSlowHeadersFollowTheConfiguration guards against connections that are closed while their callers send the
// headers of a request within the time that the configuration allows.
func TestSlowHeadersFollowTheConfiguration(t *testing.T) {
	withCaller(t, config.Limits{HeaderTimeout: 30 * time.Second}, func(t *testing.T, _ *Node, caller net.Conn) {
		for i := range 3 {
			_, err := io.WriteString(caller, "GET / HTTP/1.1\r\n")
			time.Sleep(24 * time.Second)
			if err == nil {
				_, err = io.WriteString(caller, "Host: museum.example\r\n\r\n")
			}
			if err == nil {
				_, err = readAnswer(caller)
			}
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
		}
	})
}
