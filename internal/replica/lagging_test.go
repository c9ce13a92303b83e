package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/platform"
)

// TestLaggingReturnsServersWithOutdatedWeights checks the result for any order of updates of
// servers, wanted versions and weights.
func TestLaggingReturnsServersWithOutdatedWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		table := newTestTable("i-0", "i-1")
		server := func() string { return fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "server")) }
		version := func() int64 { return rapid.Int64Range(1, 6).Draw(t, "version") }
		steps := []func(){
			func() {
				table.Register(platform.Registration{ID: server(), Service: testService, Address: "10.0.0.1:1", Slots: 1, Weights: map[string]int64{testModel: version()}, Started: version()}, 1)
			},
			func() { table.Remove(server(), true) },
			func() { table.Want(testModel, version(), now) },
			func() { table.RecordWeights(server(), testModel, version()) },
			func() { table.RecordOlderWeights(server(), testModel, version(), version()) },
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			var got, want []string
			for _, s := range table.Outdated(now) {
				got = append(got, s.ID)
			}
			for _, s := range table.Servers(now) {
				if s.Weights[testModel] < table.Wanted(testModel) {
					want = append(want, s.ID)
				}
			}
			if !slices.Equal(got, want) {
				t.Fatalf("outdated servers %v, want %v", got, want)
			}
			if n, _ := table.OutdatedStats(now); n != len(want) {
				t.Fatalf("%d outdated servers, want %v", n, want)
			}
		}
	})
}
