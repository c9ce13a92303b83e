// Package engine is a stand-in for a backend server: a model engine with a prefix cache,
// weights and load commands, or a plain service. It records which requests ran, so that
// tests can check the router's guarantees.
package engine

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/briarlink/briarlink/test/standin/wire"
)

// Options configure a backend server.
type Options struct {
	// ID identifies the server. Started is the start time of this incarnation in Unix
	// milliseconds; 0 is not reported.
	ID      string
	Started int64
	Service string
	Address string
	Zone    string
	Slots   int
	// Software is the version of the server's software, "v1" if empty. With Failing the
	// server answers 500 to every request that it runs.
	Software string
	Failing  bool
	// Model is empty for a plain service.
	Model string
	// Events is the number of events in a stream, and Pace the pause between them.
	Events int
	Pace   time.Duration
	// Work is how long a plain service works on each request.
	Work time.Duration
	// PartPause is the pause after each part of a large answer.
	PartPause time.Duration
	// OwnStatusEvery is how many requests run for one that is answered with one of OwnStatuses, 0 if none is.
	OwnStatusEvery int
	// OnOwnStatus is called for each of these; it may be nil.
	OnOwnStatus func(id string, status int)
	// RejectsFull makes the server reject requests beyond its slots.
	RejectsFull bool
	// LoadTime is the time that it takes to load new weights.
	LoadTime time.Duration
	// OnRun is called for each run of a request, OnFault for each request that gets a
	// fault, and OnOrder for each accepted load command; they may be nil.
	OnRun func(id string, h http.Header)
	// OnArrive is called for each request that arrives, whether or not it runs; it may be nil.
	OnArrive func(id string)
	OnFault  func(id string)
	OnOrder  func(holder string, fence int64)
	// OnTurnedAway is called for each request that is rejected, with the backoff that its
	// sender is asked for; it may be nil.
	OnTurnedAway func(id string, left time.Duration)
	// OnCrash is called when a request with a PoisonBody begins to run. It must break every
	// connection of the server and make it unreachable for a while. If it is nil, such
	// requests run as others do.
	OnCrash func()
	// CrashBlock is the ID of a prefix block that crashes the server, by OnCrash, as soon as it has
	// written its answer to a request with the block up to CrashPoint. A request's last block, which
	// is its own, does not count.
	CrashBlock string
	CrashPoint CrashPoint
	// UntilClose makes the server write answers with neither a length nor chunks, which end with
	// their connection.
	UntilClose bool
	// TurnAwayOver makes a plain server answer a request with a longer body, in bytes, before it has read it: with a
	// part of an answer that has neither a length nor chunks, and a reset. 0 sets no limit.
	TurnAwayOver int64
	// AnswersEarly makes it answer every second of these whole, without a length, and end the connection.
	AnswersEarly bool
	// OnTurnedAwayEarly is called for each of those that it turns away; it may be nil.
	OnTurnedAwayEarly func(id string)
}

// CrashPoint is how far a server writes an answer before it crashes.
type CrashPoint string

// Crash points of answers.
const (
	BeforeHead  CrashPoint = "before the head"
	AfterHead   CrashPoint = "after the head"
	WithinEvent CrashPoint = "within an event"
	AfterEvent  CrashPoint = "after an event"
	AfterAnswer CrashPoint = "after the answer"
)

// PoisonBody is the prefix of the body of a request that crashes each server that runs it.
const PoisonBody = "crash the server:"

// OwnStatuses are statuses by which callers know that a request did not run. A server that has OwnStatusEvery set
// answers some requests with them that ran.
var OwnStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// Fault is a fault that the server injects into a request.
type Fault string

// Faults of a server.
const (
	// Refuse answers 503 with the header that the request has not run.
	Refuse Fault = "refuse"
	// Fail answers 500 after running.
	Fail Fault = "fail"
	// Cut breaks the connection after running, in the middle of a stream.
	Cut Fault = "cut"
	// Unsealed answers without the server's seal.
	Unsealed Fault = "unsealed"
	// Lose runs the request and never answers, while the connection stays open.
	Lose Fault = "lose"
)

