package membudget

import (
	"bytes"
	"context"
	"io"
	"slices"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// TestChooseEndsOnlySlowCallers guards against ending sound callers, ending more than is needed, and
// ending answers while slow bodies suffice.
func TestChooseEndsOnlySlowCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Entry {
			return Entry{
				Kind:     Kind(rapid.IntRange(0, 1).Draw(t, "kind")),
				Bytes:    rapid.Int64Range(1, 4<<20).Draw(t, "bytes"),
				Moved:    rapid.Int64Range(0, 64<<10).Draw(t, "moved"),
				Measured: time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "measured")),
			}
		})).Draw(t, "entries")
		excess := rapid.Int64Range(-1<<20, 16<<20).Draw(t, "excess")
		chosen := Choose(entries, excess)
		freed, answers := int64(0), false
		for n, i := range chosen {
			e := &entries[i]
			if !e.isSlow() || freed >= excess || e.Kind == Body && answers || slices.Contains(chosen[:n], i) {
				t.Fatalf("%+v was chosen at %d, %d of %d bytes were free", *e, n, freed, excess)
			}
			freed += e.Bytes
			answers = answers || e.Kind == Answer
		}
		slow := 0
		for i := range entries {
			if entries[i].isSlow() {
				slow++
			}
		}
		if freed < excess && len(chosen) < slow {
			t.Fatalf("%d of %d slow callers were ended for %d of %d bytes", len(chosen), slow, freed, excess)
		}
	})
}

// TestHeldBytesStayWithinTheBudget guards against a budget that is exceeded or that loses or
// returns bytes twice, whatever is reserved, returned and released in any order.
func TestHeldBytesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 16 << 20
		b := New(limit)
		var holds []*Hold
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			kind := Kind(rapid.IntRange(0, int(Kinds)-1).Draw(t, "kind"))
			bytes := rapid.Int64Range(0, 4<<20).Draw(t, "bytes")
			if len(holds) == 0 || rapid.Bool().Draw(t, "open") {
				holds = append(holds, b.Open(func(Kind) {}))
			}
			h := holds[rapid.IntRange(0, len(holds)-1).Draw(t, "hold")]
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				h.Reserve(kind, bytes)
			case 2:
				h.Return(kind, bytes)
			case 3:
				h.Release()
			}
			sum := int64(0)
			for _, held := range b.Held() {
				if held < 0 {
					t.Fatalf("held %v", b.Held())
				}
				sum += held
			}
			if sum > limit || sum != b.total {
				t.Fatalf("%d of %d bytes held, counted as %d", sum, int64(limit), b.total)
			}
		}
		for _, h := range holds {
			h.Release()
			h.Release()
		}
		if b.Held() != [Kinds]int64{} || len(b.holds) > 0 {
			t.Fatalf("%v held by %d after the end", b.Held(), len(b.holds))
		}
	})
}

// ended collects the kinds of ended transfers.
type ended struct{ kinds []Kind }

func (e *ended) end(k Kind) { e.kinds = append(e.kinds, k) }

// TestSlowCallersAreEndedUnderPressureOnly guards against ending a slow caller on an idle host, and
// against a caller that withholds the end of its body and so holds the budget.
func TestSlowCallersAreEndedUnderPressureOnly(t *testing.T) {
	const limit = 16 << 20
	now := time.Unix(1000, 0)
	b := New(limit)
	var slow, sound ended
	withheld := b.Open(slow.end)
	withheld.Reserve(Body, limit/4)
	withheld.Start(Body, now)
	withheld.Moved(limit/4 - 1)
	reclaim := func(duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(250 * time.Millisecond) {
			b.Reclaim(now)
		}
	}
	reclaim(time.Minute)
	if len(slow.kinds) > 0 {
		t.Fatal("a slow caller was ended on an idle host")
	}
	active := b.Open(sound.end)
	active.Start(Answer, now)
	for range 12 {
		if b.Open(sound.end).Reserve(Body, 4<<20) {
			t.Error("more than the budget was granted")
		}
		active.Moved(64 << 10)
		reclaim(250 * time.Millisecond)
	}
	if len(slow.kinds) != 1 || !withheld.Ended() || len(sound.kinds) > 0 {
		t.Errorf("ended %v and the sound %v", slow.kinds, sound.kinds)
	}
	withheld.Release()
	if !active.Reserve(Body, 4<<20) {
		t.Error("no room after the slow caller's end")
	}
	if c := b.Counts(); c.Refused[Body] != 12 || c.Ended[Body] != 1 {
		t.Errorf("%+v", c)
	}
}

