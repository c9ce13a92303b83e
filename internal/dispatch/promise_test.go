package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/fairshare"
	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// reply is what a server does with one request that arrives.
type reply struct {
	status int
	// runs is set if the server runs the request; else its answer states that it did not, by a mark or by status 421.
	runs bool
	// named is set if the answer has the request's ID.
	named bool
	// wait is the time until the answer; the server begins at once.
	wait time.Duration
	// late are extra answers that come before the next one on the connection.
	late []extra
}

// extra is an answer that belongs to no request that waits for one.
type extra string

const (
	// again is a second copy of the answer before it.
	again extra = "again"
	// unnamedRejection states that a request did not run, and names none.
	unnamedRejection extra = "unnamed rejection"
	// othersRejection names a request of another host.
	othersRejection extra = "rejection of another"
)

// talkers are servers that keep their connections, and what they saw of each request by its ID.
type talkers struct {
	mu      sync.Mutex
	replies []reply
	dials   int
	runs    map[string]int
	arrived map[string]int
	// rejected counts the rejections that can only have been meant for the request: they name it, or are the first
	// answer on their connection. Nothing else came before them.
	rejected map[string]int
}

func (s *talkers) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	s.mu.Lock()
	s.dials++
	s.mu.Unlock()
	go s.serve(far)
	return near, nil
}

// next returns what is done with the next request: after the end of the list, it runs.
func (s *talkers) next() reply {
	if len(s.replies) == 0 {
		return reply{status: http.StatusOK, runs: true, named: true}
	}
	first := s.replies[0]
	s.replies = s.replies[1:]
	return first
}

func (s *talkers) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	late := ""
	for first := true; ; first = false {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(wire.Attempt)
		s.mu.Lock()
		answer := s.next()
		s.arrived[id]++
		switch {
		case answer.runs:
			s.runs[id]++
		case late == "" && (answer.named || first):
			s.rejected[id]++
		}
		s.mu.Unlock()
		time.Sleep(answer.wait)
		text := answer.text(id)
		if _, err := io.WriteString(c, late+text); err != nil {
			return
		}
		late = ""
		for _, e := range answer.late {
			late += e.text(text)
		}
	}
}

func (a reply) text(id string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n", a.status)
	if a.named {
		head += wire.Attempt + ": " + id + "\r\n"
	}
	switch {
	case a.runs:
		head += wire.Seal + ": s\r\n"
	case a.status != http.StatusMisdirectedRequest:
		head += wire.NotRun + ": 1\r\n"
	}
	return head + "Content-Length: 0\r\n\r\n"
}

func (e extra) text(before string) string {
	switch e {
	case again:
		return before
	case othersRejection:
		return reply{status: http.StatusServiceUnavailable, named: true}.text("other")
	default:
		return reply{status: http.StatusServiceUnavailable}.text("")
	}
}

// newTalkers returns a dispatcher with a number of such servers.
func newTalkers(servers int, replies ...reply) (*talkers, *Dispatcher) {
	s := &talkers{replies: replies, runs: map[string]int{}, arrived: map[string]int{}, rejected: map[string]int{}}
	d, _ := newDispatcherOf(servers, s.dial)
	return s, d
}

// delivered is the status that the caller of a request gets.
type delivered struct {
	status  int
	promise bool
	// late is set if the request's time was over.
	late   bool
	report Report
}

// send runs a request, and returns what its caller gets.
func send(d *Dispatcher, id string, kind config.Kind) delivered {
	return sendFor(d, id, kind, time.Second)
}

func sendFor(d *Dispatcher, id string, kind config.Kind, timeout time.Duration) delivered {
	req := testRequest(kind, false, 2)
	req.ID, req.Body, req.Deadline = id, []byte(id), time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	out := &recorder{}
	report, err := d.Run(ctx, req, out)
	o := delivered{status: out.status, late: ctx.Err() != nil, report: report}
	if err != nil {
		o.status = errkind.From(err).Kind.Answer().Status
	}
	o.promise = slices.Contains(promises, o.status)
	return o
}

