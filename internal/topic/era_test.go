package topic

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/platform"
)

// restorableStore is a topic of a store that is restored from copies now and then. Writers write
// again what a restoration loses.
type restorableStore struct {
	written history
	era     int64
	// newest holds the value that each writer wants its key to have, "" for a removed one.
	newest map[string]string
	copy   history
	// lost holds the keys whose newest value is missing from the store.
	lost    []string
	version int
}

func (s *restorableStore) append(key string) {
	value := s.newest[key]
	s.written = append(s.written, platform.Record{Key: key, Offset: int64(len(s.written)), Removed: value == "", Value: []byte(value), Era: s.era})
}

func (s *restorableStore) write(key string, removed bool) {
	s.version++
	s.newest[key] = strconv.Itoa(s.version)
	if removed {
		s.newest[key] = ""
	}
	s.append(key)
}

func (s *restorableStore) restore() {
	s.written = slices.Clone(s.copy)
	s.era++
	s.lost = nil
	held := map[string]string{}
	for _, rec := range s.written {
		held[rec.Key] = string(rec.Value)
	}
	for _, key := range slices.Sorted(maps.Keys(s.newest)) {
		if held[key] != s.newest[key] {
			s.lost = append(s.lost, key)
		}
	}
}

// writeAgain writes the newest value of some lost key.
func (s *restorableStore) writeAgain(i int) {
	if len(s.lost) > 0 {
		i %= len(s.lost)
		s.append(s.lost[i])
		s.lost = slices.Delete(s.lost, i, i+1)
	}
}

func (s *restorableStore) page() platform.Page {
	return platform.Page{Records: s.written.newest(len(s.written), false), End: int64(len(s.written)), Era: s.era}
}

// readInto reads the topic as a follower does.
func (s *restorableStore) readInto(table *Table) {
	at := table.Position()
	if at.Era != s.era || at.Offset > int64(len(s.written)) || !table.Synced() {
		table.Snapshot(s.page(), true)
		return
	}
	table.Merge(s.written[at.Offset:], Position{s.era, int64(len(s.written))}, true)
}

// fetchFrom fetches the records of another host, as hosts do when heartbeats show that it has more.
func fetchFrom(table, other *Table) {
	if !other.Synced() {
		return
	}
	mine, its := table.Position(), other.Position()
	whole := !table.Synced() || mine.Era != its.Era || other.Retained() > table.Retained()
	from, extent := mine, Changes
	if whole {
		from, extent = Position{}, Whole
	}
	records, at, covered := other.RecordsFrom(from)
	if !whole && !covered {
		extent = Partial
	}
	table.MergeFetched(Fetched{Records: records, At: at, Extent: extent, Since: mine, Trusted: true})
}

func versionOf(rec platform.Record) int {
	n, _ := strconv.Atoi(string(rec.Value))
	return n
}

// TestRecordsNeverGoBackWhenTheStoreIsRestored guards against offsets that a restored store assigns
// again: records at offsets applied before were ignored, and those of the copy could replace newer
// ones. Hosts read the store, fetch records from each other and start at any time, some of them with
// an older era or with old answers of the store. No key goes back on any host, and once all lost
// records are written again, all hosts have them.
func TestRecordsNeverGoBackWhenTheStoreIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &restorableStore{newest: map[string]string{}}
		var tables []*Table
		var inForce []map[string]int
		newHost := func() {
			applied := map[string]int{}
			table := NewTable("keyed.x", func(rec platform.Record, _ Origin) {
				if rec.Removed || versionOf(rec) < applied[rec.Key] {
					t.Fatalf("key %s went from %d back to %+v", rec.Key, applied[rec.Key], rec)
				}
				applied[rec.Key] = versionOf(rec)
			})
			table.RetainLost = true
			table.IsOlder = func(rec, than platform.Record) bool { return versionOf(rec) < versionOf(than) }
			tables, inForce = append(tables, table), append(inForce, applied)
		}
		for range 3 {
			newHost()
		}
		var late []platform.Page
		pick := func(t *rapid.T, name string) *Table { return tables[rapid.IntRange(0, len(tables)-1).Draw(t, name)] }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) { s.write(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), false) },
			"copy":  func(*rapid.T) { s.copy = slices.Clone(s.written) },
			"restore": func(*rapid.T) {
				late = append(late, s.page())
				s.restore()
			},
			"write again": func(t *rapid.T) { s.writeAgain(rapid.IntRange(0, 9).Draw(t, "lost")) },
			"read":        func(t *rapid.T) { s.readInto(pick(t, "reader")) },
			"late answer": func(t *rapid.T) {
				if table := pick(t, "reader"); len(late) > 0 {
					page := late[rapid.IntRange(0, len(late)-1).Draw(t, "answer")]
					if page.Era < table.Position().Era {
						table.Snapshot(page, true)
					}
				}
			},
			"fetch": func(t *rapid.T) { fetchFrom(pick(t, "host"), pick(t, "other")) },
			"start": func(*rapid.T) {
				if len(tables) < 6 {
					newHost()
				}
			},
		})
		for len(s.lost) > 0 {
			s.writeAgain(0)
		}
		for i, table := range tables {
			s.readInto(table)
			for key, want := range s.newest {
				if got := strconv.Itoa(inForce[i][key]); got != want {
					t.Fatalf("host %d has %s of key %s, written is %s", i, got, key, want)
				}
			}
		}
	})
}

