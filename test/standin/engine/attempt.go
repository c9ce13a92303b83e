package engine

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/internal/oai"
	"github.com/briarlink/briarlink/internal/prefix"
)

// attempt is one execution. Its tokens are produced whether or not anybody
// reads them, until it is cancelled.
type attempt struct {
	s           *Server
	req         *oai.EngineRequest
	incarnation uint64
	ctx         context.Context
	cancel      context.CancelFunc

	mu     sync.Mutex
	tokens []string
	first  int
	usage  oai.Usage
	done   bool
	failed bool
	grown  chan struct{}
}

// start begins an execution, or returns nil when the engine takes no new work.
func (s *Server) start(req *oai.EngineRequest) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Plan().Leaving || s.loading || req.Version != s.version || req.Model != s.cfg.Model {
		return nil
	}
	a := &attempt{s: s, req: req, incarnation: s.incarnation, first: len(req.Generated), grown: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancel(s.alive)
	s.attempts[req.AttemptID] = a
	if len(req.Generated) == 0 {
		s.runs[req.Prompt[max(0, len(req.Prompt)-200):]]++
	}
	go a.run()
	return a
}

func (a *attempt) run() {
	s := a.s
	chain := prefix.Chain(a.req.CacheSalt, a.req.Prompt, s.cfg.PieceBytes, 0)
	cached := s.enqueue(chain)
	ok := a.compute(len(chain) - cached)
	s.dequeue(chain, len(chain)-cached, ok)
	if ok {
		a.decode(cached)
	}
	a.end()
	time.AfterFunc(keepAttempts, func() { s.drop(a.req.AttemptID) })
}

func (s *Server) drop(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, id)
}

// enqueue counts the cached pieces and queues the rest for prefill.
func (s *Server) enqueue(chain []prefix.Hash) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	cached := s.cache.match(chain)
	s.queued += len(chain) - cached
	s.running++
	return cached
}

func (s *Server) dequeue(chain []prefix.Hash, pieces int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued -= pieces
	if !ok {
		return
	}
	for _, h := range chain {
		if s.cache.add(h) {
			s.publish(h, false)
		}
	}
}

// compute takes the time of prefill, one request at a time.
func (a *attempt) compute(pieces int) bool {
	select {
	case a.s.prefill <- struct{}{}:
		defer func() { <-a.s.prefill }()
	case <-a.ctx.Done():
		return false
	}
	return a.sleep(time.Duration(pieces) * a.s.cfg.Prefill)
}

func (a *attempt) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-a.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (a *attempt) decode(cached int) {
	total := len(a.req.Prompt)
	a.mu.Lock()
	a.usage = oai.Usage{
		PromptTokens: total,
		Details:      oai.PromptDetails{CachedTokens: cached * a.s.cfg.PieceBytes},
	}
	a.mu.Unlock()
	for i := a.first; i < a.req.MaxTokens; i++ {
		if !a.sleep(a.s.cfg.Decode) {
			return
		}
		a.push(Token(a.req.Prompt, i))
	}
	a.mu.Lock()
	a.done = true
	a.mu.Unlock()
}

// Token is the i-th output token for prompt, the same on every engine.
func Token(prompt string, i int) string {
	return fmt.Sprintf("%04x ", xxh3.HashString(prompt+strconv.Itoa(i))&0xffff)
}

func (a *attempt) push(token string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = append(a.tokens, token)
	a.wake()
}

func (a *attempt) wake() {
	close(a.grown)
	a.grown = make(chan struct{})
}

func (a *attempt) end() {
	a.s.mu.Lock()
	a.s.running--
	a.s.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed = !a.done
	a.wake()
}

// stream sends events from token number from on.
func (a *attempt) stream(w http.ResponseWriter, r *http.Request, from int) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Attempt-Id", a.req.AttemptID)
	h.Set("X-Engine-Incarnation", strconv.FormatUint(a.incarnation, 10))
	h.Set("X-Weights-Version", a.req.Version)
	w.WriteHeader(http.StatusOK)
	flush(w)
	for n := from; ; n++ {
		token, finished, ok := a.next(r.Context(), n)
		if !ok {
			// A cut stream ends without its last chunk.
			panic(http.ErrAbortHandler)
		}
		a.send(w, n, token, finished)
		if finished {
			fmt.Fprintf(w, "data: %s\n\n", oai.Done)
			flush(w)
			return
		}
	}
}

// next waits for token number n. finished means there are only n tokens.
func (a *attempt) next(ctx context.Context, n int) (token string, finished, ok bool) {
	for {
		a.mu.Lock()
		i := n - a.first
		have, done, failed, grown := len(a.tokens), a.done, a.failed, a.grown
		if i >= 0 && i < have {
			token = a.tokens[i]
		}
		a.mu.Unlock()
		frozen := a.s.faults.Plan().Frozen
		switch {
		case i < 0 || failed && i >= have:
			return "", false, false
		case i < have && !frozen:
			return token, false, true
		case done && i == have && !frozen:
			return "", true, true
		}
		select {
		case <-ctx.Done():
			return "", false, false
		case <-grown:
		case <-time.After(frozenPoll):
		}
	}
}

const frozenPoll = 50 * time.Millisecond

func (a *attempt) send(w http.ResponseWriter, n int, token string, finished bool) {
	chunk := oai.Chunk{ID: a.req.AttemptID, Object: "text_completion", Choices: []oai.Choice{{Text: token}}}
	if finished {
		reason := "stop"
		chunk.Choices[0].FinishReason = &reason
	}
	if finished || n == a.first {
		usage := a.usage
		usage.CompletionTokens = n
		usage.TotalTokens = usage.PromptTokens + n
		chunk.Usage = &usage
	}
	fmt.Fprintf(w, "id: %s:%d\ndata: %s\n\n", a.req.AttemptID, n, oai.Encode(chunk))
	flush(w)
}

// flush pushes what was written; a caller that is gone shows at the next wait.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }
