// Package logline parses the structured logs of hosts, with or without the prefix that a
// log collector puts before each line.
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

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one line of a host's log.
type Line struct {
	At time.Time
	// Source is the name of the host, taken from the log collector's prefix; "" without one.
	Source  string
	Message string
	Fields  map[string]any
	// raw is the line's JSON object.
	raw []byte
}

// Attempt is one attempt at a request. Its fields are decoded under their Go names.
type Attempt struct {
	Replica string
	Result  string
	Reason  string
	Ms      int64
	// AtMs, Answer, EndedBy, SilentMs, Beside and AfterMs are those of dispatch.Attempt.
	AtMs     int64
	Answer   *AnswerHead
	EndedBy  string
	SilentMs int64
	Beside   string
	AfterMs  int64
}

// AnswerHead is the head of a replica's answer, as in dispatch.AnswerHead.
type AnswerHead struct {
	Status                        int
	NotRun, Sealed, Named, Reused bool
	Skipped                       int
}

// MayBeAnothers reports whether an answer that states that its request did not run may have been meant for another one:
// it does not name the request, and came on a connection that had carried another.
func (h *AnswerHead) MayBeAnothers() bool { return h != nil && h.NotRun && h.Reused && !h.Named }

// Request is the decoded line that ends a request.
type Request struct {
	ID           string   `json:"request"`
	Outcome      string   `json:"outcome"`
	Error        string   `json:"error"`
	Route        string   `json:"route"`
	Status       int      `json:"status"`
	Replica      string   `json:"replica"`
	Sends        int      `json:"sends"`
	Ran          int      `json:"ran"`
	Ms           float64  `json:"ms"`
	FirstMs      float64  `json:"first_ms"`
	ExpectedMs   float64  `json:"expected_ms"`
	TargetMs     float64  `json:"target_ms"`
	DeadlineMs   float64  `json:"deadline_ms"`
	RetryAfterMs float64  `json:"retry_after_ms"`
	Config       int64    `json:"config"`
	ConfigAgeMs  float64  `json:"config_age_ms"`
	Weights      int64    `json:"weights"`
	Shared       int      `json:"shared"`
	Cached       int      `json:"cached"`
	Fetched      int      `json:"fetched"`
	AwaitedMs    float64  `json:"awaited_ms"`
	Digest       string   `json:"digest"`
	Blocks       []string `json:"blocks"`
	RefusedBlock string   `json:"refused_block"`
	Shortage     string   `json:"shortage"`
	Returned     bool     `json:"returned"`
	RoomWaitMs   float64  `json:"room_wait_ms"`
	// RetriesCharged counts the retries that the retry budget allowed; RetryRefused is set if it refused one.
	RetriesCharged int  `json:"retries_charged"`
	RetryRefused   bool `json:"retry_refused"`
	// EndedForMemory is set if the host ended the request because its caller was slow while memory was short.
	EndedForMemory bool `json:"ended_for_memory"`
	// EndedBy says who ended the caller's connection before a complete answer; "" if nobody did.
	EndedBy string    `json:"ended_by"`
	Tries   []Attempt `json:"tries"`
}

// Arrival returns when the request arrived, given the time of the line that ends it.
func (r *Request) Arrival(end time.Time) time.Time {
	return end.Add(-time.Duration(r.Ms * float64(time.Millisecond)))
}

// Late reports whether the first event came later than the route's latency target.
func (r *Request) Late() bool { return r.TargetMs > 0 && r.FirstMs > r.TargetMs }

// AnswerStarted reports whether the caller received the beginning of an answer. The time to
// the first event alone does not show this: below one millisecond it is logged as 0.
func (r *Request) AnswerStarted() bool { return r.FirstMs > 0 || r.Status > 0 }

// resultLost is the result of an attempt whose replica, or the connection to it, was lost
// after the request was sent.
const resultLost = "lost"

// LostReplica returns the last replica that was lost after the request was sent to it. It
// differs from the last attempted replica if later ones could not be reached.
func (r *Request) LostReplica() string {
	for _, try := range slices.Backward(r.Tries) {
		if try.Result == resultLost {
			return try.Replica
		}
	}
	return r.Replica
}

// Replicas returns the set of replicas that the request was attempted on.
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

