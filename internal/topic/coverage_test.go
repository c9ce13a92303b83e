package topic

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/platform"
)

// live reports whether a log has a key before an offset, and the offset of its newest record.
func (h history) live(key string, end int64) (offset int64, live bool) {
	for _, rec := range h[:end] {
		if rec.Key == key {
			offset, live = rec.Offset, !rec.Removed
		}
	}
	return offset, live
}

// checkExact fails if a table that is complete differs from the log at the position that it has applied. It may
// have a newer record of a key than that.
func checkExact(t *rapid.T, name string, table *Table, log history) {
	if !table.complete {
		return
	}
	for i := range testKeys {
		key := fmt.Sprint(i)
		got, known := table.records[key]
		isLive := known && !got.Removed
		end := table.end
		if known {
			end = max(end, got.Offset+1)
		}
		if offset, want := log.live(key, end); isLive != want || isLive && got.Offset != offset {
			t.Fatalf("%s has applied all up to %d, with %+v: live in the log: %t, at %d", name, table.end, got, want, offset)
		}
	}
}

// testKeys is the number of keys in the log.
const testKeys = 6

// TestTablesMatchTheLogUpToTheirPositions guards against changes that are skipped for good: a host takes over
// another one's position with records among which a removal is missing, and passes the same gap on. Hosts
// read, list and fetch from each other, whole topics or what they miss, with answers that arrive late and in any
// order, start again, and drop old removals.
func TestTablesMatchTheLogUpToTheirPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log history
		hosts := make([]*Table, 4)
		var inFlight []func()
		start := func(i int) {
			hosts[i] = NewTable("keyed.x", func(platform.Record, Origin) {})
			hosts[i].maxRemoved = rapid.SampledFrom([]int{2, defaultMaxRemoved}).Draw(t, "removals kept")
		}
		for i := range hosts {
			start(i)
		}
		answered := func(host *Table, apply func(*Table)) { inFlight = append(inFlight, func() { apply(host) }) }
		deliver := func(i int) {
			answer := inFlight[i]
			inFlight = append(inFlight[:i], inFlight[i+1:]...)
			answer()
		}
		check := func() {
			for i, table := range hosts {
				checkExact(t, fmt.Sprint("host ", i), table, log)
			}
		}
		pick := func(name string) *Table { return hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, name)] }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, testKeys-1).Draw(t, "key"))
				log = append(log, platform.Record{Key: key, Offset: int64(len(log)), Removed: rapid.Bool().Draw(t, "removed"), Value: []byte{1}})
			},
			"list": func(*rapid.T) {
				end := len(log)
				page := platform.Page{Records: log.newest(end, false), End: int64(end)}
				answered(pick("lists"), func(host *Table) { host.Snapshot(page, true) })
			},
			"read": func(t *rapid.T) {
				host := pick("reads")
				if !host.complete {
					t.Skip("nothing applied")
				}
				from, to := host.end, len(log)
				answered(host, func(host *Table) { host.Merge(log[from:to], Position{Offset: int64(to)}, true) })
			},
			"fetch": func(t *rapid.T) {
				host, other := pick("fetches"), pick("is asked")
				if !other.complete {
					t.Skip("nothing to fetch")
				}
				since, extent := host.Position(), Changes
				if !host.complete || rapid.IntRange(0, 3).Draw(t, "whole") == 0 {
					since, extent = Position{}, Whole
				}
				records, at, covered := other.RecordsFrom(since)
				if extent != Whole && !covered {
					extent = Partial
				}
				answered(host, func(host *Table) {
					host.MergeFetched(Fetched{Records: records, At: at, Extent: extent, Since: since, Trusted: true})
				})
			},
			"deliver": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("nothing under way")
				}
				deliver(rapid.IntRange(0, len(inFlight)-1).Draw(t, "answer"))
			},
			"deliver the last": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("nothing under way")
				}
				deliver(len(inFlight) - 1)
			},
			"restart": func(t *rapid.T) { start(rapid.IntRange(0, len(hosts)-1).Draw(t, "starts")) },
			"":        func(*rapid.T) { check() },
		})
	})
}
