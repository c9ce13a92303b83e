// Package oai extracts from OpenAI-compatible requests what routing needs: the model, sizes in
// tokens, and the prefix blocks of the prompt that other requests may share. The bodies are
// forwarded unchanged.
package oai

import (
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/platform"
)

const (
	// blockBytes is the size of a prefix block. It is about the size of the chunks in which
	// engines prefill.
	blockBytes = 2000
	// bytesPerToken is the typical size of a token of English text.
	bytesPerToken = 4
	// defaultMaxTokens is assumed for a request without max_tokens.
	defaultMaxTokens = 256
)

// request is the body of /v1/chat/completions and /v1/completions.
type request struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Matches reports whether a path is that of a supported OpenAI-compatible call.
func Matches(path string) bool {
	return strings.HasSuffix(path, "/v1/chat/completions") || strings.HasSuffix(path, "/v1/completions")
}

// Describe fills in the model, prefix blocks and sizes from a request body.
func Describe(body []byte, out *platform.CallerRequest) error {
	req := request{MaxTokens: defaultMaxTokens}
	if err := json.Unmarshal(body, &req); err != nil {
		return errors.Wrap(err, "the body is not the expected JSON")
	}
	if req.Model == "" {
		return errors.New("model is missing")
	}
	prompt := req.render()
	out.Model = req.Model
	out.Blocks = splitBlocks(prompt)
	out.PromptTokens = (len(prompt) + bytesPerToken - 1) / bytesPerToken
	out.OutputTokens = max(0, req.MaxTokens)
	return nil
}

// render returns the whole prompt as one text.
func (r *request) render() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString("<|" + m.Role + "|>\n" + m.Content + "\n")
	}
	return b.String()
}

// splitBlocks splits a prompt into prefix blocks. The ID of a block is a hash of all text up to
// its end, so that equal IDs mean equal prefixes.
func splitBlocks(prompt string) []platform.Block {
	var blocks []platform.Block
	hash := xxh3.New()
	for len(prompt) > 0 {
		n := min(blockBytes, len(prompt))
		// Writing to a hash never fails.
		_, _ = hash.WriteString(prompt[:n])
		sum := hash.Sum128().Bytes()
		blocks = append(blocks, platform.Block{ID: hex.EncodeToString(sum[:8]), Tokens: (n + bytesPerToken - 1) / bytesPerToken})
		prompt = prompt[n:]
	}
	return blocks
}
