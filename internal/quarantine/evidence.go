package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// minAnsweredEpisodes is the number of crash episodes from which a request is refused that was answered
	// before: an outage ends many servers at once, and a popular request runs on several of them.
	minAnsweredEpisodes = maxCrashes
	// minBlockEpisodes is the number of crash episodes from which requests with a prefix block are
	// refused. It is higher than maxCrashes, as a block is refused to all requests that share it.
	minBlockEpisodes = 4
	// minAnsweredBlockEpisodes is the same for a block that was in answered requests before. It also
	// takes minOtherAnswers answers of this host to other requests since the first of the crashes.
	minAnsweredBlockEpisodes = 5
	minOtherAnswers          = 4
	// manyOtherAnswers is the same if some of the crashes were before the start of this host.
	manyOtherAnswers = 32
	// minUnansweredCrashes is the number of crashes in fewer episodes, as of many such requests at once,
	// after which a block is refused if no request with it was ever answered, nor is one within
	// unansweredTime: other servers answer what an outage interrupted.
	minUnansweredCrashes = 5
	unansweredTime       = 2500 * time.Millisecond
	// minOwnCrashes is the number of crashes that the blocks which a request does not have must leave
	// unexplained.
	minOwnCrashes = 2
	// minIndependentCrashes is the number of crashes of its own from which a block counts as a cause beside
	// one with more crashes.
	minIndependentCrashes = 3
	// maxOtherCauses is the number of other blocks that are taken to explain a block's crashes.
	maxOtherCauses = 2
	// warmUp is how long after its start a host does not take a block for one that was never answered,
	// unless it has received warmUpAnswers since: all hosts may have lost power, and with it what was
	// answered.
	warmUp        = 10 * time.Second
	warmUpAnswers = 48
	// episodeLength is the time within which crashes count as one episode: an outage ends many servers
	// at once, with equal requests, or requests that share blocks, on all of them.
	episodeLength = 250 * time.Millisecond
)

// attributedCrashes returns the crashes of a request or block that nothing else explains better. A
// server runs many requests when it crashes: what crashed several other servers is the cause, and
// what was running beside it is not. A block that crashes servers by itself may run beside another one
// that does.
func (t *Table) attributedCrashes(d Digest, r *record) []time.Time {
	var own, all []time.Time
	for server, at := range r.crashes {
		all = append(all, at)
		if !t.explainedByAnother(d, r, server) {
			own = append(own, at)
		}
	}
	if r.block && !r.everAnswered() && len(own) >= minIndependentCrashes {
		return all
	}
	return own
}

// explainedByAnother reports whether something else that was running on a server when it crashed is
// the more likely cause.
func (t *Table) explainedByAnother(d Digest, r *record, server Server) bool {
	for other, o := range t.records {
		if _, ran := o.crashes[server]; ran && other != d && o.explains(r) {
			return true
		}
	}
	return false
}

// explains reports whether r is a more likely cause than other of a crash that both were running in.
func (r *record) explains(other *record) bool {
	n, m := len(r.crashes), len(other.crashes)
	switch {
	case r.block && other.block && r.everAnswered() != other.everAnswered():
		// A block that was answered before may be in all requests of a caller. Two crashes under a
		// block that never was are hardly a coincidence.
		return other.everAnswered() && n >= minSavedCrashes
	case !r.block && other.block:
		// The whole request is the narrower cause.
		return n >= m
	case r.block && other.refusing:
		// The refused request runs nowhere, while a block of many requests goes on to be in crashes of other causes.
		return n > m && r.refusing
	default:
		return n > m
	}
}

func (r *record) everAnswered() bool { return !r.answered.IsZero() }

// episodes returns the number of separate episodes that crashes belong to.
func episodes(crashes []time.Time) int {
	slices.SortFunc(crashes, time.Time.Compare)
	n := 0
	var began time.Time
	for _, at := range crashes {
		if n == 0 || at.Sub(began) >= episodeLength {
			n++
			began = at
		}
	}
	return n
}

// verdict is what the crashes of a request or block show. It is kept until a record changes.
type verdict struct {
	// attributed is the number of crashes that nothing else explains better, in as many episodes, of
	// which episodesHere were after the start of this host.
	attributed, episodes, episodesHere int
	newest                             time.Time
}