// Engine is a backend server. It is safe for concurrent use.
type Engine struct {
	Options

	mu      sync.Mutex
	version int64
	loading bool
	// orderSeq counts the accepted load commands.
	orderSeq int64
	faults   []Fault
	// early counts the requests that were answered before their bodies were read.
	early int
	// started counts the runs of all requests, and runs those of each by its ID.
	started int
	runs    map[string]int
	cached  map[string]bool
	events  [][]any
	// With leaving set, every answer has a leave notice. Until rejectUntil requests are
	// rejected, and their senders are asked to back off until then.
	leaving     bool
	rejectUntil time.Time
	arrived     int
	// limit is the request limit that every answer states, "" for none. calls are the times at
	// which requests and control calls arrived since the limit was first stated.
	limit   string
	calls   []Call
	brittle brittleness
	// silentUntil is until when the server reads requests and answers none.
	silentUntil time.Time
	// pausedUntil is until when the server does nothing.
	pausedUntil time.Time
}

// Call is a request or a control call that arrived.
type Call struct {
	At   time.Time
	Path string
	// From is the address of the caller's connection.
	From string
}

// New returns a server that has loaded weights version 1.
func New(o Options) *Engine {
	return &Engine{Options: o, version: 1, runs: map[string]int{}, cached: map[string]bool{}}
}

// Next injects these faults into the next requests, one each.
func (e *Engine) Next(faults ...Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, faults...)
}

// DropFaults makes the server treat the coming requests without the faults that are left.
func (e *Engine) DropFaults() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = nil
}

// Leave makes the server send a leave notice in every answer. It continues to serve.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Limit makes the server state a request limit in every answer, or none with "". The server
// itself does not enforce it.
func (e *Engine) Limit(perSecond string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = perSecond
}

// Calls returns the requests and control calls that arrived since a limit was first stated.
func (e *Engine) Calls() []Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.calls)
}

// Silence makes the server answer nothing for the duration. It goes on with all requests after it.
func (e *Engine) Silence(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = time.Now().Add(d)
}

func (e *Engine) awaitEndOfSilence() {
	e.mu.Lock()
	left := time.Until(e.silentUntil)
	e.mu.Unlock()
	time.Sleep(left)
}

// Pause makes the server do nothing for the duration, as a stopped process: it begins no request and
// continues none. Overlapping pauses last until the end of the last one.
func (e *Engine) Pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := time.Now().Add(d); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}

func (e *Engine) awaitEndOfPause() {
	for {
		e.mu.Lock()
		left := time.Until(e.pausedUntil)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// TurnAway makes the server reject requests for the duration, with a backoff until its end.
func (e *Engine) TurnAway(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rejectUntil = time.Now().Add(d)
}

// Arrived returns the number of requests that have arrived, including rejected ones.
func (e *Engine) Arrived() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrived
}

// Ran returns how often the server ran a request.
func (e *Engine) Ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// Version returns the version of the loaded weights.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

type model struct {
	Name    string
	Version int64
}

type registration struct {
	Service    string
	Addr       string
	Zone       string
	Version    string
	Slots      int
	State      string
	ColdLeftMs int
	Models     []model `json:",omitempty"`
	Seq        int64
	Born       int64 `json:"born,omitempty"`
}

// Register writes the server's entry to the store, with put.
func (e *Engine) Register(put func(key string, entry any) error, draining bool) error {
	e.mu.Lock()
	reg := registration{Service: e.Service, Addr: e.Address, Zone: e.Zone, Version: cmp.Or(e.Software, "v1"), Slots: e.Slots, State: "ready", Born: e.Started}
	if draining {
		reg.State = "draining"
	}
	if e.Model != "" {
		reg.Models = []model{{e.Model, e.version}}
	}
	e.mu.Unlock()
	return put(e.ID, reg)
}

// Handler returns the handler of requests and of the hosts' control calls.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.report)
	mux.HandleFunc("POST /-/order", e.order)
	mux.HandleFunc("GET /-/kv-events", e.kvEvents)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", e.serve)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.awaitEndOfPause()
		e.mu.Lock()
		leaving, limit, brittle := e.leaving, e.limit, e.brittle.stated
		if limit != "" || len(e.calls) > 0 {
			e.calls = append(e.calls, Call{time.Now(), r.URL.Path, r.RemoteAddr})
		}
		e.mu.Unlock()
		if limit != "" {
			w.Header().Set(wire.RequestLimit, limit)
		}
		if brittle != "" {
			w.Header().Set(wire.Brittle, brittle)
		}
		if leaving {
			w.Header().Set(wire.Leaving, "1")
		}
		mux.ServeHTTP(w, r)
	})
}

// recordArrival counts an arrived request, and returns the requested backoff; 0 or less
// means that the request is not rejected.
func (e *Engine) recordArrival() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrived++
	return time.Until(e.rejectUntil)
}

