package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// heartbeat is the interval of a server's liveness reports, and lostHeartbeats how many are missing when the
// platform removes its entry.
const (
	heartbeat      = 1200 * time.Millisecond
	lostHeartbeats = 3
)

// run is a request that a server began to work on.
type run struct {
	id, server, organisation, path string
	at                             time.Time
	// hits are the parts of the prompt that were cached, with who made them.
	hits []hit
}

// hit is a cached part that a run used.
type hit struct{ part, madeBy, madeFor string }

// server is a stand-in for a replica: a plain service, or a model engine that caches the parts of prompts
// under their salts. It runs in this process, and its crash closes its listener and resets its connections.
type server struct {
	id, service, zone, model, address string
	slots                             int
	// work is how long a request of a plain service takes, and pace the pause between the events of a stream.
	work, pace time.Duration
	events     int

	// full is the number of requests in progress from which the server rejects others, twice the slots if 0.
	full int
	// memory holds the running requests of an engine; nil sets no limit.
	memory *memory

	cluster *cluster
	http    *http.Server
	stopped chan struct{}
	onRun   func(run)
	onEnd   func(server, id, how string)

	mu     sync.Mutex
	conns  map[net.Conn]bool
	cached map[string]run
	// working counts the requests in progress by path.
	working     map[string]int
	cacheEvents [][]any
	leaving     bool
}

func (s *server) start(ip string) error {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.stopped, s.conns, s.cached, s.working = make(chan struct{}), map[net.Conn]bool{}, map[string]run{}, map[string]int{}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.trackConn}
	go func() { _ = s.http.Serve(l) }()
	if err := s.register(); err != nil {
		return err
	}
	go s.expire()
	return nil
}

func (s *server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func (s *server) register() error {
	entry := map[string]any{"Service": s.service, "Addr": s.address, "Zone": s.zone, "Version": "v1", "Slots": s.slots, "State": "ready", "ColdLeftMs": 0, "Seq": 1}
	if s.model != "" {
		entry["Models"] = []map[string]any{{"Name": s.model, "Version": 1}}
	}
	return s.cluster.put(platform.ReplicaTopic, s.id, entry)
}

// expire has the platform remove the entry of a replica that ended without a word. Its entry changes only when more
// than `Seq` does, so that heartbeats need no record of their own.
func (s *server) expire() {
	<-s.stopped
	time.Sleep(lostHeartbeats * heartbeat)
	if !s.hasLeft() {
		_ = s.cluster.remove(platform.ReplicaTopic, s.id)
	}
}

// leave removes the entry of a replica that leaves without reporting that it drains, and returns once the store has
// acknowledged that. The replica goes on serving.
func (s *server) leave() error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	return s.cluster.remove(platform.ReplicaTopic, s.id)
}

// hasLeft reports whether the replica's entry was removed for good.
func (s *server) hasLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// crash closes the listener and resets all connections, as the system does when a process is killed.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stopped)
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = s.http.Close()
}

