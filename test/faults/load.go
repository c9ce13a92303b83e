package main

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/briarlink/briarlink/internal/entry"
	"github.com/briarlink/briarlink/internal/oai"
	"github.com/briarlink/briarlink/test/standin/caller"
	"github.com/briarlink/briarlink/test/standin/engine"
)

const (
	apiKey        = "key-of-museum"
	chatCallers   = 12
	bookCallers   = 8
	bookTries     = 25
	chatTokens    = 40
	callTimeLimit = 15 * time.Second
	refusedPause  = 200 * time.Millisecond
)

func apiKeyHash() []byte {
	sum := sha256.Sum256([]byte(apiKey))
	return sum[:]
}

// counts is what the run counts.
type counts struct {
	chats, answered, refused, mayHaveRun, atTroubled atomic.Int64
	bookings, booked                                 atomic.Int64
	// The four that must be zero.
	lost, doubled, cut, falseNotRun atomic.Int64
}

// load is the callers of the run.
type load struct {
	fleet  *fleet
	client *caller.Client
	counts counts

	mu       sync.Mutex
	notes    []string
	bookings []*booking
	prompts  map[string]int64
	// refusals counts refused chats by error kind.
	refusals map[string]int
}

func (l *load) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.notes) < 20 {
		l.notes = append(l.notes, fmt.Sprintf(format, args...))
	}
}

func newLoad(f *fleet) *load {
	l := &load{fleet: f, client: &caller.Client{Key: apiKey, HTTP: &http.Client{}}, prompts: map[string]int64{}, refusals: map[string]int{}}
	for i := range entryCount {
		l.client.Known = append(l.client.Known, callerAddress(i))
	}
	return l
}

// run sends load until ctx ends; every request begun is finished.
func (l *load) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range chatCallers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.chat(i, n)
			}
		})
	}
	for i := range bookCallers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.book(fmt.Sprintf("booking %d-%d", i, n))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// hostAnswers caches the answer to which hosts to use, as callers do.
type hostAnswers struct {
	until time.Time
	hosts []entry.HostItem
}

// host returns the index of the entry host to use.
func (l *load) host(ctx context.Context, kept *hostAnswers, hint string) (int, bool) {
	if time.Now().After(kept.until) {
		client := *l.client
		client.Known = append([]string(nil), client.Known...)
		rand.Shuffle(len(client.Known), func(i, j int) { client.Known[i], client.Known[j] = client.Known[j], client.Known[i] })
		answer, err := client.Hosts(ctx, hint)
		if err != nil || len(answer.Hosts) == 0 {
			return 0, false
		}
		kept.hosts = answer.Hosts
		kept.until = time.Now().Add(time.Duration(answer.KeepSeconds * float64(time.Second)))
	}
	for i := range entryCount {
		if callerAddress(i) == kept.hosts[0].Address {
			return i, true
		}
	}
	return 0, false
}

func (l *load) chat(callerID, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeLimit)
	defer cancel()
	kept := &hostAnswers{}
	host, ok := l.host(ctx, kept, fmt.Sprint(callerID))
	if !ok {
		time.Sleep(50 * time.Millisecond)
		return
	}
	l.counts.chats.Add(1)
	question := strings.Repeat(".", 200) + fmt.Sprintf("question %d of caller %d", n, callerID)
	req := &oai.Request{Model: "report-writer", MaxTokens: chatTokens, Messages: []oai.Message{
		{Role: "system", Content: strings.Repeat(fmt.Sprintf("history of caller %d. ", callerID), 1000)},
		{Role: "user", Content: question},
	}}
	started := time.Now()
	answer, err := l.client.Chat(ctx, callerAddress(host), req, nil)
	l.judgeChat(host, started, req, answer, err)
	if err != nil {
		// As Retry-After asks, though shorter, so that the run stays short.
		time.Sleep(refusedPause)
	}
}

func (l *load) judgeChat(host int, started time.Time, req *oai.Request, answer *caller.Answer, err error) {
	var failure *caller.Failure
	switch {
	case err == nil:
		l.counts.answered.Add(1)
		if want := wholeAnswer(req.Render()); answer.Text != want {
			l.counts.lost.Add(1)
			l.note("entry-%d: a complete answer differs: %q", host, answer.Text)
		}
	case errors.As(err, &failure):
		if failure.RunState == "not_run" {
			l.counts.refused.Add(1)
			prompt := req.Render()
			l.mu.Lock()
			l.refusals[failure.Kind]++
			l.prompts[prompt[len(prompt)-200:]] = time.Now().UnixMilli()
			l.mu.Unlock()
		} else {
			l.counts.mayHaveRun.Add(1)
		}
	case l.fleet.entries[host].troubledSince(started):
		l.counts.atTroubled.Add(1)
	default:
		l.counts.cut.Add(1)
		l.note("entry-%d: %v", host, err)
	}
}

func wholeAnswer(prompt string) string {
	var b strings.Builder
	for i := range chatTokens {
		b.WriteString(engine.Token(prompt, i))
	}
	return b.String()
}

// booking is one call that must not be repeated, with what was answered.
type booking struct {
	body string
	// confirmed: an answer said that it ran.
	confirmed bool
	// refusals holds the times of answers that said it did not.
	refusals []time.Time
}

func (l *load) book(body string) {
	b := &booking{body: body}
	l.mu.Lock()
	l.bookings = append(l.bookings, b)
	l.mu.Unlock()
	l.counts.bookings.Add(1)
	id, err := uuid.NewV7()
	if err != nil {
		panic(err)
	}
	header := http.Header{entry.HeaderKey: {id.String()}}
	kept := &hostAnswers{}
	for range bookTries {
		if l.tryBooking(b, kept, header) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// tryBooking sends the booking once and reports whether its outcome is known.
func (l *load) tryBooking(b *booking, kept *hostAnswers, header http.Header) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeLimit)
	defer cancel()
	host, ok := l.host(ctx, kept, b.body)
	if !ok {
		return false
	}
	status, _, err := l.client.Call(ctx, callerAddress(host), "/services/job-tracking/bookings", []byte(b.body), header)
	var failure *caller.Failure
	switch {
	case err == nil && status == http.StatusCreated:
		b.confirmed = true
		l.counts.booked.Add(1)
		return true
	case errors.As(err, &failure) && failure.RunState == "not_run":
		b.refusals = append(b.refusals, time.Now())
	case errors.As(err, &failure):
	default:
		// The host was killed or frozen: ask for another.
		kept.until = time.Time{}
	}
	return false
}
