package obs

import (
	_ "embed"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/errkind"
)

// messages lists every message with its levels; `make docs` renews it from the
// code.
//
//go:embed messages.txt
var messages string

// levels returns the levels of each message.
var levels = sync.OnceValue(func() map[string][]string {
	out := map[string][]string{}
	for _, line := range strings.Split(strings.TrimSpace(messages), "\n") {
		message, list, _ := strings.Cut(line, "\t")
		out[message] = strings.Split(list, ", ")
	}
	return out
})

// RequestMessage is the message of the line that ends each request.
const RequestMessage = "request"

// requestFields are in each of those lines.
var requestFields = []string{"request", "outcome", "ms", "state", "sends", "ran"}

// CheckLine reports what is wrong with a log line: every line is a JSON object
// with time, level and a known message, and a request's line has its fields and an
// outcome from the closed list.
func CheckLine(line []byte) error {
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil {
		return errors.Wrap(err, "not a JSON object")
	}
	at, _ := fields["time"].(string)
	if _, err := time.Parse(time.RFC3339Nano, at); err != nil {
		return errors.Wrap(err, "time")
	}
	message, _ := fields["msg"].(string)
	allowed, known := levels()[message]
	if !known {
		return errors.Errorf("unknown message %q", message)
	}
	if level, _ := fields["level"].(string); !slices.Contains(allowed, level) {
		return errors.Errorf("message %q at level %q", message, level)
	}
	if message == RequestMessage {
		return checkRequest(fields)
	}
	return nil
}

func checkRequest(fields map[string]any) error {
	for _, name := range requestFields {
		if _, ok := fields[name]; !ok {
			return errors.Errorf("a request's line without %q", name)
		}
	}
	outcome, _ := fields["outcome"].(string)
	if outcome == OutcomeOK {
		return nil
	}
	if _, known := errkind.Named(outcome); known {
		return nil
	}
	return errors.Errorf("unknown outcome %q", outcome)
}

// OutcomeOK is the outcome of a request that was answered by a replica; every
// other one is the name of an error kind.
const OutcomeOK = "ok"
