package silence

import (
	"fmt"
	"testing"
	"time"
)

// TestSilenceIsTotalOnlyWithoutAnyAnswer guards against a service that counts as silent too soon, because of some
// of its servers, or on evidence from before an answer.
func TestSilenceIsTotalOnlyWithoutAnyAnswer(t *testing.T) {
	for _, n := range []int{1, 3, 20} {
		var w Watch
		var servers []string
		for i := range n {
			servers = append(servers, fmt.Sprint(i))
		}
		now := time.Unix(1000, 0)
		w.Asked("0", now)
		w.Begin(now.Add(time.Second))
		if w.Total(servers, now.Add(time.Hour)) {
			t.Errorf("%d servers: silent without being asked since a request hung", n)
		}
		now = now.Add(time.Second)
		for i := range min(n, Asks) {
			if w.Total(servers, now.Add(AnswerTime)) {
				t.Errorf("%d servers: silent although only %d were asked", n, i)
			}
			w.Asked(servers[i], now)
		}
		if w.Total(servers, now.Add(AnswerTime-1)) || !w.Total(servers, now.Add(AnswerTime)) {
			t.Errorf("%d servers: silent at another time than after %v", n, AnswerTime)
		}
		if w.MayAsk("0", now.Add(AskTimeout-1)) || !w.MayAsk("0", now.Add(AskTimeout)) {
			t.Error("a server is asked again while its answer is waited for, or never")
		}
		w.Asked("0", now.Add(AskTimeout))
		if !w.Total(servers, now.Add(AskTimeout)) {
			t.Error("a server that is asked again is no longer silent")
		}
		w.End()
		if w.Active() || w.Total(servers, now.Add(time.Hour)) || !w.MayAsk("0", now) {
			t.Errorf("%d servers: silent after an answer", n)
		}
	}
}
