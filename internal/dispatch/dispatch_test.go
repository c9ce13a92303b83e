package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/retry"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/internal/upstream"
	"github.com/briarlink/briarlink/platform"
	_ "github.com/briarlink/briarlink/test/fixedseed"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// behaviour is what a scripted replica does with one request.
type behaviour string

const (
	unreachable  behaviour = "unreachable"
	timesOut     behaviour = "does not answer a connection attempt"
	refuses      behaviour = "refuses"
	refusesLate  behaviour = "refuses late"
	misdirects   behaviour = "misdirects"
	otherWeights behaviour = "holds other weights"
	cutsBefore   behaviour = "reads and cuts"
	answers      behaviour = "answers"
	fails        behaviour = "fails"
	unsealed     behaviour = "answers without a seal"
	foreign      behaviour = "answers another request"
	cutsBody     behaviour = "cuts its answer"
	hangs        behaviour = "hangs"
	streams      behaviour = "streams"
	cutsStream   behaviour = "cuts its stream"
	skips        behaviour = "skips an event"
	// streamsSlowly streams with slowPause between events.
	streamsSlowly behaviour = "streams slowly"
	// streamsSteadily streams with steadyPause between events.
	streamsSteadily behaviour = "streams steadily"
	// endsWithinEvent streams without length or chunks, and ends within an event.
	endsWithinEvent behaviour = "ends within an event"
	// stalls streams with stallPause before one event, stallsForGood sends none after it, and stallsAndCuts
	// breaks its connection after the pause.
	stalls        behaviour = "stalls"
	stallsForGood behaviour = "stalls for good"
	stallsAndCuts behaviour = "stalls and cuts"
	// streamsLate streams after stallPause.
	streamsLate behaviour = "streams late"
	// answersLate answers after stallPause, and cutsLate breaks its connection after it.
	answersLate behaviour = "answers late"
	cutsLate    behaviour = "cuts late"
	// answersAtCheck answers at the moment of the first check for a hang.
	answersAtCheck behaviour = "answers at a check"
)

var behaviours = []behaviour{
	unreachable, timesOut, refuses, misdirects, cutsBefore, answers, answers, fails, unsealed, foreign, cutsBody, hangs, streams, streams, cutsStream, skips, endsWithinEvent,
}

const (
	testEvents   = 6
	slowPause    = 700 * time.Millisecond
	steadyPause  = 400 * time.Millisecond
	stallPause   = 1600 * time.Millisecond
	testService  = "s"
	testReplicas = 4
	wholeBody    = "the whole answer"
)

// fleet is a set of scripted replicas behind in-memory connections.
type fleet struct {
	mu sync.Mutex
	// plan holds the behaviours of the coming connections, in order.
	plan []behaviour
	// runs counts how often the request ran; ranAt holds the addresses of the replicas.
	runs     int
	arrivals int
	ranAt    map[string]bool
}

func (f *fleet) dial(ctx context.Context, address string) (net.Conn, error) {
	b := f.next()
	switch b {
	case unreachable:
		return nil, errors.New("refused")
	case timesOut:
		return nil, dialTimeout(ctx)
	}
	near, far := net.Pipe()
	go f.serve(far, address, b)
	return near, nil
}

// next returns the behaviour of the next connection; after the end of the plan replicas answer.
func (f *fleet) next() behaviour {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.plan) == 0 {
		return answers
	}
	b := f.plan[0]
	f.plan = f.plan[1:]
	return b
}

func (f *fleet) ran(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs++
	f.ranAt[address] = true
}

