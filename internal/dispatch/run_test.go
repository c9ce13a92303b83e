package dispatch

import (
	"context"
	"fmt"
	"iter"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/limit"
	"github.com/briarlink/briarlink/internal/oai"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/internal/schedule"
	_ "github.com/briarlink/briarlink/test/fixedseed"
)

// behaviour is what a fake engine does with one attempt.
type behaviour struct {
	// Open is what happens before the first event.
	Open string
	// CutAfter ends the stream after so many events; -1 completes it.
	CutAfter int
	// Silent stops sending in place of a cut.
	Silent bool
	// Resumes allows the attempt to be resumed, and cuts that again after so
	// many events; -1 completes it.
	Resumes  bool
	CutAgain int
}

var opens = []string{"ok", "ok", "ok", "unreachable", "refused", "lost before running", "lost after running", "other version"}

func drawBehaviour(t *rapid.T) behaviour {
	return behaviour{
		Open:     rapid.SampledFrom(opens).Draw(t, "open"),
		CutAfter: rapid.IntRange(-1, testTokens).Draw(t, "cut"),
		Silent:   rapid.Bool().Draw(t, "silent"),
		Resumes:  rapid.Bool().Draw(t, "resumes"),
		CutAgain: rapid.IntRange(-1, 2).Draw(t, "again"),
	}
}

const (
	testTokens   = 6
	testReplicas = 3
	testVersion  = "v1"
)

// fakeEngine plays behaviours, one an attempt, and counts executions.
type fakeEngine struct {
	plan  []behaviour
	now   behaviour
	ran   int
	wrong string
}

func token(i int) string { return fmt.Sprintf("t%d ", i) }

func (f *fakeEngine) Start(ctx context.Context, _ string, req *oai.EngineRequest) (*EngineStream, error) {
	f.now = f.plan[0]
	f.plan = f.plan[1:]
	for i, text := range req.Generated {
		if text != token(i) {
			f.wrong = fmt.Sprintf("continued after %q as token %d", text, i)
		}
	}
	switch f.now.Open {
	case "unreachable":
		return nil, errkind.New(errkind.BackendUnreachable, "")
	case "refused":
		return nil, errkind.New(errkind.BackendRefused, "")
	case "lost before running":
		return nil, errkind.New(errkind.BackendLost, "")
	}
	f.ran++
	if f.now.Open == "lost after running" {
		return nil, errkind.New(errkind.BackendLost, "")
	}
	return f.stream(ctx, len(req.Generated), f.now.CutAfter), nil
}

func (f *fakeEngine) Resume(ctx context.Context, _, _ string, from int) (*EngineStream, error) {
	if !f.now.Resumes {
		return nil, errkind.New(errkind.BackendError, "no such attempt")
	}
	return f.stream(ctx, from, f.now.CutAgain), nil
}

func (f *fakeEngine) Cancel(string, string) {}

func (f *fakeEngine) stream(ctx context.Context, from, cutAfter int) *EngineStream {
	version := testVersion
	if f.now.Open == "other version" {
		version = "v0"
	}
	return &EngineStream{Incarnation: 1, Version: version, Close: func() {}, Events: f.events(ctx, from, cutAfter)}
}

func (f *fakeEngine) events(ctx context.Context, from, cutAfter int) iter.Seq2[EngineEvent, error] {
	return func(yield func(EngineEvent, error) bool) {
		if f.now.Open == "other version" {
			f.wrong = "the answer of another weights version was read"
		}
		for i := from; i <= testTokens; i++ {
			if i-from == cutAfter {
				f.cut(ctx, yield)
				return
			}
			choice := oai.Choice{Text: token(i)}
			if i == testTokens {
				reason := "stop"
				choice = oai.Choice{FinishReason: &reason}
			}
			if !yield(EngineEvent{Index: i, Chunk: oai.Chunk{Choices: []oai.Choice{choice}}}, nil) {
				return
			}
		}
		yield(EngineEvent{Done: true}, nil)
	}
}

func (f *fakeEngine) cut(ctx context.Context, yield func(EngineEvent, error) bool) {
	if f.now.Silent {
		<-ctx.Done()
	}
	yield(EngineEvent{}, errkind.New(errkind.BackendLost, "cut"))
}

// recorder is a sink that checks order.
type recorder struct {
	text  strings.Builder
	next  int
	wrong string
}