// TestRemovedEntriesStayRemovedWhenTheStoreIsRestored guards against entries that a copy brings back:
// one that was removed after the copy stays removed, one that is not in the copy counts as removed by an
// outage until it is written again, and one that is still there long after was registered again.
func TestRemovedEntriesStayRemovedWhenTheStoreIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restorableStore{newest: map[string]string{}}
		present, trusted := map[string]bool{}, map[string]bool{}
		table := NewTable("keyed.x", func(rec platform.Record, origin Origin) {
			present[rec.Key] = !rec.Removed
			trusted[rec.Key] = origin.Trusted
		})
		s.write("gone", false)
		s.write("alive", false)
		s.copy = slices.Clone(s.written)
		s.readInto(table)
		s.write("gone", true)
		s.write("late", false)
		s.readInto(table)
		s.restore()
		s.readInto(table)
		if present["gone"] || !present["alive"] || present["late"] || trusted["late"] {
			t.Errorf("after the restoration: present %v, trusted %v", present, trusted)
		}
		s.append("late")
		s.readInto(table)
		if !present["late"] {
			t.Error("the entry that was written again is missing")
		}
		time.Sleep(withheldTime / 2)
		table.ReleaseWithheld(time.Now())
		if present["gone"] {
			t.Error("a removed entry came back with the copy")
		}
		time.Sleep(withheldTime)
		table.ReleaseWithheld(time.Now())
		if !present["gone"] {
			t.Error("an entry that stays in the store is not used")
		}
	})
}

// TestEntryWrittenAgainUnderAnEarlierValueIsUsed guards against a server that stays unknown although it
// renews its entry: an entry of another writer had replaced its own, and each renewal after the
// restoration, under the value before, was withheld anew.
func TestEntryWrittenAgainUnderAnEarlierValueIsUsed(t *testing.T) {
	s := &restorableStore{newest: map[string]string{}}
	last := ""
	table := NewTable("keyed.x", func(rec platform.Record, _ Origin) { last = string(rec.Value) })
	s.newest["server"] = "entry"
	s.append("server")
	s.copy = slices.Clone(s.written)
	s.readInto(table)
	s.newest["server"] = "malformed"
	s.append("server")
	s.readInto(table)
	s.restore()
	s.readInto(table)
	if last != "malformed" {
		t.Errorf("the copy's entry is applied: %q", last)
	}
	s.newest["server"] = "entry"
	s.append("server")
	s.readInto(table)
	if last != "entry" {
		t.Errorf("the entry written again is not applied: %q", last)
	}
}

