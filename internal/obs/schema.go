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

// messages lists every log message with its levels; `make docs` generates it from the
// code.
//
//go:embed messages.txt
var messages string

// levels returns the levels at which each message is logged.
var levels = sync.OnceValue(func() map[string][]string {
	out := map[string][]string{}
	for _, line := range strings.Split(strings.TrimSpace(messages), "\n") {
		message, list, _ := strings.Cut(line, "\t")
		out[message] = strings.Split(list, ", ")
	}
	return out
})

// RequestMessage is the message of the line that is logged at the end of each request.
const RequestMessage = "request"

// requestFields are the required fields of that line.
var requestFields = []string{"request", "outcome", "ms", "state", "sends", "ran"}

// CheckLine validates a log line and returns an error that says what is wrong with it.
// Every line is a JSON object with a time, a level and a known message; the line that ends
// a request also has its required fields and a known outcome.
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
	if _, known := errkind.ByName(outcome); known {
		return nil
	}
	return errors.Errorf("unknown outcome %q", outcome)
}

// OutcomeOK is the outcome of a request that was answered by a replica; any other
// outcome is the name of an error kind.
const OutcomeOK = "ok"
