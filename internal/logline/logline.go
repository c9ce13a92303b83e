// Package logline reads the hosts' structured logs back, as they were written or as
// a collector has prefixed them.
package logline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/obs"
)

// maxBytes bounds one line of a log.
const maxBytes = 1 << 20

// Line is one line of a host's log.
type Line struct {
	At time.Time
	// Source is what a collector wrote before the line: mostly the host's name and a
	// time of its own.
	Source  string
	Message string
	Fields  map[string]any
	// raw is the line's JSON object.
	raw []byte
}

// Try is one attempt of a request.
type Try struct {
	Replica string
	Result  string
	Reason  string
	Ms      int64
}

// Request is what the line that ends a request says.
type Request struct {
	ID           string  `json:"request"`
	Outcome      string  `json:"outcome"`
	Error        string  `json:"error"`
	Route        string  `json:"route"`
	Status       int     `json:"status"`
	Replica      string  `json:"replica"`
	Sends        int     `json:"sends"`
	Ran          int     `json:"ran"`
	Ms           float64 `json:"ms"`
	FirstMs      float64 `json:"first_ms"`
	ExpectedMs   float64 `json:"expected_ms"`
	TargetMs     float64 `json:"target_ms"`
	DeadlineMs   float64 `json:"deadline_ms"`
	RetryAfterMs float64 `json:"retry_after_ms"`
	Config       int64   `json:"config"`
	ConfigAgeMs  float64 `json:"config_age_ms"`
	Weights      int64   `json:"weights"`
	Shared       int     `json:"shared"`
	Cached       int     `json:"cached"`
	Fetched      int     `json:"fetched"`
	Digest       string  `json:"digest"`
	Tries        []Try   `json:"tries"`
}

// Began returns when the request arrived, from the time of the line that ends it.
func (r *Request) Began(end time.Time) time.Time {
	return end.Add(-time.Duration(r.Ms * float64(time.Millisecond)))
}

// Late reports whether the answer came after the route's latency target.
func (r *Request) Late() bool { return r.TargetMs > 0 && r.FirstMs > r.TargetMs }

// Started reports whether the caller got the beginning of an answer: its first event may
// have come within a millisecond, which the line calls 0.
func (r *Request) Started() bool { return r.FirstMs > 0 || r.Status > 0 }

// resultLost is the result of an attempt whose replica, or the link to it, was lost after
// the request was sent.
const resultLost = "lost"

// LostReplica returns the last replica that was lost with the request. It is not the last
// one that was tried where others could not be reached after it.
func (r *Request) LostReplica() string {
	for _, try := range slices.Backward(r.Tries) {
		if try.Result == resultLost {
			return try.Replica
		}
	}
	return r.Replica
}

// Replicas returns the replicas that the request was sent to.
func (r *Request) Replicas() map[string]bool {
	out := map[string]bool{}
	for _, try := range r.Tries {
		out[try.Replica] = true
	}
	if r.Replica != "" {
		out[r.Replica] = true
	}
	return out
}

// Object returns the JSON object in a line, without what a collector wrote before
// it.
func Object(line []byte) (prefix, object []byte) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return line, nil
	}
	return line[:start], line[start:]
}

// Logs are the logs of all hosts.
type Logs interface {
	// Each calls f for each line as it stands there, from the beginning each time. f
	// must not keep it; an error of f ends the reading.
	Each(f func(text []byte) error) error
}

