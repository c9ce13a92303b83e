package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/briarlink/briarlink/test/standin/wire"
)

// hostName is the host that all routes are for.
const hostName = "museum.example"

// request is one attempt of a consumer.
type request struct {
	id, method, path, key, body string
	model, prefix, tokens       string
	deadline                    time.Duration
}

// answer is what the consumer got.
type answer struct {
	status  int
	seal    string
	body    string
	err     error
	sent    time.Time
	elapsed time.Duration
	// kept is set if the request was sent on a channel that had carried another one.
	kept bool
}

var lastID atomic.Int64

// newID returns an ID of its own for an attempt.
func newID() string { return fmt.Sprintf("%012x%04x", time.Now().UnixMicro(), lastID.Add(1)) }

// newClient returns a consumer that keeps its channels open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
}

// send sends a request to a host and reads the whole answer.
func send(client *http.Client, address string, q request) answer {
	a := answer{sent: time.Now()}
	defer func() { a.elapsed = time.Since(a.sent) }()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+2*time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused }})
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = hostName
	for name, value := range map[string]string{
		wire.Attempt: q.id, wire.Key: q.key, wire.Model: q.model, wire.Prefix: q.prefix, wire.Tokens: q.tokens,
		wire.Deadline: strconv.FormatInt(q.deadline.Milliseconds(), 10),
	} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	resp, err := client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.seal = resp.StatusCode, resp.Header.Get(wire.Seal)
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
	a.elapsed = time.Since(a.sent)
	return a
}
