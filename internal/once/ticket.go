package once

import (
	"github.com/looplab/fsm"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/statemachine"
)

// States of a claim as its claimant sees it.
const (
	StatePending    = "pending"
	StateWon        = "won"
	StateDispatched = "dispatched"
	StateLost       = "lost"
	StateAbandoned  = "abandoned"
	StateReleased   = "released"
	StateSettled    = "settled"
)

const (
	eventWin      = "win"
	eventLose     = "lose"
	eventAbandon  = "abandon"
	eventDispatch = "dispatch"
	eventRelease  = "release"
	eventSettle   = "settle"
)

// maxOutcomeBytes is how much of an answer's body is kept on the log.
const maxOutcomeBytes = 4 << 10

// newMachine returns the state machine of one claim. Dispatched is reached only
// from won, and only once.
func newMachine() *fsm.FSM {
	return fsm.NewFSM(StatePending, fsm.Events{
		{Name: eventWin, Src: []string{StatePending}, Dst: StateWon},
		{Name: eventLose, Src: []string{StatePending}, Dst: StateLost},
		{Name: eventAbandon, Src: []string{StatePending}, Dst: StateAbandoned},
		{Name: eventDispatch, Src: []string{StateWon}, Dst: StateDispatched},
		{Name: eventRelease, Src: []string{StateWon, StateDispatched, StateAbandoned}, Dst: StateReleased},
		{Name: eventSettle, Src: []string{StateDispatched}, Dst: StateSettled},
	}, fsm.Callbacks{})
}

// Diagram returns the state machine of a claim as a Mermaid diagram.
func Diagram() string { return statemachine.Diagram(newMachine()) }

// Ticket is the right to dispatch one request once.
type Ticket struct {
	c *Claimer
	w *waiter
}

// Dispatch takes the right to send the request. It returns true once.
func (t *Ticket) Dispatch() bool {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	return statemachine.Fire(t.w.machine, eventDispatch)
}

// Release gives the key back after a request that surely did not run.
func (t *Ticket) Release() {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.c.release(t.w)
}

func (c *Claimer) release(w *waiter) {
	if statemachine.Fire(w.machine, eventRelease) {
		c.sendRelease(w)
	}
}

func (c *Claimer) sendRelease(w *waiter) {
	rec := step(w.rec)
	rec.Step = &pb.ClaimRecord_Release{Release: &pb.ReleaseStep{}}
	c.enqueue(rec)
}

// Settle records the answer of a request that ran.
func (t *Ticket) Settle(status int, contentType string, body []byte) {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	if !statemachine.Fire(t.w.machine, eventSettle) {
		return
	}
	outcome := &pb.OutcomeStep{HttpStatus: int32(status), ContentType: contentType, Body: body}
	if len(body) > maxOutcomeBytes {
		outcome.Body = nil
		outcome.Truncated = true
	}
	rec := step(t.w.rec)
	rec.Step = &pb.ClaimRecord_Outcome{Outcome: outcome}
	t.c.enqueue(rec)
}

func step(claim *pb.ClaimRecord) *pb.ClaimRecord {
	return &pb.ClaimRecord{Organisation: claim.Organisation, Key: claim.Key, ClaimId: claim.ClaimId}
}
