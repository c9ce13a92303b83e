package logreport

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/briarlink/briarlink/internal/logline"
)

// crashMessage is the message of the line that a host writes for each backend server that crashed
// while it was running requests of this host.
const crashMessage = "replica crashed while it was running requests"

// resultLost is the result of an attempt that was lost after the request was sent.
const resultLost = "lost"

// BlockCrashes is what the logs show about one shared prefix block of requests that were running
// when backend servers crashed.
type BlockCrashes struct {
	Block string
	// Crashes is the number of servers that crashed while running requests with the block, and Requests
	// the number of these requests.
	Crashes  int
	Requests int
	// Answered is the number of requests with the block that were answered between the first and the
	// last of these crashes. A block that crashes servers has none.
	Answered int
}

type blockRecord struct {
	replicas    map[string]bool
	requests    int
	answered    int
	first, last time.Time
}

// Crashes returns the shared prefix blocks of the requests that were running when servers crashed,
// those with the most crashes first, and the number of servers that crashed.
func Crashes(logs logline.Logs) (blocks []BlockCrashes, crashed int, err error) {
	replicas := map[string]bool{}
	err = logs.Each(func(text []byte) error {
		if !logline.MayHold(text, crashMessage) {
			return nil
		}
		if h, ok := logline.ParseHead(text); ok && h.Message == crashMessage {
			replicas[h.Replica] = true
		}
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	records, err := lostBlocks(logs, replicas)
	if err != nil {
		return nil, 0, err
	}
	if err := countAnswers(logs, records); err != nil {
		return nil, 0, err
	}
	for block, r := range records {
		blocks = append(blocks, BlockCrashes{block, len(r.replicas), r.requests, r.answered})
	}
	slices.SortFunc(blocks, func(a, b BlockCrashes) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Answered, b.Answered), cmp.Compare(a.Block, b.Block))
	})
	return blocks, len(replicas), nil
}

// lostBlocks returns a record of each block of the requests that were lost at the replicas.
func lostBlocks(logs logline.Logs, replicas map[string]bool) (map[string]*blockRecord, error) {
	records := map[string]*blockRecord{}
	err := eachEnd(logs, func(end *logline.End) {
		for _, try := range end.Tries {
			if try.Result != resultLost || !replicas[try.Replica] {
				continue
			}
			for _, block := range end.Blocks {
				r := records[block]
				if r == nil {
					r = &blockRecord{replicas: map[string]bool{}, first: end.At, last: end.At}
					records[block] = r
				}
				r.replicas[try.Replica] = true
				r.requests++
				r.first, r.last = earlier(r.first, end.At), later(r.last, end.At)
			}
		}
	})
	return records, err
}

// countAnswers counts the answered requests with each block between its first and last crash.
func countAnswers(logs logline.Logs, records map[string]*blockRecord) error {
	return eachEnd(logs, func(end *logline.End) {
		if end.Outcome != "ok" {
			return
		}
		for _, block := range end.Blocks {
			if r := records[block]; r != nil && end.At.After(r.first) && end.At.Before(r.last) {
				r.answered++
			}
		}
	})
}

func eachEnd(logs logline.Logs, f func(end *logline.End)) error {
	return logs.Each(func(text []byte) error {
		end, err := logline.ParseEnd(text)
		if err == nil && end != nil {
			f(end)
		}
		return err
	})
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// CrashTable writes the first blocks as a table.
func CrashTable(w io.Writer, blocks []BlockCrashes, crashed, limit int) error {
	if _, err := fmt.Fprintf(w, "%d servers crashed while running requests\n", crashed); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "block\tcrashes\trequests\tanswered between\t")
	for _, b := range blocks[:min(limit, len(blocks))] {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t\n", b.Block, b.Crashes, b.Requests, b.Answered)
	}
	return t.Flush()
}