// promises are the statuses by which a caller knows that its request did not run and never will.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// TestFailureOfARunIsNoPromise guards against a request that ran, must not run twice, and whose server's own 408, 421,
// 429 or 503 tells the caller that it did not run.
func TestFailureOfARunIsNoPromise(t *testing.T) {
	for _, status := range promises {
		synctest.Test(t, func(t *testing.T) {
			s, d := newTalkers(1, reply{status: status, runs: true, named: true})
			if o := send(d, "r", config.NonIdempotent); s.runs["r"] != 1 || o.promise || o.report.Ran != 1 {
				t.Errorf("ran %d times and was answered %d, %+v", s.runs["r"], o.status, o.report)
			}
			d.pool.Close()
		})
	}
}

// TestFailureOfARepeatableRunIsForwarded guards against a server's own answer that is replaced although nothing speaks
// against its status: the request may run again.
func TestFailureOfARepeatableRunIsForwarded(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			_, d := newTalkers(1, reply{status: status, runs: true, named: true})
			if o := send(d, "r", config.Idempotent); o.status != status {
				t.Errorf("a server's own %d was answered %d, %+v", status, o.status, o.report)
			}
			d.pool.Close()
		})
	}
}

// TestRejectionOfAnotherRequestIsNotBelieved guards against a second copy of a rejection that names no request and is
// taken for the answer to the next request on its connection, which runs.
func TestRejectionOfAnotherRequestIsNotBelieved(t *testing.T) {
	for _, status := range promises {
		synctest.Test(t, func(t *testing.T) {
			s, d := newTalkers(1, reply{status: status, late: []extra{again}})
			send(d, "first", config.NonIdempotent)
			if o := send(d, "r", config.NonIdempotent); s.runs["r"] > 0 && o.promise {
				t.Errorf("%d: ran and was answered %d, %+v", status, o.status, o.report)
			}
			d.pool.Close()
		})
	}
}

// TestFirstRejectionIsNotTakenForASecond guards against a request that is sent again to the same server, on the same
// connection, and takes a second copy of its first rejection for the answer.
func TestFirstRejectionIsNotTakenForASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d := newTalkers(1, reply{status: http.StatusServiceUnavailable, named: true, late: []extra{again, again}})
		d.Shares = fairshare.NewTable(1)
		checkSentAgain(t, s, d)
	})
}

// TestFirstRejectionIsNotTakenForThatOfASuccessor guards against the same where the request is sent again to a server that
// took over the address of the one that rejected it.
func TestFirstRejectionIsNotTakenForThatOfASuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d := newTalkers(2, reply{status: http.StatusServiceUnavailable, named: true, late: []extra{again}})
		for i := range 2 {
			d.replicas.Register(platform.Registration{ID: fmt.Sprintf("i-%d", i), Service: testService, Address: "shared", Slots: 8}, int64(2+i))
		}
		checkSentAgain(t, s, d)
	})
}

// checkSentAgain sends a request that is rejected at first, and checks that it runs once at most and that no promise is
// broken.
func checkSentAgain(t *testing.T, s *talkers, d *Dispatcher) {
	t.Helper()
	o := send(d, "r", config.NonIdempotent)
	if s.arrived["r"] < 2 {
		t.Fatalf("arrived %d times, %+v", s.arrived["r"], o.report)
	}
	if s.runs["r"] > 1 || s.runs["r"] > 0 && o.promise {
		t.Errorf("ran %d times and was answered %d, %+v", s.runs["r"], o.status, o.report)
	}
	d.pool.Close()
}

// TestRejectionIsNotTakenForThatOfARepeatedID guards against a caller that sends a rejected request again under its ID: a
// second copy of the first rejection is taken for the answer to the second request, which runs.
func TestRejectionIsNotTakenForThatOfARepeatedID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d := newTalkers(1, reply{status: http.StatusServiceUnavailable, named: true, late: []extra{again}})
		if o := send(d, "r", config.NonIdempotent); !o.promise {
			t.Errorf("rejected and answered %d, %+v", o.status, o.report)
		}
		if o := send(d, "r", config.NonIdempotent); s.runs["r"] != 1 || o.promise {
			t.Errorf("ran %d times and was answered %d, %+v", s.runs["r"], o.status, o.report)
		}
		d.pool.Close()
	})
}