func (f *fleet) serve(c net.Conn, address string, b behaviour) {
	defer c.Close()
	r := bufio.NewReader(c)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	f.mu.Lock()
	f.arrivals++
	f.mu.Unlock()
	id := req.Header.Get(wire.Attempt)
	head := func(status int) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\n"+wire.Attempt+": %s\r\n", status, id)
	}
	seal := wire.Seal + ": s\r\n"
	length := "Content-Length: " + strconv.Itoa(len(wholeBody)) + "\r\n\r\n"
	write := func(parts ...string) { _, _ = io.WriteString(c, strings.Join(parts, "")) }
	switch b {
	case refuses, refusesLate:
		if b == refusesLate {
			time.Sleep(stallPause)
		}
		write(head(503) + wire.NotRun + ": 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return
	case misdirects:
		write(head(421) + wire.Instance + ": another\r\nContent-Length: 0\r\n\r\n")
		return
	case otherWeights:
		write(head(421) + wire.Instance + ": " + address + "\r\nContent-Length: 0\r\n\r\n")
		return
	}
	f.ran(address)
	switch b {
	case answersAtCheck:
		time.Sleep(watchInterval)
		write(head(200) + seal + length + wholeBody)
	case answers:
		write(head(200) + seal + length + wholeBody)
	case answersLate:
		time.Sleep(stallPause)
		write(head(200) + seal + length + wholeBody)
	case cutsLate:
		time.Sleep(stallPause)
	case fails:
		write(head(500) + seal + "Content-Length: 0\r\n\r\n")
	case unsealed:
		write(head(200) + length + wholeBody)
	case foreign:
		write("HTTP/1.1 200 OK\r\n" + wire.Attempt + ": other\r\n" + wire.Seal + ": s\r\n" + length + wholeBody)
	case cutsBody:
		write(head(200) + seal + length + wholeBody[:5])
	case hangs:
		_, _ = io.Copy(io.Discard, r)
	case endsWithinEvent:
		write(head(200) + seal + "Content-Type: text/event-stream\r\n\r\n" + eventText(1) + eventText(2)[:5])
	case streams, cutsStream, skips, streamsSlowly, streamsSteadily, stalls, stallsForGood, stallsAndCuts, streamsLate:
		if b == streamsLate {
			time.Sleep(stallPause)
		}
		last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		write(head(200) + seal + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		f.events(c, b, last)
		if b == stallsForGood {
			_, _ = io.Copy(io.Discard, r)
		}
	}
}

func (f *fleet) events(c net.Conn, b behaviour, last int) {
	for n := last + 1; n <= testEvents; n++ {
		text := eventText(n)
		if b == streamsSlowly && n > 1 {
			time.Sleep(slowPause)
		}
		if b == streamsSteadily && n > 1 {
			time.Sleep(steadyPause)
		}
		if n == testEvents/2+1 && (b == stalls || b == stallsAndCuts) {
			time.Sleep(stallPause)
		}
		if n > testEvents/2 && (b == stallsAndCuts || b == stallsForGood) {
			return
		}
		if b == cutsStream && n > testEvents/2 {
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(text)/2, text[:len(text)/2])
			return
		}
		if b == skips && n == 3 {
			continue
		}
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	}
	fmt.Fprint(c, "0\r\n\r\n")
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// recorder is a caller that records its answer.
type recorder struct {
	status int
	body   string
	wrote  int
}

func (a *recorder) Buffered(status int, _ http.Header, body []byte) error {
	a.status, a.body = status, string(body)
	a.wrote++
	return nil
}

func (a *recorder) Start(status int, _ http.Header) error {
	a.status = status
	a.wrote++
	return nil
}

func (a *recorder) Event(data []byte) error {
	a.body += string(data)
	return nil
}

// newDispatcher returns a dispatcher and its table of the fleet's replicas.
func newDispatcher(f *fleet) (*Dispatcher, *replica.Table) {
	return newDispatcherOf(testReplicas, f.dial)
}

// newDispatcherOf returns a dispatcher and its table of a number of replicas, which are dialled at their IDs.
func newDispatcherOf(replicas int, dial func(ctx context.Context, address string) (net.Conn, error)) (*Dispatcher, *replica.Table) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := replica.NewTable(log, func(string, string) {})
	for i := range replicas {
		id := fmt.Sprintf("i-%d", i)
		table.Register(platform.Registration{ID: id, Service: testService, Address: id, Slots: 8}, int64(i))
	}
	pool := upstream.NewPool()
	pool.Dial = dial
	s := schedule.New(table, prefix.NewIndex(), route.DefaultPolicy(), "z", true)
	return New(s, table, pool, retry.NewBudget(1, time.Second, 100, 1, time.Now()), quarantine.NewTable(log, time.Now())), table
}

func testRequest(kind config.Kind, resumable bool, attempts int) *Request {
	return &Request{
		ID: "r-1", Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("body"),
		Route:    &config.Route{Kind: kind, Resumable: resumable, Attempts: attempts, LatencyTarget: 200 * time.Millisecond, PauseTarget: 100 * time.Millisecond},
		Service:  &config.Service{Name: testService},
		Deadline: time.Now().Add(5 * time.Second),
	}
}