// Object splits a line into the log collector's prefix and the JSON object.
func Object(line []byte) (prefix, object []byte) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return line, nil
	}
	return line[:start], line[start:]
}

// Logs are the logs of all hosts.
type Logs interface {
	// Each calls f for each line, unparsed. Every call of Each starts at the beginning of
	// the logs. f must not retain the line; an error of f stops the iteration.
	Each(f func(text []byte) error) error
}

// Each calls f for each line of a log, unparsed. f must not retain the line; an error of f
// stops the iteration.
func Each(r io.Reader, f func(text []byte) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if err := f(scanner.Bytes()); err != nil {
			return err
		}
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

// MayHold reports whether a line may contain a word that JSON need not escape. It may return
// true for a line without the word, but never false for a line with it. It takes a thirtieth
// of the time of ParseHead (BenchmarkLine), so it serves as a filter before decoding.
func MayHold(text []byte, word string) bool {
	return bytes.Contains(text, []byte(word)) || bytes.IndexByte(text, '\\') >= 0
}

// Head holds the fields that decide whether a line is of interest. Decoding only these
// takes a quarter of the time and a tenth of the memory of Parse (BenchmarkLine).
type Head struct {
	At      time.Time
	Message string
	Request string
	Replica string
	Digest  string
	prefix  []byte
}

// ParseHead decodes a line's head; ok is false if text is not a log line of a host. The
// head is valid until text is modified.
func ParseHead(text []byte) (h Head, ok bool) {
	prefix, object := Object(text)
	// Fields of any type are accepted; one that is not a string is left empty in the head.
	var fields struct{ Time, Msg, Request, Replica, Digest any }
	if object == nil || json.Unmarshal(object, &fields) != nil {
		return h, false
	}
	at, ok := parseTime(fields.Time)
	h = Head{At: at, prefix: prefix}
	h.Message, _ = fields.Msg.(string)
	h.Request, _ = fields.Request.(string)
	h.Replica, _ = fields.Replica.(string)
	h.Digest, _ = fields.Digest.(string)
	return h, ok
}

// Source returns the name of the host, as in Line.Source.
func (h *Head) Source() string { return source(string(h.prefix)) }

// parseTime returns the time in a field.
func parseTime(field any) (time.Time, bool) {
	text, _ := field.(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	return at, err == nil
}

// Parse decodes all fields of a line; ok is false if text is not a log line of a host.
func Parse(text []byte) (l Line, ok bool) {
	prefix, object := Object(text)
	l.Fields = map[string]any{}
	if object == nil || json.Unmarshal(object, &l.Fields) != nil {
		return l, false
	}
	l.At, ok = parseTime(l.Fields["time"])
	l.Source = source(string(prefix))
	l.Message, _ = l.Fields["msg"].(string)
	l.raw = bytes.Clone(object)
	return l, ok
}

// End is the line that ends a request, and when it was written.
type End struct {
	Request
	At     time.Time
	prefix []byte
}

// Source returns the name of the host, as in Line.Source. It must be called before the
// parsed text is modified.
func (e *End) Source() string { return source(string(e.prefix)) }

// ParseEnd decodes a line that ends a request. It returns nil for any other line, and an
// error for a line that ends a request but has a field of the wrong type.
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
	at, ok := parseTime(fields.Time)
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

// Sort orders lines by time. Lines with equal times keep their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// source returns the host's name from a collector's prefix: the last word that contains a
// letter, as collectors also write times there.
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

// Text returns the value of a string field, or "".
func (l *Line) Text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Number returns the value of a numeric field, or 0.
func (l *Line) Number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// Request decodes the fields of a line that ends a request.
func (l *Line) Request() (Request, error) {
	var r Request
	err := json.Unmarshal(l.raw, &r)
	return r, errors.Wrap(err, "decode a request's line")
}

// String formats the line as time, source, message and the other fields sorted by name.
func (l *Line) String() string {
	out := l.At.UTC().Format(time.RFC3339Nano) + "  "
	if l.Source != "" {
		out += l.Source + "  "
	}
	return out + l.Content()
}

// Content formats the line's message and its fields sorted by name. It omits time, level
// and source, which differ between hosts that log the same event.
func (l *Line) Content() string {
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