// TestOnlyUnnamedRejectionsCostConnections guards against new connections for requests whose servers name what they reject,
// and against requests that were rejected without a name, on a connection of their own, and are told that they may have
// run.
func TestOnlyUnnamedRejectionsCostConnections(t *testing.T) {
	for _, named := range []bool{true, false} {
		for _, kind := range []config.Kind{config.NonIdempotent, config.Idempotent} {
			synctest.Test(t, func(t *testing.T) {
				const requests = 10
				var list []reply
				for range requests {
					list = append(list, reply{status: http.StatusServiceUnavailable, named: named})
				}
				s, d := newTalkers(1, list...)
				for i := range requests {
					if o := send(d, fmt.Sprintf("r-%d", i), kind); o.status != http.StatusServiceUnavailable {
						t.Errorf("named %t, kind %d: rejected and answered %d, %+v", named, kind, o.status, o.report)
					}
				}
				want := 1
				if kind == config.NonIdempotent && !named {
					want = requests
				}
				if s.dials != want {
					t.Errorf("named %t, kind %d: %d connections, want %d", named, kind, s.dials, want)
				}
				time.Sleep(unnamedRejectionTTL)
				if send(d, "later", kind); !named && s.dials > want+1 {
					t.Errorf("kind %d: %d connections after a minute, want %d at most", kind, s.dials, want+1)
				}
				d.pool.Close()
			})
		}
	}
}

// shortTime is the time of some requests, which some answers take as well.
const shortTime = 50 * time.Millisecond

// TestPromisesHoldWhateverServersSend guards against a request that must not run twice and is told that it did not run
// though it did, or that runs twice; and against the opposite: one that servers certainly rejected is told
// that it may have run. Servers send any answers, again, late, to others, without a name, before and after the request's
// time is over.
func TestPromisesHoldWhateverServersSend(t *testing.T) {
	replies := rapid.Custom(func(rt *rapid.T) reply {
		a := reply{runs: rapid.Bool().Draw(rt, "runs"), named: rapid.IntRange(0, 3).Draw(rt, "named") > 0}
		a.status = rapid.SampledFrom(append([]int{http.StatusOK, http.StatusInternalServerError}, promises...)).Draw(rt, "status")
		if !a.runs {
			a.status = rapid.SampledFrom(promises).Draw(rt, "rejection")
		}
		a.wait = rapid.SampledFrom([]time.Duration{0, 0, 0, shortTime - time.Millisecond, shortTime, 3 * shortTime}).Draw(rt, "wait")
		a.late = rapid.SliceOfN(rapid.SampledFrom([]extra{again, unnamedRejection, othersRejection}), 0, 2).Draw(rt, "late")
		return a
	})
	rapid.Check(t, func(rt *rapid.T) {
		list := rapid.SliceOfN(replies, 1, 12).Draw(rt, "replies")
		servers := rapid.IntRange(1, 3).Draw(rt, "servers")
		shared := rapid.Bool().Draw(rt, "shared")
		short := rapid.SliceOfN(rapid.Bool(), 8, 8).Draw(rt, "short")
		kinds := rapid.SliceOfN(rapid.SampledFrom([]config.Kind{config.NonIdempotent, config.NonIdempotent, config.Idempotent}), 2, 8).Draw(rt, "kinds")
		var wrong []string
		synctest.Test(t, func(*testing.T) {
			s, d := newTalkers(servers, list...)
			if shared {
				d.Shares = fairshare.NewTable(1)
			}
			outcomes := map[string]delivered{}
			for i, kind := range kinds {
				id := fmt.Sprintf("r-%d", i)
				timeout := time.Second
				if short[i] {
					timeout = shortTime
				}
				o := sendFor(d, id, kind, timeout)
				if kind == config.NonIdempotent {
					outcomes[id] = o
				}
			}
			d.pool.Close()
			time.Sleep(time.Second)
			synctest.Wait()
			for id, o := range outcomes {
				runs, certain := s.runs[id], s.arrived[id] == s.rejected[id]
				if runs > 1 || runs > 0 && o.promise || certain && runs == 0 && !o.promise && !o.late {
					wrong = append(wrong, fmt.Sprintf("%s arrived %d times, was certainly rejected %d times, ran %d times and was answered %d: %+v", id, s.arrived[id], s.rejected[id], runs, o.status, o.report))
				}
			}
		})
		if len(wrong) > 0 {
			rt.Fatal(strings.Join(wrong, "\n"))
		}
	})
}
