package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// heartbeatInterval is HeartbeatMs of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// replica is a backend server: a plain service, or with a model an engine that answers with streams.
type replica struct {
	id, service, address, zone, store, model string
	slots                                    int
	// work is how long a plain service works on a request, and an engine until the first event.
	work time.Duration
	// events is the number of events of a stream, and pace the pause between them.
	events int
	pace   time.Duration
	// stallAfter is the number of the event after which a request that begins at its first event is
	// preempted, 0 for none: it waits for stall and is then read in again, for work.
	stallAfter int
	stall      time.Duration

	free    chan struct{}
	queued  atomic.Int64
	version atomic.Int64
}

// maxQueued is how many requests wait for a slot.
const maxQueued = 24

func (r *replica) run() error {
	r.free = make(chan struct{}, r.slots)
	r.version.Store(1)
	go r.register()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", r.report)
	mux.HandleFunc("GET /-/kv-events", r.kvEvents)
	mux.HandleFunc("GET /-/kv-list", r.kvList)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(wire.Instance, r.id) })
	mux.HandleFunc("/", r.serve)
	server := &http.Server{Addr: r.address, Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	return server.ListenAndServe()
}

// say writes a line to standard output, which the driver reads.
func (r *replica) say(format string, args ...any) {
	fmt.Printf("%d %s %s\n", time.Now().UnixMilli(), r.id, fmt.Sprintf(format, args...))
}

func (r *replica) models() []map[string]any {
	if r.model == "" {
		return nil
	}
	return []map[string]any{{"Name": r.model, "Version": r.version.Load(), "Adapters": []string{}}}
}

// register writes the server's entry at each heartbeat.
func (r *replica) register() {
	client := platform.NewStore(r.store, 5*time.Second)
	for sequence := 1; ; sequence++ {
		entry := map[string]any{
			"Service": r.service, "Addr": r.address, "Zone": r.zone, "Version": "v1", "Slots": r.slots,
			"State": "ready", "ColdLeftMs": 0, "Seq": sequence,
		}
		if models := r.models(); models != nil {
			entry["Models"], entry["Stage"] = models, "colocated"
		}
		value, err := json.Marshal(entry)
		if err == nil {
			_, err = client.Append(context.Background(), platform.ReplicaTopic, platform.Record{Key: r.id, Value: value}, -1)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		time.Sleep(heartbeatInterval)
	}
}

func (r *replica) report(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]any{"Stage": "colocated", "Models": r.models(), "Busy": false, "Seq": 0, "Queued": r.queued.Load(), "Running": len(r.free), "KvUsed": 0, "KvTotal": 100000, "Handles": 0})
}

func (r *replica) kvEvents(w http.ResponseWriter, req *http.Request) {
	wait, _ := strconv.Atoi(req.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-req.Context().Done():
		return
	}
	writeJSON(w, map[string]any{"BootEpoch": 1, "Next": 1, "Lost": false, "Events": []any{}})
}

func (r *replica) kvList(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]any{"BootEpoch": 1, "Next": 1, "Held": []any{}})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (r *replica) reject(w http.ResponseWriter, status int, why string) {
	w.Header().Set(wire.NotRun, "1")
	w.Header().Set(wire.Instance, r.id)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, why)
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(wire.Attempt)
	w.Header().Set(wire.Attempt, id)
	if want := req.Header.Get(wire.ExpectReplica); want != "" && want != r.id {
		w.Header().Set(wire.Instance, r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if want := req.Header.Get(wire.ExpectWeights); want != "" && want != strconv.FormatInt(r.version.Load(), 10) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		r.reject(w, http.StatusBadRequest, "no id")
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if r.queued.Add(1) > maxQueued {
		r.queued.Add(-1)
		r.reject(w, http.StatusServiceUnavailable, "full")
		return
	}
	select {
	case r.free <- struct{}{}:
		r.queued.Add(-1)
	case <-req.Context().Done():
		r.queued.Add(-1)
		return
	}
	defer func() { <-r.free }()
	if ms, err := strconv.Atoi(req.Header.Get(wire.Deadline)); err == nil {
		ctx, cancel := context.WithTimeout(req.Context(), time.Duration(ms)*time.Millisecond)
		defer cancel()
		req = req.WithContext(ctx)
	}
	r.say("runs %s %s %s from %s", id, req.Method, req.RequestURI, req.Header.Get("Last-Event-Id"))
	w.Header().Set(wire.Seal, "seal-"+r.id)
	if r.model != "" {
		r.serveStream(w, req, id)
		return
	}
	if !pause(req.Context(), r.work) {
		r.say("stops %s: its channel was closed or its deadline passed", id)
		return
	}
	answer := fmt.Sprintf("%s answers %s to %d bytes", r.id, req.RequestURI, len(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
	r.say("ends %s", id)
}

// serveStream answers with events from Last-Event-Id on.
func (r *replica) serveStream(w http.ResponseWriter, req *http.Request, id string) {
	from, _ := strconv.Atoi(strings.TrimSpace(req.Header.Get("Last-Event-Id")))
	if !pause(req.Context(), r.work) {
		r.say("stops %s: its channel was closed or its deadline passed", id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Briarlink-Weight-Versions", strconv.FormatInt(r.version.Load(), 10))
	control := http.NewResponseController(w)
	for n := from + 1; n <= r.events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		_ = control.Flush()
		r.say("event %s %d", id, n)
		rest := r.pace
		open := true
		if from == 0 && n == r.stallAfter {
			r.say("preempts %s for %d ms", id, r.stall.Milliseconds())
			if open = pause(req.Context(), r.stall); open {
				r.say("reads %s in again", id)
			}
			rest = r.work
		}
		if !open || n < r.events && !pause(req.Context(), rest) {
			r.say("stops %s: its channel was closed or its deadline passed", id)
			return
		}
	}
	r.say("ends %s", id)
}

// pause waits, and reports whether the channel was still open after it.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
