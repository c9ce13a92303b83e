// Package oai reads OpenAI-compatible requests as far as routing needs them: the
// model, and the parts of the prompt that other requests may share. Their bodies
// are passed on unchanged.
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
	// partBytes is the size of a part: about the piece in which engines read.
	partBytes = 2000
	// bytesPerToken is the usual size of a token of English text.
	bytesPerToken    = 4
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

// Matches reports whether a path is that of an OpenAI-compatible call.
func Matches(path string) bool {
	return strings.HasSuffix(path, "/v1/chat/completions") || strings.HasSuffix(path, "/v1/completions")
}

// Describe fills in model, parts and sizes from a body.
func Describe(body []byte, into *platform.CallerRequest) error {
	req := request{MaxTokens: defaultMaxTokens}
	if err := json.Unmarshal(body, &req); err != nil {
		return errors.Wrap(err, "the body is not the expected JSON")
	}
	if req.Model == "" {
		return errors.New("model is missing")
	}
	prompt := req.render()
	into.Model = req.Model
	into.Parts = parts(prompt)
	into.PromptTokens = (len(prompt) + bytesPerToken - 1) / bytesPerToken
	into.OutputTokens = max(0, req.MaxTokens)
	return nil
}

// render returns the prompt as one text.
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

// parts cuts a prompt; each part is named by a hash of all text up to its end.
func parts(prompt string) []platform.Part {
	var out []platform.Part
	hash := xxh3.New()
	for len(prompt) > 0 {
		n := min(partBytes, len(prompt))
		// A hash in memory takes any bytes.
		_, _ = hash.WriteString(prompt[:n])
		sum := hash.Sum128().Bytes()
		out = append(out, platform.Part{ID: hex.EncodeToString(sum[:8]), Tokens: (n + bytesPerToken - 1) / bytesPerToken})
		prompt = prompt[n:]
	}
	return out
}
