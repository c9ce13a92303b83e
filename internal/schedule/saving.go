package schedule

import (
	"time"

	"github.com/briarlink/briarlink/internal/mechanism"
)

const (
	// minSaveTokens is the minimum number of shared tokens worth saving in the store.
	minSaveTokens = 32
	// maxSaveWait is the backlog of transfers at the store up to which more is saved there. It
	// is limited because fetches wait behind saves.
	maxSaveWait = 150 * time.Millisecond
	// maxIdleSaveWait is the same limit for prompts that are not known to be requested again:
	// they are saved only while the store's link is almost idle.
	maxIdleSaveWait = 30 * time.Millisecond
)

// worthSaving reports whether the prompt should be saved: the store lacks enough of its
// shared prefix blocks, and its backlog is within the limit for how likely they are to be
// requested again.
func (s *Scheduler) worthSaving(req *Request, c *Choice, now time.Time) bool {
	if req.Store == nil || !s.StoreUp(req.Store.Address) || len(c.prompt.Blocks) == 0 {
		return false
	}
	held, _ := s.index.Held(req.Store.Address, c.prompt, now)
	if c.Shared-held < minSaveTokens {
		return false
	}
	limit := maxIdleSaveWait
	if s.reuse.likely(c.sharingScope, c.stablePrefix, now) {
		limit = maxSaveWait
	} else if s.Off[mechanism.IdleSaves] {
		return false
	}
	return s.links.wait(req.Store.Address, now) <= limit
}
