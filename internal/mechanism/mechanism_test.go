package mechanism

import (
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	off, err := Parse([]string{"holds", " tell-at-once"})
	if err != nil || len(off) != 2 || !off[Holds] || !off[TellAtOnce] || off[StoreFetch] {
		t.Errorf("%v, %v", off, err)
	}
	if _, err := Parse([]string{"hold"}); err == nil || !strings.Contains(err.Error(), "holds") {
		t.Errorf("an unknown name: %v", err)
	}
	if off, err := Parse(nil); err != nil || len(off) != 0 {
		t.Errorf("nothing: %v, %v", off, err)
	}
}
