package logreport

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/briarlink/briarlink/internal/logline"
)

type textLogs string

// Each implements logline.Logs.
func (l textLogs) Each(f func(text []byte) error) error {
	return logline.Each(strings.NewReader(string(l)), f)
}

// TestBlocksOfCrashesAreReported checks that the block which is in the requests of every crash, and in
// no answered request between them, comes first, and that lost requests at servers that did not crash
// are not counted.
func TestBlocksOfCrashesAreReported(t *testing.T) {
	logs := textLogs(`1.0 edge-1 {"msg":"request","request":"a","outcome":"backend_lost","blocks":["system","bad"],"tries":[{"Replica":"i-1","Result":"lost"}],"time":"2026-06-01T10:00:01Z"}
1.1 edge-1 {"msg":"replica crashed while it was running requests","replica":"i-1","requests":1,"time":"2026-06-01T10:00:01.1Z"}
1.2 edge-2 {"msg":"replica crashed while it was running requests","replica":"i-1","requests":2,"time":"2026-06-01T10:00:01.2Z"}
2.0 edge-2 {"msg":"request","request":"b","outcome":"ok","blocks":["system"],"time":"2026-06-01T10:00:02Z"}
2.5 edge-2 {"msg":"request","request":"c","outcome":"backend_lost","blocks":["system","other"],"tries":[{"Replica":"i-9","Result":"lost"}],"time":"2026-06-01T10:00:02.5Z"}
3.0 edge-2 {"msg":"request","request":"d","outcome":"backend_lost","blocks":["system","bad"],"tries":[{"Replica":"i-2","Result":"lost"}],"time":"2026-06-01T10:00:03Z"}
3.1 edge-2 {"msg":"replica crashed while it was running requests","replica":"i-2","requests":1,"time":"2026-06-01T10:00:03.1Z"}
4.0 edge-2 {"msg":"request","request":"e","outcome":"ok","blocks":["system"],"time":"2026-06-01T10:00:04Z"}
`)
	blocks, crashed, err := Crashes(logs)
	if err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	if err := CrashTable(&table, blocks, crashed, 10); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "crashes", []byte(table.String()))
}