// inProgress returns the number of requests with a path in progress.
func (s *server) inProgress(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.working[path]
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(wire.ExpectReplica); want != "" && want != s.id {
		w.Header().Set(wire.Instance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set(wire.Instance, s.id)
		return
	case "/-/report":
		writeJSON(w, map[string]any{"Stage": "colocated", "Models": []map[string]any{{"Name": s.model, "Version": 1, "Adapters": []string{}}}, "Busy": false, "Seq": 0, "Queued": 0, "Running": 0, "KvUsed": 0, "KvTotal": 100000, "Handles": 0, "State": "ready"})
		return
	case "/-/kv-events":
		s.serveEvents(w, r)
		return
	case "/-/kv-list":
		writeJSON(w, map[string]any{"BootEpoch": 1, "Next": 0, "Held": [][]any{}})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.serveRequest(w, r, body)
}

func (s *server) serveRequest(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get(wire.Attempt)
	w.Header().Set(wire.Attempt, id)
	if !s.begin(r.URL.Path) {
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end(r.URL.Path)
	started := run{id: id, server: s.id, organisation: r.Header.Get(wire.Organisation), path: r.URL.Path, at: time.Now()}
	started.hits = s.useCache(r, started)
	s.onRun(started)
	w.Header().Set(wire.Seal, "seal-"+id)
	if s.model != "" {
		how := s.serveStream(w, r)
		if s.onEnd != nil {
			s.onEnd(s.id, id, how)
		}
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	writeBody(w, size, len(body))
}

// begin takes a slot, if one is free.
func (s *server) begin(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.working {
		total += n
	}
	if total >= cmp.Or(s.full, 2*s.slots) {
		return false
	}
	s.working[path]++
	return true
}

func (s *server) end(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.working[path]--
}

// useCache returns the parts of the prompt that are cached under the request's salt, and caches the rest.
func (s *server) useCache(r *http.Request, by run) []hit {
	s.mu.Lock()
	defer s.mu.Unlock()
	salt := r.Header.Get(wire.Salt)
	var hits []hit
	missed := false
	for _, item := range strings.Split(r.Header.Get(wire.Prefix), ",") {
		part, tokens, ok := strings.Cut(item, ":")
		if !ok {
			continue
		}
		key := salt + "|" + part
		if made, cached := s.cached[key]; cached && !missed {
			hits = append(hits, hit{part, made.organisation, made.id})
			continue
		}
		missed = true
		s.cached[key] = by
		n, _ := strconv.Atoi(tokens)
		s.cacheEvents = append(s.cacheEvents, []any{len(s.cacheEvents) + 1, "+", salt, part, n, s.model})
	}
	return hits
}

// serveStream writes the events of a stream, one for each token, and returns how it ended.
func (s *server) serveStream(w http.ResponseWriter, r *http.Request) string {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(wire.Weights, "1")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(w)
	next := func(context.Context) bool { return true }
	if s.memory != nil {
		prompt, _, _ := strings.Cut(r.Header.Get(wire.Tokens), ",")
		tokens, _ := strconv.Atoi(prompt)
		seq, ok := s.memory.admit(r.Context(), tokens+last)
		defer seq.end()
		if !ok {
			return "its channel was closed before its first event"
		}
		next = seq.next
	}
	longest, before := time.Duration(0), time.Now()
	for n := last + 1; n <= s.events; n++ {
		if !next(r.Context()) {
			return fmt.Sprintf("its channel was closed after event %d, %d ms ago", n-1, time.Since(before).Milliseconds())
		}
		if n > last+1 {
			longest = max(longest, time.Since(before))
		}
		before = time.Now()
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil || flush.Flush() != nil {
			return fmt.Sprintf("its channel was closed after event %d", n-1)
		}
		select {
		case <-r.Context().Done():
			return fmt.Sprintf("its channel was closed after event %d", n)
		case <-time.After(s.pace):
		}
	}
	return fmt.Sprintf("complete, the longest pause was %d ms", longest.Milliseconds())
}

// serveEvents answers a call for cache events, which waits until there are some.
func (s *server) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("Since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		next := len(s.cacheEvents)
		events := append([][]any{}, s.cacheEvents[min(since, next):]...)
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(until) {
			writeJSON(w, map[string]any{"BootEpoch": 1, "Next": next, "Lost": false, "Events": events})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// bodyText returns the body of an answer: at least size bytes that depend on the position.
func bodyText(size, received int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "read %d bytes\n", received)
	size = max(size, b.Len())
	for b.Len() < size {
		line := fmt.Sprintf("%015d\n", b.Len())
		b.WriteString(line[:min(len(line), size-b.Len())])
	}
	return b.String()
}

func writeBody(w http.ResponseWriter, size, received int) {
	text := bodyText(size, received)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	// An error means that the caller has left.
	_, _ = io.WriteString(w, text)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(v)
}
