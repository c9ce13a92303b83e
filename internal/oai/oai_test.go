package oai

import (
	"strings"
	"testing"

	"github.com/briarlink/briarlink/platform"
)

// describe returns what Describe reads from a body.
func describe(t *testing.T, body string) platform.CallerRequest {
	t.Helper()
	var r platform.CallerRequest
	if err := Describe([]byte(body), &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// TestCommonPrefixesShareBlocks: prompts with the same beginning have the same blocks up to the
// first difference.
func TestCommonPrefixesShareBlocks(t *testing.T) {
	long := strings.Repeat("history ", 1000)
	a := describe(t, `{"model":"m","max_tokens":9,"prompt":"`+long+`first"}`)
	b := describe(t, `{"model":"m","prompt":"`+long+`second question"}`)
	if a.Model != "m" || a.OutputTokens != 9 || len(a.Blocks) != 5 || a.PromptTokens < 2000 {
		t.Errorf("got %+v", a)
	}
	for i := range 4 {
		if a.Blocks[i] != b.Blocks[i] {
			t.Errorf("block %d differs", i)
		}
	}
	if a.Blocks[4].ID == b.Blocks[4].ID {
		t.Error("different ends have the same block")
	}
}

func TestMatches(t *testing.T) {
	for path, want := range map[string]bool{"/v1/completions": true, "/x/v1/chat/completions": true, "/v1/models": false} {
		if Matches(path) != want {
			t.Errorf("%s: %v", path, !want)
		}
	}
}

// FuzzDescribe: no body gives a request without a model or with negative sizes.
func FuzzDescribe(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"m","max_tokens":-8,"prompt":"x"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var r platform.CallerRequest
		if Describe(body, &r) != nil {
			return
		}
		if r.Model == "" {
			t.Error("no model and no error")
		}
		if r.PromptTokens < 0 || r.OutputTokens < 0 {
			t.Errorf("%d prompt and %d output tokens", r.PromptTokens, r.OutputTokens)
		}
	})
}
