package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/briarlink/briarlink/platform"
)

const (
	stallEngines = 3
	stallSlots   = 6
	// stallConsumers are a third more than the engines have slots for.
	stallConsumers = 24
	// stallEvents are sent at stallPace, so that a stream lasts three seconds without a pause.
	stallEvents = 30
	stallPace   = 100 * time.Millisecond
	// stallPrompt is the size of a prompt in tokens: the memory of an engine holds six, but not what they make.
	stallPrompt   = 27590
	stallCapacity = 165614
	stallRounds   = 14
	// allowedCuts is the bound of the rule.
	allowedCuts = 3
	retryDelay  = 300 * time.Millisecond
	// budgetWindow is BudgetWindowS.
	budgetWindow = 10 * time.Second
)

// stall fills all engines, which preempt the newest of their streams for lack of memory and go on with them
// later. It checks that consumers' kept channels are not closed within the answers of these sound engines.
func stall(rec *record, trouble bool) (outcome, error) {
	c, err := newCluster(rec)
	if err != nil {
		return outcome{}, err
	}
	defer c.stop()
	if err := c.put(platform.OperatorTopic, "config", engineConfig(3, false)); err != nil {
		return outcome{}, err
	}
	zones := []string{"heredia-a", "heredia-b"}
	var mu sync.Mutex
	runs := map[string]int{}
	for i := range stallEngines {
		s := &server{
			id: fmt.Sprintf("i-%d", i+1), service: "writer", zone: zones[i%2], model: modelName, slots: stallSlots, full: stallSlots, memory: &memory{capacity: stallCapacity},
			pace: stallPace, events: stallEvents, cluster: c,
			onRun: func(r run) {
				mu.Lock()
				defer mu.Unlock()
				runs[r.id]++
				rec.note("server %s runs %s", r.server, r.id)
			},
			onEnd: func(server, id, how string) { rec.note("server %s ends %s: %s", server, id, how) },
		}
		if !trouble {
			s.memory.capacity *= 2
		}
		if err := s.start(fmt.Sprintf("%s.%d", c.network, 100+i)); err != nil {
			return outcome{}, err
		}
		defer s.crash()
	}
	if err := c.startHosts(2, zones); err != nil {
		return outcome{}, err
	}
	// The hosts grant retries only after they have run for a window of the retry budget.
	time.Sleep(budgetWindow + 4*time.Second)
	var wg sync.WaitGroup
	counts := map[string]int{}
	for i := range stallConsumers {
		wg.Go(func() {
			client := newClient()
			h := c.hosts[i%len(c.hosts)]
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			for round := range stallRounds {
				q := request{
					id: newID(), method: "POST", path: fmt.Sprintf("%s%d", reportPath, i), key: keyOfA, body: "the history of cabinet 7", model: modelName,
					prefix: fmt.Sprintf("%04x%02x01:%d,%04x%02x02:%d", i, round, stallPrompt/2, i, round, stallPrompt/2), tokens: fmt.Sprintf("%d,%d", stallPrompt, stallEvents), deadline: 10 * time.Second,
				}
				a := send(client, h.front, q)
				events := strings.Count(a.body, "data:")
				rec.note("consumer %d sent %s to %s, on a kept channel: %t: status %d, seal %q, %d events, error %v, %d ms", i, q.id, h.name, a.kept, a.status, a.seal, events, a.err, a.elapsed.Milliseconds())
				mu.Lock()
				counts[streamOutcome(a, events)]++
				mu.Unlock()
				time.Sleep(retryDelay)
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	return outcome{counts[streamCut] > allowedCuts, fmt.Sprintf("%d kept channels were closed within the answer of a sound engine, %d are allowed; outcomes %v", counts[streamCut], allowedCuts, counts)}, nil
}

// Outcomes of a stream.
const (
	streamComplete = "complete"
	streamCut      = "cut"
	// streamCutNew is a cut of a request that opened its channel, which the rule leaves out.
	streamCutNew  = "cut on a new channel"
	streamRefused = "refused"
)

func streamOutcome(a answer, events int) string {
	switch {
	case a.status == http.StatusOK && a.err != nil && a.kept:
		return streamCut
	case a.status == http.StatusOK && a.err != nil:
		return streamCutNew
	case a.status == http.StatusOK && events == stallEvents:
		return streamComplete
	default:
		return streamRefused
	}
}