// TestEndOfTransferIsNotOvertaken guards against ending a request whose transfer is over: its
// connection may already carry another one.
func TestEndOfTransferIsNotOvertaken(t *testing.T) {
	var e ended
	h := New(1 << 20).Open(e.end)
	h.Start(Body, time.Unix(0, 0))
	h.Stop()
	if h.endTransfer(Body) || len(e.kinds) > 0 || h.Ended() {
		t.Error("a transfer was ended after its end")
	}
	h.Start(Answer, time.Unix(0, 0))
	if h.endTransfer(Body) {
		t.Error("the body's end ended the answer")
	}
}

// TestAnswersWaitForRoom guards against answers that are read without room, that wait forever
// after room was returned or their request ended, and that keep small ones waiting.
func TestAnswersWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(16 << 20)
		first, large, left, small := b.Open(nil), b.Open(nil), b.Open(nil), b.Open(nil)
		if err := first.Await(t.Context(), Answer, 7<<20, func() { t.Error("waits without need") }); err != nil {
			t.Fatal(err)
		}
		granted := make(chan error, 1)
		waits := 0
		go func() { granted <- large.Await(t.Context(), Answer, 6<<20, func() { waits++ }) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := left.Await(ctx, Answer, 6<<20, func() { waits++ }); !errors.Is(err, context.DeadlineExceeded) || waits != 2 {
			t.Errorf("%v, %d waits", err, waits)
		}
		if err := small.Await(t.Context(), Answer, Step, func() { t.Error("a small answer waits") }); err != nil {
			t.Error(err)
		}
		medium := b.Open(nil)
		if err := medium.Await(t.Context(), Answer, 100<<10, func() { t.Error("a medium answer waits") }); err != nil {
			t.Error(err)
		}
		medium.Release()
		if err := small.Await(t.Context(), Answer, 32<<20, nil); !errors.Is(err, ErrNoRoom) {
			t.Errorf("%v for more than the budget", err)
		}
		select {
		case <-granted:
			t.Error("granted without room")
		default:
		}
		first.Release()
		if err := <-granted; err != nil {
			t.Error(err)
		}
		large.Release()
		small.Release()
		if b.total != 0 || len(b.waiters) != 0 {
			t.Errorf("%d bytes held, %d waiters", b.total, len(b.waiters))
		}
	})
}

// TestReadAllAsksBeforeItAllocates guards against bodies that differ from what was sent, and against
// memory that is used before it is asked for.
func TestReadAllAsksBeforeItAllocates(t *testing.T) {
	for _, size := range []int{0, 1, firstBuffer, firstBuffer + 1, Step, Step + firstBuffer, 5*Step + 3, 1 << 20} {
		data := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		for _, declared := range []int64{int64(size), -1} {
			asked := int64(0)
			room := func(n int64) error {
				asked += n
				return nil
			}
			for name, r := range map[string]io.Reader{"all": bytes.NewReader(data), "halves": iotest.HalfReader(bytes.NewReader(data)), "early end": iotest.DataErrReader(bytes.NewReader(data))} {
				asked = 0
				got, err := ReadAll(r, declared, room)
				if err != nil || !bytes.Equal(got, data) || asked < int64(len(got)) || asked > int64(size)+2*Step || int64(cap(got)) > max(asked, firstBuffer) {
					t.Errorf("%s of %d, declared %d: %d bytes in %d, asked for %d: %v", name, size, declared, len(got), cap(got), asked, err)
				}
			}
		}
	}
	cut := io.MultiReader(bytes.NewReader(make([]byte, 100)), iotest.ErrReader(io.ErrUnexpectedEOF))
	if _, err := ReadAll(cut, -1, func(int64) error { return nil }); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a body that was cut off: %v", err)
	}
	if _, err := ReadAll(iotest.ErrReader(errors.New("was read")), 1<<20, func(int64) error { return ErrNoRoom }); !errors.Is(err, ErrNoRoom) {
		t.Errorf("read without room: %v", err)
	}
}

// TestBudgetOff guards against limits where the budget is off.
func TestBudgetOff(t *testing.T) {
	b := New(0)
	b.Reclaim(time.Unix(0, 0))
	h := b.Open(func(Kind) { t.Error("ended") })
	h.Start(Body, time.Unix(0, 0))
	h.Moved(1)
	h.Pause(time.Unix(0, 0))
	if !h.Reserve(Body, 1<<50) || h.Await(t.Context(), Answer, 1<<50, nil) != nil || h.Ended() {
		t.Error("a budget that is off sets a limit")
	}
	h.Return(Body, 1)
	h.Release()
}
