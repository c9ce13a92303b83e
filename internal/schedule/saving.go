package schedule

import (
	"time"

	"github.com/briarlink/briarlink/internal/mechanism"
)

const (
	// minSave is the least number of shared tokens worth keeping in the store.
	minSave = 32
	// maxSaveWait is the longest queue of transfers at the store at which more is
	// saved there: fetches wait behind them.
	maxSaveWait = 150 * time.Millisecond
	// idleSaveWait is that queue for prompts of which nothing says that they will be
	// asked for again: they are saved while the store's link has little else to do.
	idleSaveWait = 30 * time.Millisecond
)

// worthSaving reports whether the store lacks shared parts of the prompt that
// will probably be asked for again, and has time to take them.
func (s *Scheduler) worthSaving(req *Request, c *Choice, now time.Time) bool {
	if req.Store == nil || !s.StoreUp(req.Store.Address) || len(c.prompt.Parts) == 0 {
		return false
	}
	held, _ := s.index.Held(req.Store.Address, c.prompt, now)
	if c.Shared-held < minSave {
		return false
	}
	limit := idleSaveWait
	if s.reuse.likely(c.sharers, c.lasting, now) {
		limit = maxSaveWait
	} else if s.Off[mechanism.IdleSaves] {
		return false
	}
	return s.links.wait(req.Store.Address, now) <= limit
}