// TestFailureInvariants draws the replicas' behaviours and checks what must hold for every
// request.
func TestFailureInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]config.Kind{config.Idempotent, config.NonIdempotent, config.Streaming}).Draw(rt, "kind")
		resumable := kind == config.Streaming && rapid.Bool().Draw(rt, "resumable")
		attempts := rapid.IntRange(1, 3).Draw(rt, "attempts")
		plan := rapid.SliceOfN(rapid.SampledFrom(behaviours), 1, 8).Draw(rt, "plan")
		wrong := ""
		synctest.Test(t, func(*testing.T) {
			f := &fleet{plan: plan, ranAt: map[string]bool{}}
			d, _ := newDispatcher(f)
			req := testRequest(kind, resumable, attempts)
			ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
			defer cancel()
			out := &recorder{}
			_, err := d.Run(ctx, req, out)
			cancel()
			synctest.Wait()
			wrong = violation(f, req, out, err)
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// violation describes the invariant that an outcome violates, "" if there is none.
func violation(f *fleet, req *Request, out *recorder, err error) string {
	switch {
	case time.Now().After(req.Deadline.Add(time.Millisecond)):
		return fmt.Sprintf("answered %v after the deadline", time.Since(req.Deadline))
	case !req.Route.Repeatable() && f.runs > 1:
		return fmt.Sprintf("ran %d times", f.runs)
	case len(f.ranAt) > req.Route.Attempts:
		return fmt.Sprintf("ran on %d replicas of %d", len(f.ranAt), req.Route.Attempts)
	case err != nil:
		return violationOnError(f, out, err)
	case out.wrote != 1:
		return fmt.Sprintf("%d answers", out.wrote)
	case out.status != http.StatusOK && out.status != http.StatusInternalServerError:
		return fmt.Sprintf("status %d", out.status)
	case out.status == http.StatusOK && out.body != wholeBody && out.body != wholeStream():
		return fmt.Sprintf("success with %q", out.body)
	default:
		return ""
	}
}

func violationOnError(f *fleet, out *recorder, err error) string {
	if errkind.From(err).Kind.Answer().Run == errkind.NotRun && f.runs > 0 {
		return fmt.Sprintf("%v, but it ran", err)
	}
	if out.body == wholeBody {
		return fmt.Sprintf("a whole answer and an error: %v", err)
	}
	return ""
}

func wholeStream() string {
	whole := ""
	for n := 1; n <= testEvents; n++ {
		whole += eventText(n)
	}
	return whole
}

// runPlan dispatches one request to a fleet with that plan.
func runPlan(t *testing.T, req func() *Request, plan ...behaviour) (*fleet, *recorder, Report, error) {
	t.Helper()
	f := &fleet{plan: plan, ranAt: map[string]bool{}}
	out := &recorder{}
	var report Report
	var err error
	synctest.Test(t, func(*testing.T) {
		d, _ := newDispatcher(f)
		r := req()
		ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
		defer cancel()
		report, err = d.Run(ctx, r, out)
		cancel()
		synctest.Wait()
	})
	return f, out, report, err
}

func resumable() *Request     { return testRequest(config.Streaming, true, 2) }
func idempotent() *Request    { return testRequest(config.Idempotent, false, 2) }
func nonIdempotent() *Request { return testRequest(config.NonIdempotent, false, 1) }

func TestBrokenStreamIsResumedElsewhere(t *testing.T) {
	_, out, report, err := runPlan(t, resumable, cutsStream, streams)
	if err != nil || strings.Count(out.body, "id: ") != testEvents || report.Resumed != 1 {
		t.Errorf("%v, %q, %+v", err, out.body, report)
	}
}

func TestUnresponsiveReplicaIsReplaced(t *testing.T) {
	_, out, report, err := runPlan(t, idempotent, hangs, answers)
	if err != nil || out.body != wholeBody || report.First > time.Second {
		t.Errorf("%v, %q, first after %v", err, out.body, report.First)
	}
}

func TestNonIdempotentRequestIsNotRetriedOnceSent(t *testing.T) {
	for _, b := range []behaviour{cutsBefore, unsealed, foreign, cutsBody} {
		f, _, report, err := runPlan(t, nonIdempotent, b, answers)
		if !errkind.Is(err, errkind.BackendLost) || f.runs != 1 || report.Sends != 1 {
			t.Errorf("%s: %v, ran %d, sent %d", b, err, f.runs, report.Sends)
		}
	}
}

func TestRefusedRequestIsRetriedElsewhere(t *testing.T) {
	f, out, _, err := runPlan(t, nonIdempotent, refuses, misdirects, unreachable, answers)
	if err != nil || out.body != wholeBody || f.runs != 1 {
		t.Errorf("%v, %q, ran %d", err, out.body, f.runs)
	}
}

// TestRefusedWeightsAreMarkedUnsure: a replica refuses the weights that it was assumed to hold
// while newer ones are requested, for example because a load command was carried out late. It
// must not be assumed to hold the newest weights either: several versions may have been
// requested since, and on a wrong guess it would refuse all further requests.
func TestRefusedWeightsAreMarkedUnsure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{otherWeights}, ranAt: map[string]bool{}}
		d, table := newDispatcher(f)
		for i := range testReplicas {
			table.Register(platform.Registration{ID: fmt.Sprintf("i-%d", i), Service: testService, Address: fmt.Sprintf("i-%d", i), Slots: 8, Weights: map[string]int64{"m": 1}}, int64(i))
		}
		table.Want("m", 2, time.Now())
		table.Want("m", 3, time.Now())
		req := nonIdempotent()
		req.Caller.Model = "m"
		if _, err := d.Run(context.Background(), req, &recorder{}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		unsure := table.Unverified(time.Now())
		if len(unsure) != 1 || unsure[0].Weights["m"] != 1 {
			t.Errorf("unsure: %+v", unsure)
		}
		for _, r := range table.Snapshot(testService, "m", 0, time.Now()) {
			if r.Weights != 1 || r.Loading != (r.ID == unsure[0].ID) {
				t.Errorf("%s is assumed to hold weights %d, loading %v", r.ID, r.Weights, r.Loading)
			}
		}
	})
}