// refused returns the number of crashes attributed to a request or block if it is to be refused, or
// else 0.
func (t *Table) refused(d Digest, r *record, now time.Time) int {
	if len(r.crashes) < maxCrashes {
		return 0
	}
	if r.judgedAt != t.changes {
		r.judgedAt, r.verdict = t.changes, t.judge(d, r)
	}
	v := r.verdict
	if v.attributed < maxCrashes || now.Sub(v.newest) >= refusalDuration || !t.proven(r, now) {
		return 0
	}
	return v.attributed
}

func (t *Table) judge(d Digest, r *record) verdict {
	attributed := t.attributedCrashes(d, r)
	v := verdict{attributed: len(attributed), episodes: episodes(attributed)}
	v.episodesHere = episodes(slices.DeleteFunc(attributed, func(at time.Time) bool { return at.Before(t.started) }))
	for _, at := range r.crashes {
		if at.After(v.newest) {
			v.newest = at
		}
	}
	return v
}

// proven reports whether the crashes of a request or block cannot be the consequence of an outage.
func (t *Table) proven(r *record, now time.Time) bool {
	if r.block {
		return t.blockProven(r, now)
	}
	return !r.everAnswered() || r.verdict.episodes >= minAnsweredEpisodes
}

// blockProven reports whether the crashes are enough to refuse a prefix block to all requests.
func (t *Table) blockProven(r *record, now time.Time) bool {
	v := r.verdict
	if r.refusedBefore && v.attributed >= minBlockEpisodes {
		return true
	}
	if r.everAnswered() || now.Sub(t.started) < warmUp && t.answers < warmUpAnswers {
		// Where nothing is answered, the servers end for another reason. Crashes before the start may have
		// been followed by answers that are not remembered.
		others := t.answers - r.answersBefore
		return v.episodesHere >= minAnsweredBlockEpisodes && others >= minOtherAnswers ||
			v.episodes >= minAnsweredBlockEpisodes && others >= manyOtherAnswers
	}
	return v.episodes >= minBlockEpisodes || v.attributed >= minUnansweredCrashes && now.Sub(v.newest) >= unansweredTime
}

// refusedBlock returns the index of the block because of which a request is to be refused, and the
// number of crashes attributed to that block.
func (t *Table) refusedBlock(blocks []Digest, now time.Time) (index, crashes int) {
	for i, d := range blocks {
		r := t.records[d]
		if r == nil {
			continue
		}
		// A host of an earlier version does not pass on that the digest is that of a block.
		if !r.block {
			r.block = true
			t.changes++
		}
		n := t.refused(d, r, now)
		t.setRefusing(d, r, n)
		if n > 0 && t.mayCrash(blocks, r) {
			return i, n
		}
	}
	return -1, 0
}

// mayCrash reports whether a request with a refused block is expected to crash a server: two blocks
// that the request does not have leave minOwnCrashes of the block's crashes unexplained. The request
// shows otherwise which of them is the cause. A block that all requests of a caller begin with has the
// crashes of all blocks that may follow it.
func (t *Table) mayCrash(blocks []Digest, r *record) bool {
	unexplained := maps.Clone(r.crashes)
	for range maxOtherCauses {
		o := t.likeliestOther(blocks, r, unexplained)
		if o == nil {
			break
		}
		for server := range o.crashes {
			delete(unexplained, server)
		}
	}
	return len(unexplained) >= minOwnCrashes
}

// likeliestOther returns the block, not among the given ones, that explains most of the crashes in
// place of r, or nil if none explains minSavedCrashes of them.
func (t *Table) likeliestOther(blocks []Digest, r *record, crashes map[Server]time.Time) *record {
	var best *record
	var bestDigest Digest
	most := minSavedCrashes - 1
	for d, o := range t.records {
		if !o.block || o == r || len(o.crashes) < most || o.everAnswered() != r.everAnswered() || slices.Contains(blocks, d) {
			continue
		}
		if n := o.sharedCrashes(crashes); n > most || n == most && best != nil && d < bestDigest {
			best, bestDigest, most = o, d, n
		}
	}
	return best
}

func (r *record) sharedCrashes(crashes map[Server]time.Time) int {
	n := 0
	for server := range r.crashes {
		if _, ran := crashes[server]; ran {
			n++
		}
	}
	return n
}