// TestFollowerReadsRestoredStore guards against a follower that keeps reading from an offset of the
// era before: neither an offset that the restored store does not have nor one that it has assigned
// again may keep new records from being applied.
func TestFollowerReadsRestoredStore(t *testing.T) {
	for name, kept := range map[string]int{"shorter": 1, "as long": 3, "longer": 5} {
		synctest.Test(t, func(t *testing.T) {
			reader := &fakeReader{written: history{put("a", 0), put("b", 1), put("c", 2)}}
			var present flags
			table := NewTable("keyed.x", func(rec platform.Record, _ Origin) { present.set(rec.Key, !rec.Removed) })
			access := NewAccess(0, quietLog())
			table.OnRestored = func(int64) { access.Restored(time.Now()) }
			f := &Follower{Store: reader, Table: table, Access: access, Wait: 20 * time.Second, Log: quietLog()}
			f.StoreEra = reader.currentEra
			defer start(f)()
			time.Sleep(time.Second)
			reader.change(func() {
				reader.era++
				reader.written = history{put("a", 0), put("x", 1), put("y", 2), put("z", 3), put("w", 4)}[:kept]
			})
			access.Restored(time.Now())
			time.Sleep(time.Second)
			if kept > 1 && !present.is("x") {
				t.Errorf("%s: present 1 s after the restoration: %v", name, present.m)
			}
			reader.change(func() { reader.written = append(reader.written, put("new", kept)) })
			time.Sleep(21 * time.Second)
			if !present.is("a") || !present.is("new") || kept > 1 && !present.is("x") {
				t.Errorf("%s: present %v", name, present.m)
			}
		})
	}
}

// restoredReader answers a waiting read only when it is released, as a store does that is restored
// from a copy while the read waits.
type restoredReader struct {
	*fakeReader
	waiting, release chan struct{}
}

func (r *restoredReader) Read(ctx context.Context, name string, from int64, wait time.Duration) (platform.Page, error) {
	select {
	case r.waiting <- struct{}{}:
		<-r.release
		return r.fakeReader.Read(ctx, name, from, 0)
	default:
		return r.fakeReader.Read(ctx, name, from, wait)
	}
}

// TestReadSentBeforeRestorationLeavesNoGap guards against records that are never applied: a read that
// was sent in the era before is answered from its offset in the new one, in which this host has only the
// records before that offset which another host had at the time.
func TestReadSentBeforeRestorationLeavesNoGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &restoredReader{&fakeReader{written: history{put("a", 0), put("b", 1), put("c", 2)}}, make(chan struct{}), make(chan struct{})}
		var present flags
		table := NewTable("keyed.x", func(rec platform.Record, _ Origin) { present.set(rec.Key, !rec.Removed) })
		f := &Follower{Store: reader, Table: table, Access: NewAccess(0, quietLog()), Wait: 20 * time.Second, Log: quietLog()}
		f.StoreEra = reader.currentEra
		defer start(f)()
		<-reader.waiting
		reader.change(func() {
			reader.era++
			reader.written = history{put("a", 0), put("x", 1), put("y", 2), put("z", 3)}
		})
		first := put("a", 0)
		first.Era = 1
		table.MergeFetched(Fetched{Records: []platform.Record{first}, At: Position{1, 1}, Extent: Whole, Trusted: true})
		close(reader.release)
		time.Sleep(time.Second)
		for _, key := range []string{"a", "x", "y", "z"} {
			if !present.is(key) {
				t.Errorf("%s is not applied", key)
			}
		}
	})
}

// TestLateReadIsNotReportedAsFresh guards against hosts that skip reads because another one seems to
// have read the topic: an answer of the era before, which arrives after that host began the new one with
// the records of a third host, says nothing of the new era.
func TestLateReadIsNotReportedAsFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &restoredReader{&fakeReader{written: history{put("a", 0), put("b", 1)}}, make(chan struct{}), make(chan struct{})}
		table := NewTable("keyed.x", func(platform.Record, Origin) {})
		reads := 0
		f := &Follower{Store: reader, Table: table, Access: NewAccess(0, quietLog()), Wait: 20 * time.Second, Gap: time.Minute, Log: quietLog()}
		f.OnRead = func() { reads++ }
		defer start(f)()
		<-reader.waiting
		first := put("a", 0)
		first.Era = 1
		table.MergeFetched(Fetched{Records: []platform.Record{first}, At: Position{1, 1}, Extent: Whole, Trusted: true})
		time.Sleep(5 * time.Second)
		before, age := reads, table.Age(time.Now())
		close(reader.release)
		time.Sleep(time.Second)
		if reads != before || table.Age(time.Now()) < age {
			t.Errorf("%d reads reported, the last %v ago; want %d, at least %v ago", reads, table.Age(time.Now()), before, age)
		}
	})
}