func TestReplicaErrorIsForwarded(t *testing.T) {
	_, out, _, err := runPlan(t, idempotent, fails, fails)
	if err != nil || out.status != http.StatusInternalServerError {
		t.Errorf("%v, status %d", err, out.status)
	}
	_, out, _, err = runPlan(t, idempotent, fails, answers)
	if err != nil || out.status != http.StatusOK {
		t.Errorf("after a retry: %v, status %d", err, out.status)
	}
}

func TestExhaustedRetriesFailImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{refuses, refuses, refuses, refuses, refuses}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		began := time.Now()
		_, err := d.Run(context.Background(), nonIdempotent(), &recorder{})
		e := errkind.From(err)
		if e.Kind.Answer().Run != errkind.NotRun || e.Retry() <= 0 || time.Since(began) > 10*time.Millisecond {
			t.Errorf("%v after %v, retry after %v", err, time.Since(began), e.Retry())
		}
		synctest.Wait()
	})
}

func TestBudgetBoundsRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{fails, answers}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		d.budget = retry.NewBudget(0, time.Second, 0, 1, time.Now())
		out := &recorder{}
		_, err := d.Run(context.Background(), idempotent(), out)
		synctest.Wait()
		if err != nil || f.runs != 1 {
			t.Errorf("%v, ran %d", err, f.runs)
		}
	})
}

// TestChargedRetryIsNotChargedAgain guards against a request that is given up although the retry budget has allowed
// its retry, because no connection could be opened for it.
func TestChargedRetryIsNotChargedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{refuses, unreachable, unreachable, answers}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		d.budget = retry.NewBudget(0, time.Second, 1, 1, time.Now())
		out := &recorder{}
		report, err := d.Run(context.Background(), nonIdempotent(), out)
		synctest.Wait()
		if err != nil || f.runs != 1 || report.RetriesCharged != 1 {
			t.Errorf("%v, ran %d times, %d retries charged", err, f.runs, report.RetriesCharged)
		}
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"))
	f.Add([]byte("id: 1\ndata"))
	f.Fuzz(func(t *testing.T, data []byte) {
		er := newEventReader(strings.NewReader(string(data)))
		total := 0
		for {
			ev, err := er.next()
			if err != nil {
				if errors.Is(err, io.EOF) && strings.TrimSpace(string(data[total:])) != "" {
					t.Errorf("io.EOF with %q left", data[total:])
				}
				return
			}
			total += len(ev.data)
			if !strings.HasSuffix(string(ev.data), "\n") {
				t.Errorf("incomplete event: %q", ev.data)
			}
		}
	})
}