func (r *recorder) Token(index int, text string) error {
	if index != r.next {
		r.wrong = fmt.Sprintf("token %d in place of %d", index, r.next)
	}
	r.next++
	r.text.WriteString(text)
	return nil
}

func wholeText() string {
	var b strings.Builder
	for i := range testTokens {
		b.WriteString(token(i))
	}
	return b.String()
}

func newTestDispatcher(engine Engine) *Dispatcher {
	index := prefix.NewIndex(1000)
	table := replica.NewTable(index, time.Hour)
	specs := map[string]*pb.BackendServer{}
	for i := range testReplicas {
		specs[fmt.Sprintf("r%d", i)] = &pb.BackendServer{Address: "127.0.0.1:1", Model: "m"}
	}
	table.Configure(specs, nil)
	for id := range specs {
		table.Report(id, &pb.PollResponse{Incarnation: 1, Model: "m", Version: testVersion, PrefillUsPerPiece: 1000}, time.Now())
	}
	return New(engine, schedule.New(table, index, route.NewPipeline(route.Policy{})), limit.NewRetryBudget(1), time.Second)
}

func TestAnswersAgainstExecutions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := make([]behaviour, maxAttempts)
		for i := range plan {
			plan[i] = drawBehaviour(rt)
		}
		repeatable := rapid.Bool().Draw(rt, "repeatable")
		engine, sink := &fakeEngine{plan: plan}, &recorder{}
		var err error
		var result Result
		synctest.Test(t, func(t *testing.T) {
			job := &Job{Organisation: "o", Engine: oai.EngineRequest{MaxTokens: testTokens, Version: testVersion}, Prompt: schedule.Prompt{Model: "m", Version: testVersion}, Repeatable: repeatable}
			result, err = newTestDispatcher(engine).Run(t.Context(), job, sink)
		})
		judge(rt, engine, sink, repeatable, result, err)
	})
}

func judge(t *rapid.T, engine *fakeEngine, sink *recorder, repeatable bool, result Result, err error) {
	for _, wrong := range []string{engine.wrong, sink.wrong} {
		if wrong != "" {
			t.Fatal(wrong)
		}
	}
	if !strings.HasPrefix(wholeText(), sink.text.String()) {
		t.Fatalf("the caller got %q", sink.text.String())
	}
	if err == nil && (sink.text.String() != wholeText() || result.Text != wholeText() || result.FinishReason == "") {
		t.Fatalf("a complete answer holds %q", result.Text)
	}
	if !repeatable && engine.ran > 1 {
		t.Fatalf("a request that must not be repeated ran %d times", engine.ran)
	}
	if err != nil && errkind.From(err).Kind.Answer().Run == errkind.NotRun && engine.ran > 0 {
		t.Fatalf("answered %v after %d executions", err, engine.ran)
	}
}

func TestGivenUpAtOnce(t *testing.T) {
	for _, first := range []behaviour{{Open: "ok", Silent: true}, {Open: "ok", CutAfter: 2, Silent: true}, {Open: "unreachable"}} {
		synctest.Test(t, func(t *testing.T) {
			engine := &fakeEngine{plan: []behaviour{first, first, first, first}}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			started := time.Now()
			job := &Job{Engine: oai.EngineRequest{MaxTokens: testTokens, Version: testVersion}, Prompt: schedule.Prompt{Model: "m", Version: testVersion}}
			_, err := newTestDispatcher(engine).Run(ctx, job, &recorder{})
			if err == nil {
				t.Fatal("no error")
			}
			// The idle time of one second is the last thing waited for.
			if took := time.Since(started); took > time.Second {
				t.Errorf("%+v: the final answer took %s", first, took)
			}
		})
	}
}

func TestDeadlineEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{plan: []behaviour{{Open: "ok", CutAfter: 2, Silent: true}}}
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		started := time.Now()
		job := &Job{Engine: oai.EngineRequest{MaxTokens: testTokens, Version: testVersion}, Prompt: schedule.Prompt{Model: "m", Version: testVersion}, Repeatable: true}
		_, err := newTestDispatcher(engine).Run(ctx, job, &recorder{})
		if !errkind.Is(err, errkind.DeadlineExceeded) || time.Since(started) != 300*time.Millisecond {
			t.Errorf("%v after %s", err, time.Since(started))
		}
	})
}