// Each calls f for each line of a log as it stands there. f must not keep it.
func Each(r io.Reader, f func(text []byte) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxBytes)
	for scanner.Scan() {
		if err := f(scanner.Bytes()); err != nil {
			return err
		}
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

// MayHold reports whether a line can hold a word that JSON need not escape. It costs a
// thirtieth of decoding the line's head (BenchmarkLine), and is wrong only by saying yes.
func MayHold(text []byte, word string) bool {
	return bytes.Contains(text, []byte(word)) || bytes.IndexByte(text, '\\') >= 0
}

// Head is what tells whether a line is of interest. Decoding no more than this takes
// a quarter of the time and a tenth of the memory of a whole line (BenchmarkLine).
type Head struct {
	At      time.Time
	Message string
	Request string
	Replica string
	Digest  string
	prefix  []byte
}

// ParseHead decodes a line's head; what is no line of a host is not ok. The head is
// good until the text changes.
func ParseHead(text []byte) (h Head, ok bool) {
	prefix, object := Object(text)
	// Any type is taken: a field of another one than expected is left empty.
	var fields struct{ Time, Msg, Request, Replica, Digest any }
	if object == nil || json.Unmarshal(object, &fields) != nil {
		return h, false
	}
	at, ok := stamp(fields.Time)
	h = Head{At: at, prefix: prefix}
	h.Message, _ = fields.Msg.(string)
	h.Request, _ = fields.Request.(string)
	h.Replica, _ = fields.Replica.(string)
	h.Digest, _ = fields.Digest.(string)
	return h, ok
}

// Source returns what a Line calls so.
func (h *Head) Source() string { return source(string(h.prefix)) }

// stamp returns the time in a field.
func stamp(field any) (time.Time, bool) {
	text, _ := field.(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	return at, err == nil
}

// Parse decodes a whole line; what is no line of a host is not ok.
func Parse(text []byte) (l Line, ok bool) {
	prefix, object := Object(text)
	l.Fields = map[string]any{}
	if object == nil || json.Unmarshal(object, &l.Fields) != nil {
		return l, false
	}
	l.At, ok = stamp(l.Fields["time"])
	l.Source = source(string(prefix))
	l.Message, _ = l.Fields["msg"].(string)
	l.raw = bytes.Clone(object)
	return l, ok
}

// End is what the line that ends a request says, and when it was written.
type End struct {
	Request
	At     time.Time
	prefix []byte
}

// Source returns what a Line calls so. It is good until the text changes.
func (e *End) Source() string { return source(string(e.prefix)) }

// ParseEnd decodes a line that ends a request, or returns nil for another one.
func ParseEnd(text []byte) (*End, error) {
	prefix, object := Object(text)
	if object == nil || !MayHold(object, strconv.Quote(obs.RequestMessage)) {
		return nil, nil
	}
	var fields struct {
		Time, Msg any
		Request
	}
	err := json.Unmarshal(object, &fields)
	at, ok := stamp(fields.Time)
	if !ok || fields.Msg != obs.RequestMessage {
		return nil, nil
	}
	var mistyped *json.UnmarshalTypeError
	if errors.As(err, &mistyped) {
		return nil, errors.Wrap(err, "decode a request's line")
	}
	if err != nil {
		return nil, nil
	}
	return &End{fields.Request, at, prefix}, nil
}

// Sort orders lines by time. Those of one moment stay in the order in which they were
// read.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// source returns the last word of a prefix that is no number: the host's name, where
// a collector writes times before it.
func source(prefix string) string {
	words := strings.Fields(prefix)
	for i := len(words) - 1; i >= 0; i-- {
		if strings.ContainsFunc(words[i], isLetter) {
			return words[i]
		}
	}
	return ""
}

func isLetter(r rune) bool { return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' }

// Text returns a field's text, or "".
func (l *Line) Text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Number returns a field's number, or 0.
func (l *Line) Number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// Request returns what the line that ends a request says.
func (l *Line) Request() (Request, error) {
	var r Request
	err := json.Unmarshal(l.raw, &r)
	return r, errors.Wrap(err, "decode a request's line")
}

// String renders the line as time, source, message and its other fields by name.
func (l *Line) String() string {
	out := l.At.UTC().Format(time.RFC3339Nano) + "  "
	if l.Source != "" {
		out += l.Source + "  "
	}
	return out + l.Said()
}

// Said renders the line's message and its fields by name, without time and source.
func (l *Line) Said() string {
	var names []string
	for name := range l.Fields {
		if name != "time" && name != "msg" && name != "level" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	out := l.Message
	for _, name := range names {
		value, err := json.Marshal(l.Fields[name])
		if err != nil {
			continue
		}
		out += fmt.Sprintf(" %s=%s", name, strings.Trim(string(value), `"`))
	}
	return out
}