// checkExpected reports whether the request is meant for this server or for any. If not,
// it answers 421.
func (e *Engine) checkExpected(w http.ResponseWriter, r *http.Request) bool {
	want := r.Header.Get(wire.ExpectReplica)
	if want == "" || want == e.ID {
		return true
	}
	w.Header().Set(wire.Instance, e.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

// nextFault removes and returns the fault for the current request, "" if none.
func (e *Engine) nextFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults) == 0 && e.Failing {
		return Fail
	}
	if len(e.faults) == 0 {
		return ""
	}
	f := e.faults[0]
	e.faults = e.faults[1:]
	return f
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	if e.OnArrive != nil {
		e.OnArrive(r.Header.Get(wire.Attempt))
	}
	if !e.checkExpected(w, r) {
		return
	}
	id := r.Header.Get(wire.Attempt)
	if e.TurnAwayOver > 0 && r.ContentLength > e.TurnAwayOver {
		e.answerEarly(w, r, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(wire.Attempt, id)
	if backoff := e.recordArrival(); backoff > 0 {
		if e.OnTurnedAway != nil {
			e.OnTurnedAway(id, backoff)
		}
		w.Header().Set(wire.NotRun, "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if want := r.Header.Get(wire.ExpectWeights); want != "" && want != strconv.FormatInt(e.Version(), 10) {
		w.Header().Set(wire.Instance, e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.takeSlot() {
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.releaseSlot()
	e.awaitEndOfSilence()
	fault := e.nextFault()
	if fault != "" && e.OnFault != nil {
		e.OnFault(id)
	}
	if fault == Refuse || e.isLoading() {
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.recordRun(r, id)
	if e.OnCrash != nil && strings.HasPrefix(string(body), PoisonBody) {
		e.OnCrash()
		panic(http.ErrAbortHandler)
	}
	if e.UntilClose {
		// Package net/http then sends neither a length nor chunks.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if e.crashesOn(r) {
		w.Header().Set(wire.Seal, "seal-of-"+e.ID)
		e.serveUntilCrash(w, r)
	}
	if fault == Lose {
		<-r.Context().Done()
		return
	}
	if fault != Unsealed {
		w.Header().Set(wire.Seal, "seal-of-"+e.ID)
	}
	if status := e.ownStatus(); status > 0 {
		if e.OnOwnStatus != nil {
			e.OnOwnStatus(id, status)
		}
		w.WriteHeader(status)
		return
	}
	if fault == Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if e.Model == "" {
		e.serveBuffered(w, r, fault, body)
		return
	}
	e.serveStream(w, r, fault)
}

// answerEarly answers a request whose body has not been read, whole or with a part and a reset.
func (e *Engine) answerEarly(w http.ResponseWriter, r *http.Request, id string) {
	e.recordRun(r, id)
	e.mu.Lock()
	e.early++
	whole := e.AnswersEarly && e.early%2 == 0
	e.mu.Unlock()
	if !whole && e.OnTurnedAwayEarly != nil {
		e.OnTurnedAwayEarly(id)
	}
	raw, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer raw.Close()
	conn := raw.(*net.TCPConn)
	answer := e.plainAnswer(r.ContentLength)
	if !whole {
		answer = answer[:len(answer)/2]
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-of-%s\r\n\r\n%s", wire.Attempt, id, wire.Seal, e.ID, answer)
	if whole {
		_ = conn.CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(earlyReadTime))
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	time.Sleep(turnAwayPause)
	_ = conn.SetLinger(0)
}

const (
	// turnAwayPause is the time from the part of an answer to the reset.
	turnAwayPause = time.Millisecond
	// earlyReadTime is how long the rest of a request is read after its answer.
	earlyReadTime = 100 * time.Millisecond
)

// plainAnswer returns the answer of a plain service to a body of a size.
func (e *Engine) plainAnswer(size int64) string {
	return fmt.Sprintf("answer of %s to %d bytes", e.ID, size)
}

// ownStatus returns the status with which the server answers the current run itself, 0 if it answers as usual.
func (e *Engine) ownStatus() int {
	if e.OwnStatusEvery == 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started++
	if e.started%e.OwnStatusEvery > 0 {
		return 0
	}
	return OwnStatuses[e.started/e.OwnStatusEvery%len(OwnStatuses)]
}

func (e *Engine) isLoading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loading
}

// recordRun counts a run and caches the prefix blocks of the prompt.
func (e *Engine) recordRun(r *http.Request, id string) {
	if e.OnRun != nil {
		e.OnRun(id, r.Header)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	salt := r.Header.Get(wire.Salt)
	for _, block := range strings.Split(r.Header.Get(wire.Prefix), ",") {
		name, tokens, ok := strings.Cut(block, ":")
		if !ok || e.cached[salt+"|"+name] {
			continue
		}
		e.cached[salt+"|"+name] = true
		n, _ := strconv.Atoi(tokens)
		e.events = append(e.events, []any{len(e.events) + 1, "+", salt, name, n, e.Model})
	}
}

// serveBuffered answers a request to a plain service. The query parameter "bytes" is the answer's minimum size.
func (e *Engine) serveBuffered(w http.ResponseWriter, r *http.Request, fault Fault, body []byte) {
	time.Sleep(e.Work)
	e.awaitEndOfPause()
	answer := e.plainAnswer(int64(len(body)))
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	size = max(size, len(answer))
	if !e.UntilClose {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	if fault == Cut {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, err := io.WriteString(w, answer)
	for left := size - len(answer); left > 0 && err == nil; left -= len(padding) {
		time.Sleep(e.PartPause)
		e.awaitEndOfPause()
		_, err = w.Write(padding[:min(left, len(padding))])
	}
}

// PartSize is the size of the parts in which large answers are written.
const PartSize = 16 << 10

// padding is what large answers are filled with.
var padding = bytes.Repeat([]byte{'.'}, PartSize)

// EventText returns the text of the n-th event of a stream, where n starts at 1.
func EventText(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// crashesOn reports whether the server crashes when it answers a request.
func (e *Engine) crashesOn(r *http.Request) bool {
	if e.OnCrash == nil || e.CrashBlock == "" {
		return false
	}
	blocks := strings.Split(r.Header.Get(wire.Prefix), ",")
	return slices.ContainsFunc(blocks[:len(blocks)-1], func(block string) bool {
		name, _, _ := strings.Cut(block, ":")
		return name == e.CrashBlock
	})
}

// serveUntilCrash writes the answer up to the crash point, and crashes.
func (e *Engine) serveUntilCrash(w http.ResponseWriter, r *http.Request) {
	flush := http.NewResponseController(w)
	switch e.CrashPoint {
	case BeforeHead:
	case AfterHead:
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	case WithinEvent:
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, EventText(1)[:8])
	case AfterEvent:
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, EventText(1))
	case AfterAnswer:
		e.serveStream(w, r, "")
	}
	if e.CrashPoint != BeforeHead {
		// The connection ends anyway.
		_ = flush.Flush()
	}
	// The answer reaches its receiver before the connection ends.
	time.Sleep(e.Pace)
	e.OnCrash()
	panic(http.ErrAbortHandler)
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(wire.Weights, strconv.FormatInt(e.Version(), 10))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(w)
	for n := last + 1; n <= e.Events; n++ {
		e.awaitEndOfPause()
		text := EventText(n)
		if fault == Cut && n > e.Events/2 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, text); err != nil || flush.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.Pace):
		}
	}
}

type reportAnswer struct {
	Stage  string
	Models []model
	Busy   bool
	Seq    int64
	Born   int64 `json:"born,omitempty"`
}

func (e *Engine) report(w http.ResponseWriter, r *http.Request) {
	if !e.checkExpected(w, r) {
		return
	}
	e.mu.Lock()
	answer := reportAnswer{"colocated", []model{{e.Model, e.version}}, e.loading, e.orderSeq, e.Started}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

type orderBody struct {
	Op           string
	Model        string
	Version      int64
	Holder       string
	Fence        int64
	Precondition *int64
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	if !e.checkExpected(w, r) {
		return
	}
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Version == e.version:
		w.WriteHeader(http.StatusOK)
	case e.loading || o.Precondition != nil && *o.Precondition != e.orderSeq:
		w.WriteHeader(http.StatusConflict)
	default:
		if e.OnOrder != nil {
			e.OnOrder(o.Holder, o.Fence)
		}
		e.orderSeq++
		e.loading = true
		time.AfterFunc(e.LoadTime, func() { e.finishLoading(o.Version) })
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *Engine) finishLoading(version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
	e.loading = false
	e.cached = map[string]bool{}
}

type eventsAnswer struct {
	BootEpoch int64
	Next      int
	Lost      bool
	Events    [][]any
}

// eventsPollInterval is how often a waiting call checks for new events.
const eventsPollInterval = 10 * time.Millisecond

func (e *Engine) kvEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("Since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		e.mu.Lock()
		answer := eventsAnswer{BootEpoch: 1 + e.Started, Next: len(e.events), Events: [][]any{}}
		if since < len(e.events) {
			answer.Events = append(answer.Events, e.events[since:]...)
		}
		e.mu.Unlock()
		if len(answer.Events) > 0 || !time.Now().Before(until) {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventsPollInterval):
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected and needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
